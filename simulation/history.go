package simulation

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"
)

// outcome is what a client knows of an operation in the end.
type outcome int

const (
	// undecided operations may have taken effect, or may yet.
	undecided outcome = iota
	accepted
	rejected
)

// outcomeNames are the names of the outcomes in counts and traces.
var outcomeNames = map[outcome]string{undecided: "no clear answer", accepted: "taken", rejected: "refused"}

// Verbs of operations, as counts and traces name them.
const (
	verbChange     = "change"
	verbRead       = "read"
	verbChangeZone = "zone"
	verbReadZone   = "look"
)

// operation is a client's command, or read, with all attempts to have it carried
// out. The attempts of a command on a zone are told apart.
type operation struct {
	commandID int
	key       string
	verb      string
	// A change replaces the configuration of baseVersion by one of version; a read
	// returned that of version with the marker.
	baseVersion int64
	version     int64
	marker      int
	// drained is what a command on a zone sets, or a read of one returned.
	drained  bool
	start    time.Duration
	end      time.Duration
	outcome  outcome
	attempts []*attempt
}

// history holds the operations of all clients, by key.
type history struct{ operations map[string][]operation }

func (h *history) add(op operation) {
	if h.operations == nil {
		h.operations = map[string][]operation{}
	}
	h.operations[op.key] = append(h.operations[op.key], op)
}

// modelState is the value of a key in the checker's model: the configuration's
// version with its marker, or whether a zone is drained.
type modelState struct {
	version int64
	marker  int
	drained bool
}

// transitions returns, for each verb, the states in which an operation may leave
// a key; none where its outcome is impossible in that state.
var transitions = map[string]func(modelState, operation) []modelState{
	verbRead: func(current modelState, op operation) []modelState {
		if op.outcome == accepted && (current.version != op.version || current.marker != op.marker) {
			return nil
		}
		return []modelState{current}
	},
	verbReadZone: func(current modelState, op operation) []modelState {
		if op.outcome == accepted && current.drained != op.drained {
			return nil
		}
		return []modelState{current}
	},
	verbChange: func(current modelState, op operation) []modelState {
		next := modelState{version: op.version, marker: op.commandID}
		applies := current.version == op.baseVersion && op.version > current.version
		switch {
		case op.outcome == accepted && applies:
			return []modelState{next}
		case op.outcome == undecided && applies:
			return []modelState{current, next}
		case op.outcome != accepted && !applies:
			return []modelState{current}
		default:
			return nil
		}
	},
	verbChangeZone: func(current modelState, op operation) []modelState {
		next := modelState{drained: op.drained}
		switch op.outcome {
		case accepted:
			return []modelState{next}
		case rejected:
			return []modelState{current}
		default:
			return []modelState{current, next}
		}
	},
}

// registerModel is the sequential specification of a key.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(current any, input any, _ any) []any {
		op := input.(operation)
		var next []any
		for _, state := range transitions[op.verb](current.(modelState), op) {
			next = append(next, state)
		}
		return next
	},
	Equal: func(left any, right any) bool { return left == right },
}

// checkTimeout is how long the checker may take for a key, in real time.
const checkTimeout = 20 * time.Second

// check returns a violation for each key whose operations are not linearizable,
// and how many keys the checker did not decide in time.
func (h *history) check() (violations []string, undecidedKeys int) {
	for _, key := range sortedKeys(h.operations) {
		var operations []porcupine.Operation
		for _, op := range h.operations[key] {
			if op.outcome == undecided && op.verb != verbChange && op.verb != verbChangeZone {
				continue
			}
			operations = append(operations, op.porcupineOperations()...)
		}
		switch porcupine.CheckOperationsTimeout(registerModel.ToModel(), operations, checkTimeout) {
		case porcupine.Illegal:
			violations = append(violations, fmt.Sprintf("no order of the acts on %s explains the answers", key))
		case porcupine.Unknown:
			undecidedKeys++
		}
	}
	return violations, undecidedKeys
}

// describe returns a line for each operation, by key and start.
func (h *history) describe() []string {
	var lines []string
	for _, key := range sortedKeys(h.operations) {
		operations := slices.Clone(h.operations[key])
		sort.SliceStable(operations, func(i, j int) bool { return operations[i].start < operations[j].start })
		for _, op := range operations {
			lines = append(lines, fmt.Sprintf("%s %s command %d base %d version %d drained %v marker %d from %.3f to %.3f: %s", op.key, op.verb, op.commandID,
				op.baseVersion, op.version, op.drained, op.marker, op.start.Seconds(), op.end.Seconds(), outcomeNames[op.outcome]))
		}
	}
	return lines
}

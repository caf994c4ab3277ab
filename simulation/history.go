package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/anishathalye/porcupine"

	"onyxwell/base/clock"
)

// outcome is what an operator knows of an order in the end.
type outcome int

const (
	undecided outcome = iota
	accepted
	rejected
)

var outcomeNames = map[outcome]string{undecided: "no clear answer", accepted: "taken", rejected: "refused"}

// operation is one order as its operator sees it: all of its sendings together. Those
// of an order on a zone are told apart.
type operation struct {
	commandID int
	key       string
	verb      string
	match     int64
	version   int64
	drained   bool
	begin     clock.Span
	end       clock.Span
	outcome   outcome
	// mark is what a read found.
	mark     int
	attempts []*attempt
}

// history is what all operators did and were told, by key.
type history struct{ operations map[string][]operation }

func (h *history) add(one operation) {
	if h.operations == nil {
		h.operations = map[string][]operation{}
	}
	h.operations[one.key] = append(h.operations[one.key], one)
}

// modelState is a key's value to the checker: a version with its mark, or a zone.
type modelState struct {
	version int64
	mark    int
	drained bool
}

// transitions give, for each verb, the states that an act may leave behind.
var transitions = map[string]func(modelState, operation) []modelState{
	"read": func(now modelState, did operation) []modelState {
		if did.outcome == accepted && (now.version != did.version || now.mark != did.mark) {
			return nil
		}
		return []modelState{now}
	},
	"look": func(now modelState, did operation) []modelState {
		if did.outcome == accepted && now.drained != did.drained {
			return nil
		}
		return []modelState{now}
	},
	"change": func(now modelState, did operation) []modelState {
		next := modelState{version: did.version, mark: did.commandID}
		fits := now.version == did.match && did.version > now.version
		return map[outcome]func() []modelState{
			accepted: func() []modelState {
				if !fits {
					return nil
				}
				return []modelState{next}
			},
			rejected: func() []modelState {
				if fits {
					return nil
				}
				return []modelState{now}
			},
			undecided: func() []modelState {
				if !fits {
					return []modelState{now}
				}
				return []modelState{now, next}
			},
		}[did.outcome]()
	},
	"zone": func(now modelState, did operation) []modelState {
		next := modelState{drained: did.drained}
		return map[outcome]func() []modelState{
			accepted:  func() []modelState { return []modelState{next} },
			rejected:  func() []modelState { return []modelState{now} },
			undecided: func() []modelState { return []modelState{now, next} },
		}[did.outcome]()
	},
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{}} },
	Step: func(now any, input any, _ any) []any {
		did := input.(operation)
		var next []any
		for _, one := range transitions[did.verb](now.(modelState), did) {
			next = append(next, one)
		}
		return next
	},
	Equal: func(left any, right any) bool { return left == right },
}

// checkTimeout is how long the checker may take for one key.
const checkTimeout = 20 * time.Second

// check gives what is wrong with the history; nothing where some order of the
// acts explains all answers.
func (h *history) check() (wrong []string, unknown int) {
	for _, key := range sortedKeys(h.operations) {
		var operations []porcupine.Operation
		for _, did := range h.operations[key] {
			if did.outcome == undecided && did.verb != "change" && did.verb != "zone" {
				continue
			}
			operations = append(operations, did.porcupineOperations()...)
		}
		verdicts := map[porcupine.CheckResult]func(){
			porcupine.Ok:      func() {},
			porcupine.Unknown: func() { unknown++ },
			porcupine.Illegal: func() {
				wrong = append(wrong, fmt.Sprintf("no order of the acts on %s explains the answers", key))
			},
		}
		verdicts[porcupine.CheckOperationsTimeout(registerModel.ToModel(), operations, checkTimeout)]()
	}
	return wrong, unknown
}

// describe tells the acts of a key in the order in which they began.
func (h *history) describe() []string {
	var told []string
	for _, key := range sortedKeys(h.operations) {
		acts := append([]operation(nil), h.operations[key]...)
		sort.SliceStable(acts, func(left, right int) bool { return acts[left].begin < acts[right].begin })
		for _, did := range acts {
			told = append(told, fmt.Sprintf("%s %s order %d match %d version %d empty %v mark %d from %.3f to %.3f: %s", did.key, did.verb, did.commandID,
				did.match, did.version, did.drained, did.mark, did.begin.Seconds(), did.end.Seconds(), outcomeNames[did.outcome]))
		}
	}
	return told
}

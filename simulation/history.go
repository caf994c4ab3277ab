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
	unclear outcome = iota
	taken
	refused
)

var outcomeNames = map[outcome]string{unclear: "no clear answer", taken: "taken", refused: "refused"}

// act is one order as its operator sees it: all of its sendings together. Those
// of an order on a zone are told apart.
type act struct {
	order   int
	key     string
	verb    string
	match   int64
	version int64
	empty   bool
	begin   clock.Span
	end     clock.Span
	outcome outcome
	// mark is what a read found.
	mark     int
	sendings []*sending
}

// history is what all operators did and were told, by key.
type history struct{ acts map[string][]act }

func (h *history) add(one act) {
	if h.acts == nil {
		h.acts = map[string][]act{}
	}
	h.acts[one.key] = append(h.acts[one.key], one)
}

// state is a key's value to the checker: a version with its mark, or a zone.
type state struct {
	version int64
	mark    int
	empty   bool
}

// steps give, for each verb, the states that an act may leave behind.
var steps = map[string]func(state, act) []state{
	"read": func(now state, did act) []state {
		if did.outcome == taken && (now.version != did.version || now.mark != did.mark) {
			return nil
		}
		return []state{now}
	},
	"look": func(now state, did act) []state {
		if did.outcome == taken && now.empty != did.empty {
			return nil
		}
		return []state{now}
	},
	"change": func(now state, did act) []state {
		next := state{version: did.version, mark: did.order}
		fits := now.version == did.match && did.version > now.version
		return map[outcome]func() []state{
			taken: func() []state {
				if !fits {
					return nil
				}
				return []state{next}
			},
			refused: func() []state {
				if fits {
					return nil
				}
				return []state{now}
			},
			unclear: func() []state {
				if !fits {
					return []state{now}
				}
				return []state{now, next}
			},
		}[did.outcome]()
	},
	"zone": func(now state, did act) []state {
		next := state{empty: did.empty}
		return map[outcome]func() []state{
			taken:   func() []state { return []state{next} },
			refused: func() []state { return []state{now} },
			unclear: func() []state { return []state{now, next} },
		}[did.outcome]()
	},
}

var model = porcupine.NondeterministicModel{
	Init: func() []any { return []any{state{}} },
	Step: func(now any, input any, _ any) []any {
		did := input.(act)
		var next []any
		for _, one := range steps[did.verb](now.(state), did) {
			next = append(next, one)
		}
		return next
	},
	Equal: func(left any, right any) bool { return left == right },
}

// checkLimit is how long the checker may take for one key.
const checkLimit = 20 * time.Second

// check gives what is wrong with the history; nothing where some order of the
// acts explains all answers.
func (h *history) check() (wrong []string, unknown int) {
	for _, key := range sortedKeys(h.acts) {
		var operations []porcupine.Operation
		for _, did := range h.acts[key] {
			if did.outcome == unclear && did.verb != "change" && did.verb != "zone" {
				continue
			}
			operations = append(operations, did.operations()...)
		}
		verdicts := map[porcupine.CheckResult]func(){
			porcupine.Ok:      func() {},
			porcupine.Unknown: func() { unknown++ },
			porcupine.Illegal: func() {
				wrong = append(wrong, fmt.Sprintf("no order of the acts on %s explains the answers", key))
			},
		}
		verdicts[porcupine.CheckOperationsTimeout(model.ToModel(), operations, checkLimit)]()
	}
	return wrong, unknown
}

// lines tells the acts of a key in the order in which they began.
func (h *history) lines() []string {
	var told []string
	for _, key := range sortedKeys(h.acts) {
		acts := append([]act(nil), h.acts[key]...)
		sort.SliceStable(acts, func(left, right int) bool { return acts[left].begin < acts[right].begin })
		for _, did := range acts {
			told = append(told, fmt.Sprintf("%s %s order %d match %d version %d empty %v mark %d from %.3f to %.3f: %s", did.key, did.verb, did.order,
				did.match, did.version, did.empty, did.mark, did.begin.Seconds(), did.end.Seconds(), outcomeNames[did.outcome]))
		}
	}
	return told
}

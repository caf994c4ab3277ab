package simulation

import (
	"context"
	"math"

	"github.com/anishathalye/porcupine"

	"onyxwell/base/clock"
)

// attempt is one of the times that an order was sent. An order on a zone has no
// name by which it is known again, so each of its sendings is an act of its own:
// one that was answered acts before its answer, one whose answer was lost before
// its controller gave it, and one without a clear answer at any time: what is
// unsettled may be kept by the key's next owner, and what nobody answered may
// yet be read by a controller that stood still. What none ever read did nothing.
type attempt struct {
	begin   clock.Span
	end     clock.Span
	outcome outcome
	read    bool
}

type attemptKey struct{}

// attempt finds which one a call is; there is none but for operators' calls.
func (m *message) attempt() (*attempt, bool) {
	one, found := m.request.Context().Value(attemptKey{}).(*attempt)
	return one, found
}

// markRead notes that a controller reads a sending.
func (m *message) markRead() {
	if one, found := m.attempt(); found {
		one.read = true
	}
}

// recordReply notes a controller's answer to a sending, also one that gets lost.
func (m *message) recordReply(got reply, now clock.Span) {
	one, found := m.attempt()
	if outcome, clear := outcomeByStatus[got.status]; clear && found && got.err == nil {
		one.resolve(outcome, now)
	}
}

// resolve takes the first clear answer.
func (a *attempt) resolve(ended outcome, end clock.Span) {
	if a.outcome == undecided {
		a.outcome, a.end = ended, end
	}
}

// withContext gives a context that tells of the sending.
func (a *attempt) withContext(parent context.Context) context.Context {
	return context.WithValue(parent, attemptKey{}, a)
}

// porcupineOperations are what the checker takes an act for.
func (o operation) porcupineOperations() []porcupine.Operation {
	made := func(one operation) porcupine.Operation {
		end := int64(one.end)
		if one.outcome == undecided {
			end = math.MaxInt64
		}
		return porcupine.Operation{ClientId: one.commandID, Input: one, Call: int64(one.begin), Return: end}
	}
	if o.verb != "zone" || len(o.attempts) == 0 {
		return []porcupine.Operation{made(o)}
	}
	var each []porcupine.Operation
	for _, one := range o.attempts {
		if !one.read && one.outcome == undecided {
			continue
		}
		sent := o
		sent.begin, sent.end, sent.outcome = one.begin, one.end, one.outcome
		each = append(each, made(sent))
	}
	return each
}

package simulation

import (
	"context"
	"math"

	"github.com/anishathalye/porcupine"

	"onyxwell/base/clock"
)

// sending is one of the times that an order was sent. An order on a zone has no
// name by which it is known again, so each of its sendings is an act of its own:
// one that was answered acts before its answer, one whose answer was lost before
// its controller gave it, and one without a clear answer at any time: what is
// unsettled may be kept by the key's next owner, and what nobody answered may
// yet be read by a controller that stood still. What none ever read did nothing.
type sending struct {
	begin   clock.Span
	end     clock.Span
	outcome outcome
	read    bool
}

type sendingKey struct{}

// sending finds which one a call is; there is none but for operators' calls.
func (m *message) sending() (*sending, bool) {
	one, found := m.request.Context().Value(sendingKey{}).(*sending)
	return one, found
}

// arrives notes that a controller reads a sending.
func (m *message) arrives() {
	if one, found := m.sending(); found {
		one.read = true
	}
}

// told notes a controller's answer to a sending, also one that gets lost.
func (m *message) told(got answered, now clock.Span) {
	one, found := m.sending()
	if outcome, clear := ending[got.status]; clear && found && got.err == nil {
		one.settle(outcome, now)
	}
}

// settle takes the first clear answer.
func (s *sending) settle(ended outcome, end clock.Span) {
	if s.outcome == unclear {
		s.outcome, s.end = ended, end
	}
}

// under gives a context that tells of the sending.
func (s *sending) under(parent context.Context) context.Context {
	return context.WithValue(parent, sendingKey{}, s)
}

// operations are what the checker takes an act for.
func (a act) operations() []porcupine.Operation {
	made := func(one act) porcupine.Operation {
		end := int64(one.end)
		if one.outcome == unclear {
			end = math.MaxInt64
		}
		return porcupine.Operation{ClientId: one.order, Input: one, Call: int64(one.begin), Return: end}
	}
	if a.verb != "zone" || len(a.sendings) == 0 {
		return []porcupine.Operation{made(a)}
	}
	var each []porcupine.Operation
	for _, one := range a.sendings {
		if !one.read && one.outcome == unclear {
			continue
		}
		sent := a
		sent.begin, sent.end, sent.outcome = one.begin, one.end, one.outcome
		each = append(each, made(sent))
	}
	return each
}

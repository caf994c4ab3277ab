package simulation

import (
	"context"
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

// attempt is one of the times that a client sent a command. A command on a zone
// has no identity by which a controller recognizes a repeat, so the checker takes
// each of its attempts as an operation of its own:
//
//   - one that was answered took effect before its reply, also where the reply was
//     lost on its way;
//   - one without a decisive reply may take effect at any time after its start:
//     the key's next owner may commit what was in flight, and a controller that was
//     frozen may yet read the call;
//   - one that no controller read had no effect.
type attempt struct {
	start   time.Duration
	end     time.Duration
	outcome outcome
	// received says that a controller read the call.
	received bool
}

type attemptKey struct{}

// withContext returns a context that carries the attempt to the network.
func (a *attempt) withContext(parent context.Context) context.Context {
	return context.WithValue(parent, attemptKey{}, a)
}

// resolve records the first decisive reply.
func (a *attempt) resolve(outcome outcome, end time.Duration) {
	if a.outcome == undecided {
		a.outcome, a.end = outcome, end
	}
}

// attempt returns the attempt that a call is; only calls of clients are one.
func (m *message) attempt() (*attempt, bool) {
	sent, ok := m.request.Context().Value(attemptKey{}).(*attempt)
	return sent, ok
}

// markReceived records that a controller reads the call.
func (m *message) markReceived() {
	if sent, ok := m.attempt(); ok {
		sent.received = true
	}
}

// recordReply records a controller's reply, also one that gets lost.
func (m *message) recordReply(resp reply, now time.Duration) {
	sent, ok := m.attempt()
	if outcome, decisive := outcomeByStatus[resp.status]; decisive && ok && resp.err == nil {
		sent.resolve(outcome, now)
	}
}

// porcupineOperations returns what the checker takes the operation for.
func (o operation) porcupineOperations() []porcupine.Operation {
	if o.verb != verbChangeZone || len(o.attempts) == 0 {
		return []porcupine.Operation{o.porcupineOperation()}
	}
	var operations []porcupine.Operation
	for _, sent := range o.attempts {
		if !sent.received && sent.outcome == undecided {
			continue
		}
		single := o
		single.start, single.end, single.outcome = sent.start, sent.end, sent.outcome
		operations = append(operations, single.porcupineOperation())
	}
	return operations
}

// porcupineOperation returns the operation as one that may last for ever where its
// outcome is undecided.
func (o operation) porcupineOperation() porcupine.Operation {
	end := int64(o.end)
	if o.outcome == undecided {
		end = math.MaxInt64
	}
	return porcupine.Operation{ClientId: o.commandID, Input: o, Call: int64(o.start), Return: end}
}

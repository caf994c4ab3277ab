package upstream

import (
	"errors"
	"math/big"
)

// ErrEventOrder is returned if the event ids of a stream do not rise or stop being
// numeric, or if an event has more than one id.
var ErrEventOrder = errors.New("upstream: the event ids do not rise, or an event is malformed")

// ErrEventGap is returned if a stream that had a fixed step between its ids is resumed
// further on than by this step, so that events may be missing.
var ErrEventGap = errors.New("upstream: the stream is resumed beyond the next event")

const (
	// maxEventIDBytes limits an event id, which is compared as a number.
	maxEventIDBytes = 128
	// minFixedSteps is the number of equal steps from which on the step of a stream's
	// ids is taken to be fixed.
	minFixedSteps = 2
)

// EventID is the id of an event: a whole number of any size, in decimal digits. The zero
// value is no id.
type EventID struct {
	text   string
	number *big.Int
}

// ParseEventID parses an id. It returns the zero EventID if the text is not a number.
func ParseEventID(text string) EventID {
	if len(text) > maxEventIDBytes {
		return EventID{}
	}
	number, ok := new(big.Int).SetString(text, 10)
	if !ok {
		return EventID{}
	}
	return EventID{text: text, number: number}
}

// IsSet reports whether there is an id.
func (id EventID) IsSet() bool { return id.number != nil }

// String returns the id as it was written, or "" if there is none.
func (id EventID) String() string { return id.text }

// After reports whether the id is greater than another one. Both must be set.
func (id EventID) After(other EventID) bool { return id.number.Cmp(other.number) > 0 }

// stepFrom returns the difference to an earlier id.
func (id EventID) stepFrom(earlier EventID) *big.Int {
	return new(big.Int).Sub(id.number, earlier.number)
}

// EventSequence is the sequence of the events of one response to a client. Several runs
// may contribute to it: if a stream breaks off, another runner resumes it. It checks that
// the ids rise, by any step. The zero value is a sequence without events. It is not safe
// for concurrent use.
type EventSequence struct {
	last EventID
	// unnumbered reports whether data without an id follows the last id.
	unnumbered bool
	// step is the difference between the first two ids, and steps the number of
	// differences equal to it. irregular reports whether there was another one.
	step      *big.Int
	steps     int
	irregular bool
	// resumed reports whether the next id is the first of a run that resumes the stream.
	resumed bool
}

// ResumedAfter returns the sequence of a stream that continues after the event with an
// id, which may be unset.
func ResumedAfter(id EventID) EventSequence { return EventSequence{last: id} }

// Last returns the id of the last event that had one. It may be unset.
func (s *EventSequence) Last() EventID { return s.last }

// Resumable reports whether another run can continue after the last id without repeating
// data.
func (s *EventSequence) Resumable() bool { return s.last.IsSet() && !s.unnumbered }

// beginRun prepares for the events of a run.
func (s *EventSequence) beginRun() { s.resumed = s.last.IsSet() }

// appendNumbered adds an event with an id, or returns an error that wraps ErrEventOrder
// or ErrEventGap.
func (s *EventSequence) appendNumbered(id EventID) error {
	if s.last.IsSet() {
		if !id.After(s.last) {
			return ErrEventOrder
		}
		step := id.stepFrom(s.last)
		if s.resumed && s.exceedsFixedStep(step) {
			return ErrEventGap
		}
		s.recordStep(step)
	}
	s.last, s.unnumbered, s.resumed = id, false, false
	return nil
}

// appendUnnumbered adds data without an id.
func (s *EventSequence) appendUnnumbered() { s.unnumbered = true }

// exceedsFixedStep reports whether a step is greater than all earlier ones, which were
// equal. The last event of a stream may be shorter than the others, so that a smaller
// step is no sign of a gap.
func (s *EventSequence) exceedsFixedStep(step *big.Int) bool {
	return !s.irregular && s.steps >= minFixedSteps && step.Cmp(s.step) > 0
}

func (s *EventSequence) recordStep(step *big.Int) {
	if s.step == nil {
		s.step = step
	}
	if step.Cmp(s.step) != 0 {
		s.irregular = true
	}
	s.steps++
}

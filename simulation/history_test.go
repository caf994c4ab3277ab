package simulation

import (
	"testing"

	"onyxwell/base/clock"
)

// newOperation makes an act by what its operator was told.
func newOperation(verb string, begin int, end int, outcome outcome, change func(*operation)) operation {
	made := operation{key: "k", verb: verb, begin: clock.Span(begin), end: clock.Span(end), outcome: outcome}
	change(&made)
	return made
}

func changeOperation(order int, match int64, version int64, begin int, end int, outcome outcome) operation {
	return newOperation("change", begin, end, outcome, func(made *operation) { made.commandID, made.match, made.version = order, match, version })
}

func readOperation(version int64, mark int, begin int, end int) operation {
	return newOperation("read", begin, end, accepted, func(made *operation) { made.version, made.mark = version, mark })
}

func zoneOperation(verb string, empty bool, begin int, end int, outcome outcome) operation {
	return newOperation(verb, begin, end, outcome, func(made *operation) { made.drained = empty })
}

// retriedZoneOperation is an order on a zone that was sent several times.
func retriedZoneOperation(empty bool, sendings ...*attempt) operation {
	last := sendings[len(sendings)-1]
	return newOperation("zone", int(sendings[0].begin), int(last.end), last.outcome, func(made *operation) { made.drained, made.attempts = empty, sendings })
}

func readAttempt(begin int, end int, outcome outcome) *attempt {
	return &attempt{begin: clock.Span(begin), end: clock.Span(end), outcome: outcome, read: true}
}

func unreadAttempt(begin int, end int) *attempt {
	return &attempt{begin: clock.Span(begin), end: clock.Span(end)}
}

// TestHistory_check checks histories made by hand.
func TestHistory_check(t *testing.T) {
	for _, one := range []struct {
		name  string
		wrong bool
		acts  []operation
	}{
		{"a change is read", false, []operation{changeOperation(1, 0, 1, 0, 10, accepted), readOperation(1, 1, 11, 20)}},
		{"nothing is read while the change is under way", false, []operation{changeOperation(1, 0, 1, 0, 10, accepted), readOperation(0, 0, 5, 9)}},
		{"a read that goes back", true, []operation{changeOperation(1, 0, 1, 0, 10, accepted), readOperation(0, 0, 11, 20)}},
		{"a read between two that go on", true, []operation{changeOperation(1, 0, 1, 0, 50, accepted), readOperation(1, 1, 10, 20), readOperation(0, 0, 21, 30)}},
		{"two taken on one version", true, []operation{changeOperation(1, 0, 1, 0, 10, accepted), changeOperation(2, 0, 1, 5, 15, accepted)}},
		{"one of two refused", false, []operation{changeOperation(1, 0, 1, 0, 10, accepted), changeOperation(2, 0, 1, 5, 15, rejected)}},
		{"another's change under the same number", true, []operation{changeOperation(1, 0, 1, 0, 10, accepted), changeOperation(2, 0, 1, 0, 10, rejected), readOperation(1, 2, 11, 20)}},
		{"a refusal without a reason", true, []operation{changeOperation(1, 0, 1, 0, 10, accepted), changeOperation(2, 1, 2, 11, 20, rejected)}},
		{"a refused change that is read", true, []operation{changeOperation(1, 0, 1, 0, 10, rejected), readOperation(1, 1, 11, 20)}},
		{"an unclear change that is read", false, []operation{changeOperation(1, 0, 1, 0, 10, undecided), readOperation(1, 1, 11, 20)}},
		{"an unclear change that comes late", false, []operation{changeOperation(1, 0, 1, 0, 10, undecided), readOperation(0, 0, 11, 20), readOperation(1, 1, 21, 30)}},
		{"an unclear change that comes and goes", true, []operation{changeOperation(1, 0, 1, 0, 10, undecided), readOperation(1, 1, 11, 20), readOperation(0, 0, 21, 30)}},
		{"an acknowledged change that is lost", true, []operation{changeOperation(1, 0, 1, 0, 10, accepted), changeOperation(2, 1, 2, 11, 20, accepted), readOperation(1, 1, 21, 30)}},
		{"a zone is emptied and filled", false, []operation{zoneOperation("zone", true, 0, 10, accepted), zoneOperation("look", true, 11, 20, accepted), zoneOperation("zone", false, 21, 30, accepted), zoneOperation("look", false, 31, 40, accepted)}},
		{"a zone that is not emptied", true, []operation{zoneOperation("zone", true, 0, 10, accepted), zoneOperation("look", false, 11, 20, accepted)}},
		{"a late order that undoes a later one", true, []operation{zoneOperation("zone", true, 0, 10, accepted), zoneOperation("zone", false, 11, 20, accepted), zoneOperation("look", true, 21, 30, accepted)}},
		{"an unclear order that may come late", false, []operation{zoneOperation("zone", true, 0, 10, undecided), zoneOperation("zone", false, 11, 20, accepted), zoneOperation("look", true, 21, 30, accepted)}},
		{"a sending that acts twice", true, []operation{retriedZoneOperation(true, readAttempt(0, 40, accepted)), zoneOperation("look", true, 11, 14, accepted), zoneOperation("zone", false, 20, 25, accepted), zoneOperation("look", true, 41, 50, accepted)}},
		{"two sendings that act", false, []operation{retriedZoneOperation(true, readAttempt(0, 10, undecided), readAttempt(11, 40, accepted)), zoneOperation("look", true, 12, 14, accepted), zoneOperation("zone", false, 20, 25, accepted), zoneOperation("look", true, 41, 50, accepted)}},
		{"two sendings that act, of which none read one", true, []operation{retriedZoneOperation(true, unreadAttempt(0, 10), readAttempt(19, 40, accepted)), zoneOperation("look", true, 12, 14, accepted), zoneOperation("zone", false, 20, 25, accepted), zoneOperation("look", true, 41, 50, accepted)}},
		{"a sending that acts after its answer", true, []operation{retriedZoneOperation(true, readAttempt(0, 10, accepted)), zoneOperation("zone", false, 11, 20, accepted), zoneOperation("look", true, 21, 30, accepted)}},
		{"a sending that acts after an answer that was lost", true, []operation{retriedZoneOperation(true, readAttempt(0, 10, accepted), readAttempt(12, 20, accepted)), zoneOperation("zone", false, 21, 25, accepted), zoneOperation("look", true, 31, 40, accepted)}},
		{"an unsettled sending that acts after the next", false, []operation{retriedZoneOperation(true, readAttempt(0, 10, undecided), readAttempt(12, 20, accepted)), zoneOperation("zone", false, 21, 25, accepted), zoneOperation("look", true, 31, 40, accepted)}},
		{"an unsettled sending that acts twice", true, []operation{retriedZoneOperation(true, readAttempt(0, 10, undecided)), zoneOperation("look", true, 11, 12, accepted), zoneOperation("zone", false, 21, 25, accepted), zoneOperation("look", true, 31, 40, accepted)}},
		{"a refused order", true, []operation{zoneOperation("zone", true, 0, 10, rejected), zoneOperation("look", true, 11, 20, accepted)}},
	} {
		var known history
		for _, did := range one.acts {
			known.add(did)
		}
		wrong, unknown := known.check()
		if (len(wrong) > 0) != one.wrong || unknown > 0 {
			t.Errorf("%s: %v, %d unknown", one.name, wrong, unknown)
		}
	}
}

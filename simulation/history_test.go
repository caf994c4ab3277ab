package simulation

import (
	"testing"
	"time"
)

// newOp returns an operation on the one key of these histories.
func newOp(verb string, start int, end int, outcome outcome) operation {
	return operation{key: "k", verb: verb, start: time.Duration(start), end: time.Duration(end), outcome: outcome}
}

func changeOp(commandID int, baseVersion int64, version int64, start int, end int, outcome outcome) operation {
	op := newOp(verbChange, start, end, outcome)
	op.commandID, op.baseVersion, op.version = commandID, baseVersion, version
	return op
}

func readOp(version int64, marker int, start int, end int) operation {
	op := newOp(verbRead, start, end, accepted)
	op.version, op.marker = version, marker
	return op
}

func zoneOp(verb string, drained bool, start int, end int, outcome outcome) operation {
	op := newOp(verb, start, end, outcome)
	op.drained = drained
	return op
}

// retriedZoneOp is a command on a zone that was sent in several attempts.
func retriedZoneOp(drained bool, attempts ...*attempt) operation {
	last := attempts[len(attempts)-1]
	op := zoneOp(verbChangeZone, drained, int(attempts[0].start), int(last.end), last.outcome)
	op.attempts = attempts
	return op
}

func receivedAttempt(start int, end int, outcome outcome) *attempt {
	return &attempt{start: time.Duration(start), end: time.Duration(end), outcome: outcome, received: true}
}

func lostAttempt(start int, end int) *attempt {
	return &attempt{start: time.Duration(start), end: time.Duration(end)}
}

// TestHistory_check checks histories made by hand.
func TestHistory_check(t *testing.T) {
	for _, test := range []struct {
		name       string
		violation  bool
		operations []operation
	}{
		{"a change is read", false, []operation{changeOp(1, 0, 1, 0, 10, accepted), readOp(1, 1, 11, 20)}},
		{"the old value is read while the change is in flight", false, []operation{changeOp(1, 0, 1, 0, 10, accepted), readOp(0, 0, 5, 9)}},
		{"a read that goes back", true, []operation{changeOp(1, 0, 1, 0, 10, accepted), readOp(0, 0, 11, 20)}},
		{"a read between two that go on", true, []operation{changeOp(1, 0, 1, 0, 50, accepted), readOp(1, 1, 10, 20), readOp(0, 0, 21, 30)}},
		{"two accepted on one version", true, []operation{changeOp(1, 0, 1, 0, 10, accepted), changeOp(2, 0, 1, 5, 15, accepted)}},
		{"one of two rejected", false, []operation{changeOp(1, 0, 1, 0, 10, accepted), changeOp(2, 0, 1, 5, 15, rejected)}},
		{"another's change under the same number", true, []operation{changeOp(1, 0, 1, 0, 10, accepted), changeOp(2, 0, 1, 0, 10, rejected), readOp(1, 2, 11, 20)}},
		{"a rejection without a reason", true, []operation{changeOp(1, 0, 1, 0, 10, accepted), changeOp(2, 1, 2, 11, 20, rejected)}},
		{"a rejected change that is read", true, []operation{changeOp(1, 0, 1, 0, 10, rejected), readOp(1, 1, 11, 20)}},
		{"an undecided change that is read", false, []operation{changeOp(1, 0, 1, 0, 10, undecided), readOp(1, 1, 11, 20)}},
		{"an undecided change that takes effect late", false, []operation{changeOp(1, 0, 1, 0, 10, undecided), readOp(0, 0, 11, 20), readOp(1, 1, 21, 30)}},
		{"an undecided change that comes and goes", true, []operation{changeOp(1, 0, 1, 0, 10, undecided), readOp(1, 1, 11, 20), readOp(0, 0, 21, 30)}},
		{"an acknowledged change that is lost", true, []operation{changeOp(1, 0, 1, 0, 10, accepted), changeOp(2, 1, 2, 11, 20, accepted), readOp(1, 1, 21, 30)}},
		{"a zone is drained and undrained", false, []operation{zoneOp(verbChangeZone, true, 0, 10, accepted), zoneOp(verbReadZone, true, 11, 20, accepted), zoneOp(verbChangeZone, false, 21, 30, accepted), zoneOp(verbReadZone, false, 31, 40, accepted)}},
		{"a zone that is not drained", true, []operation{zoneOp(verbChangeZone, true, 0, 10, accepted), zoneOp(verbReadZone, false, 11, 20, accepted)}},
		{"an earlier command that undoes a later one", true, []operation{zoneOp(verbChangeZone, true, 0, 10, accepted), zoneOp(verbChangeZone, false, 11, 20, accepted), zoneOp(verbReadZone, true, 21, 30, accepted)}},
		{"an undecided command that may take effect late", false, []operation{zoneOp(verbChangeZone, true, 0, 10, undecided), zoneOp(verbChangeZone, false, 11, 20, accepted), zoneOp(verbReadZone, true, 21, 30, accepted)}},
		{"an attempt that takes effect twice", true, []operation{retriedZoneOp(true, receivedAttempt(0, 40, accepted)), zoneOp(verbReadZone, true, 11, 14, accepted), zoneOp(verbChangeZone, false, 20, 25, accepted), zoneOp(verbReadZone, true, 41, 50, accepted)}},
		{"two attempts that take effect", false, []operation{retriedZoneOp(true, receivedAttempt(0, 10, undecided), receivedAttempt(11, 40, accepted)), zoneOp(verbReadZone, true, 12, 14, accepted), zoneOp(verbChangeZone, false, 20, 25, accepted), zoneOp(verbReadZone, true, 41, 50, accepted)}},
		{"two attempts that take effect, of which one was never received", true, []operation{retriedZoneOp(true, lostAttempt(0, 10), receivedAttempt(19, 40, accepted)), zoneOp(verbReadZone, true, 12, 14, accepted), zoneOp(verbChangeZone, false, 20, 25, accepted), zoneOp(verbReadZone, true, 41, 50, accepted)}},
		{"an attempt that takes effect after its reply", true, []operation{retriedZoneOp(true, receivedAttempt(0, 10, accepted)), zoneOp(verbChangeZone, false, 11, 20, accepted), zoneOp(verbReadZone, true, 21, 30, accepted)}},
		{"an attempt that takes effect after a reply that was lost", true, []operation{retriedZoneOp(true, receivedAttempt(0, 10, accepted), receivedAttempt(12, 20, accepted)), zoneOp(verbChangeZone, false, 21, 25, accepted), zoneOp(verbReadZone, true, 31, 40, accepted)}},
		{"an undecided attempt that takes effect after the next", false, []operation{retriedZoneOp(true, receivedAttempt(0, 10, undecided), receivedAttempt(12, 20, accepted)), zoneOp(verbChangeZone, false, 21, 25, accepted), zoneOp(verbReadZone, true, 31, 40, accepted)}},
		{"an undecided attempt that takes effect twice", true, []operation{retriedZoneOp(true, receivedAttempt(0, 10, undecided)), zoneOp(verbReadZone, true, 11, 12, accepted), zoneOp(verbChangeZone, false, 21, 25, accepted), zoneOp(verbReadZone, true, 31, 40, accepted)}},
		{"a rejected command", true, []operation{zoneOp(verbChangeZone, true, 0, 10, rejected), zoneOp(verbReadZone, true, 11, 20, accepted)}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var recorded history
			for _, op := range test.operations {
				recorded.add(op)
			}
			violations, undecidedKeys := recorded.check()
			if (len(violations) > 0) != test.violation || undecidedKeys > 0 {
				t.Errorf("%v, %d keys undecided", violations, undecidedKeys)
			}
		})
	}
}

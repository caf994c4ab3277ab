package rollout

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/errkind"
	"onyxwell/control/transport"
)

func mustMarshal(t *testing.T, record Record) []byte {
	t.Helper()
	value, err := transport.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func TestBegin_acceptsOrRejects(t *testing.T) {
	inProgress := Record{Version: 3, Order: 1, Target: `"v2"`, TermMS: 12000, Condition: int64(InProgress)}
	reverted := inProgress
	reverted.Condition, reverted.Rejected = int64(Reverted), []string{`"v2"`}
	finished := inProgress
	finished.Condition = int64(Finished)
	later := Record{Version: 9, Order: 2, Target: `"v3"`, TermMS: 12000, Condition: int64(Finished), Rejected: []string{`"v2"`}}
	cases := []struct {
		name    string
		current Record
		order   Order
		kind    errkind.Kind
		writes  bool
	}{
		{"first order", Record{}, Order{Target: `"v2"`, TermMS: 12000}, errkind.None, true},
		{"repeated in progress", inProgress, Order{Target: `"v2"`, TermMS: 12000}, errkind.None, false},
		{"repeated after it was reverted", reverted, Order{Target: `"v2"`, TermMS: 12000}, errkind.None, false},
		{"repeated after it finished", finished, Order{Target: `"v2"`, TermMS: 12000}, errkind.None, false},
		{"another term in progress", inProgress, Order{Target: `"v2"`, TermMS: 15000}, errkind.RolloutConflict, false},
		{"another version in progress", inProgress, Order{Target: `"v3"`, TermMS: 12000}, errkind.RolloutConflict, false},
		{"version in place", finished, Order{Target: `"v2"`, TermMS: 15000}, errkind.RolloutConflict, false},
		{"reverted version, another term", reverted, Order{Target: `"v2"`, TermMS: 15000}, errkind.RolloutConflict, false},
		{"version reverted earlier", later, Order{Target: `"v2"`, TermMS: 12000}, errkind.RolloutConflict, false},
		{"next version after a reversal", reverted, Order{Target: `"v3"`, TermMS: 12000}, errkind.None, true},
		{"next version", finished, Order{Target: `"v3"`, TermMS: 12000}, errkind.None, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var current []byte
			if test.current.Version > 0 {
				current = mustMarshal(t, test.current)
			}
			value, err := Begin(test.order)(current)
			if errkind.KindOf(err) != test.kind || (value != nil) != test.writes {
				t.Fatalf("got error %v, writes a record: %v", err, value != nil)
			}
			if !test.writes {
				return
			}
			record, err := Decode(test.order.Service, value)
			if err != nil || !record.InProgress() || record.Target != test.order.Target || record.Order != test.current.Order+1 ||
				record.Version != test.current.Version+1 || record.ReservedMS != 0 || len(record.Rejected) != len(test.current.Rejected) {
				t.Errorf("unexpected record %+v, error %v", record, err)
			}
		})
	}
}

// TestTransition_neverGoesBack applies steps with random epochs and orders: a final condition
// never changes, stages and versions only increase, and no step of an earlier epoch is applied
// after one of a later epoch.
func TestTransition_neverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value, err := Begin(Order{Target: `"v2"`, TermMS: 12000})(nil)
		if err != nil {
			t.Fatal(err)
		}
		before, _ := Decode("", value)
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			step := Transition{
				Order: int64(rapid.IntRange(0, 2).Draw(t, "order")), Epoch: int64(rapid.IntRange(1, 4).Draw(t, "epoch")),
				To: Condition(rapid.IntRange(int(InProgress), int(Reverted)).Draw(t, "to")), Stage: Stage(rapid.IntRange(int(Waiting), int(Full)).Draw(t, "stage")),
				ReserveMS: int64(rapid.IntRange(0, 500).Draw(t, "reserve")),
			}
			next, err := step.Apply()(value)
			if err != nil {
				t.Fatal(err)
			}
			if next == nil {
				continue
			}
			after, err := Decode("", next)
			if err != nil {
				t.Fatal(err)
			}
			switch {
			case !before.InProgress():
				t.Fatalf("a final condition was changed: %+v after %+v", after, before)
			case step.Order != before.Order, after.Epoch < before.Epoch, after.Version != before.Version+1:
				t.Fatalf("outdated step or wrong version: %+v after %+v by %+v", after, before, step)
			case after.InProgress() && after.Stage < before.Stage, after.ReservedMS < before.ReservedMS:
				t.Fatalf("stage or reserved exposure decreased: %+v after %+v", after, before)
			}
			value, before = next, after
		}
	})
}

func TestServiceOfKey_invertsKey(t *testing.T) {
	if service, ok := ServiceOfKey(Key("readers")); !ok || service != "readers" {
		t.Errorf("%q, %v", service, ok)
	}
	if _, ok := ServiceOfKey("spec"); ok {
		t.Error("a key that is not of a rollout yields a service")
	}
}

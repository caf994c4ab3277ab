package slowstart

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// TestTracker_verify checks how an unverified runner leaves slow start: by a report that was
// asked for after it became unverified, or after a whole warm-up.
func TestTracker_verify(t *testing.T) {
	cases := []struct {
		name   string
		verify func(tracker *Tracker, clk *clock.Fake)
		active bool
	}{
		{"no report", func(*Tracker, *clock.Fake) {}, true},
		{"a whole warm-up later", func(_ *Tracker, clk *clock.Fake) { clk.Advance(3 * time.Second) }, false},
		{"warm", func(tracker *Tracker, clk *clock.Fake) { tracker.Verify("i", 0, clk.Now(), clk.Now()) }, false},
		{"cold", func(tracker *Tracker, clk *clock.Fake) { tracker.Verify("i", time.Second, clk.Now(), clk.Now()) }, true},
		{"cold, later", func(tracker *Tracker, clk *clock.Fake) {
			tracker.Verify("i", time.Second, clk.Now(), clk.Now())
			clk.Advance(time.Second)
		}, false},
		{"asked before", func(tracker *Tracker, clk *clock.Fake) { tracker.Verify("i", 0, clk.Now()-1, clk.Now()) }, true},
		{"unverified again", func(tracker *Tracker, clk *clock.Fake) {
			tracker.Verify("i", 0, clk.Now(), clk.Now())
			clk.Advance(time.Second)
			tracker.Unverify([]ids.RunnerID{"i"}, true, clk.Now())
			clk.Advance(2900 * time.Millisecond)
		}, true},
		{"listed as cold", func(tracker *Tracker, clk *clock.Fake) {
			tracker.Update([]Runner{{ID: "i", Remaining: time.Second, Warmup: 3 * time.Second}}, 0, clk.Now())
			tracker.Verify("i", 0, clk.Now(), clk.Now())
		}, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewFake()
			tracker := New(func() float64 { return 0 })
			tracker.Update([]Runner{{ID: "i", Warmup: 3 * time.Second}}, 0, clk.Now())
			tracker.Unverify([]ids.RunnerID{"i", "unknown"}, true, clk.Now())
			tc.verify(tracker, clk)
			if active := tracker.Active("i", clk.Now()); active != tc.active {
				t.Errorf("got in slow start %v", active)
			}
		})
	}
}

// TestTracker_dueChecks checks that an unverified runner is checked at intervals until it is
// verified.
func TestTracker_dueChecks(t *testing.T) {
	clk := clock.NewFake()
	tracker := New(func() float64 { return 0 })
	tracker.Update([]Runner{{ID: "i", Warmup: 3 * time.Second}, {ID: "j", Warmup: 3 * time.Second}, {ID: "k", Warmup: 3 * time.Second}}, 0, clk.Now())
	tracker.Unverify([]ids.RunnerID{"i"}, true, clk.Now())
	tracker.Unverify([]ids.RunnerID{"j"}, false, clk.Now())
	check := func(want int) {
		t.Helper()
		if due := tracker.DueChecks(clk.Now(), time.Second); len(due) != want || (want > 0 && due[0] != "i") {
			t.Errorf("got %v due, want %d", due, want)
		}
	}
	check(1)
	check(0)
	clk.Advance(time.Second)
	check(1)
	clk.Advance(time.Second)
	tracker.Verify("i", 0, clk.Now(), clk.Now())
	check(0)
	tracker.Unverify([]ids.RunnerID{"i"}, true, clk.Now())
	clk.Advance(3 * time.Second)
	check(0)
	tracker.Unverify([]ids.RunnerID{"j"}, false, clk.Now())
	if !tracker.Active("j", clk.Now()) || tracker.Active("k", clk.Now()) {
		t.Error("want exactly the unverified runner in slow start")
	}
}

package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"

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

// TestTracker_pause guards against the full load of a process that was suspended on runners
// that became cold meanwhile: the first request after the pause is limited already.
func TestTracker_pause(t *testing.T) {
	limit := Limit{RequestsPerSecond: 1, Routers: 1}
	cases := []struct {
		name    string
		pause   time.Duration
		limited bool
	}{{"running", time.Second, false}, {"suspended", time.Second + 1, true}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clk := clock.NewFake()
			tracker := New(func() float64 { return 0.5 })
			tracker.Update([]Runner{{ID: "near", Warmup: 3 * time.Second, Local: true}, {ID: "far", Warmup: 3 * time.Second}}, 0, clk.Now())
			tracker.DetectPauses(time.Second, clk.Now())
			clk.Advance(time.Second)
			tracker.Tick(clk.Now())
			clk.Advance(tc.pause)
			if limited := !tracker.CanAdmit("near", limit, clk.Now()); limited != tc.limited {
				t.Errorf("got limited %v", limited)
			}
			if !tracker.CanAdmit("far", limit, clk.Now()) {
				t.Error("a runner that is not local is limited")
			}
			if due := tracker.DueChecks(clk.Now(), time.Second); (len(due) == 1) != tc.limited {
				t.Errorf("got %v due", due)
			}
			tracker.Tick(clk.Now())
			tracker.Verify("near", 0, clk.Now(), clk.Now())
			if !tracker.CanAdmit("near", limit, clk.Now()) {
				t.Error("limited after the runner reported that it is warm")
			}
		})
	}
}

// TestTracker_sumOverRoutersOfRestoredZone has routers learn at different times that the zone
// of a cold runner is restored, and ask the runner at different times. In no second their
// sum exceeds the rate by more than one request per router.
func TestTracker_sumOverRoutersOfRestoredZone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 6).Draw(t, "routers")
		rate := float64(rapid.IntRange(5, 40).Draw(t, "rate"))
		limit := Limit{RequestsPerSecond: rate, Routers: routers}
		clk := clock.NewFake()
		coldUntil := clk.Now().Add(3 * time.Second)
		trackers := make([]*Tracker, routers)
		var admitted []clock.Instant
		for clk.Now().Before(coldUntil) {
			clk.Advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond)
			now, number := clk.Now(), rapid.IntRange(0, routers-1).Draw(t, "router")
			if trackers[number] == nil {
				trackers[number] = New(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "turn") })
				trackers[number].Update([]Runner{{ID: "i", Warmup: 3 * time.Second}}, 0, now)
				trackers[number].Unverify([]ids.RunnerID{"i"}, true, now)
			} else if rapid.Bool().Draw(t, "verified") {
				trackers[number].Verify("i", coldUntil.Since(now), now, now)
			}
			for now.Before(coldUntil) && trackers[number].Admit("i", limit, now) {
				admitted = append(admitted, now)
			}
		}
		if count := mostInOneSecond(admitted); float64(count) > rate+float64(routers) {
			t.Fatalf("%d requests in one second at a rate of %v from %d routers", count, rate, routers)
		}
	})
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

package slowstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/proptest"
)

func TestMain(m *testing.M) { proptest.Run(m) }

// TestTracker_sumOverRoutersIsBounded has several routers send a runner in slow start as
// many requests as they may, and checks that in no second the sum exceeds the rate by
// more than one request per router.
func TestTracker_sumOverRoutersIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 10).Draw(t, "routers")
		rate := float64(rapid.IntRange(5, 40).Draw(t, "rate"))
		limit := Limit{RequestsPerSecond: rate, Routers: routers}
		clk := clock.NewFake()
		var trackers []*Tracker
		for range routers {
			tracker := New(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "turn") })
			tracker.Update([]Runner{{ID: "i", Remaining: 60 * time.Second}}, 0, clk.Now())
			trackers = append(trackers, tracker)
		}
		var admitted []clock.Instant
		for range 300 {
			clk.Advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			tracker := trackers[rapid.IntRange(0, routers-1).Draw(t, "router")]
			for tracker.Admit("i", limit, clk.Now()) {
				admitted = append(admitted, clk.Now())
			}
		}
		if count := mostInOneSecond(admitted); float64(count) > rate+float64(routers) {
			t.Fatalf("%d requests in one second at a rate of %v from %d routers", count, rate, routers)
		}
	})
}

// mostInOneSecond returns the largest number of requests admitted within one second.
func mostInOneSecond(admitted []clock.Instant) int {
	most := 0
	for first := range admitted {
		count := 0
		for _, at := range admitted[first:] {
			if at.Since(admitted[first]) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestTracker_whichRunnersAreInSlowStart(t *testing.T) {
	clk := clock.NewFake()
	tracker := New(func() float64 { return 0 })
	tracker.Update([]Runner{{ID: "old", Warmup: 3 * time.Second}, {ID: "cold", Remaining: time.Second, Warmup: 3 * time.Second}}, time.Second, clk.Now())
	if tracker.Active("old", clk.Now()) || !tracker.Active("cold", clk.Now()) {
		t.Fatal("on the first list, exactly the runners with remaining warm-up time must be in slow start")
	}
	tracker.Update([]Runner{{ID: "old"}, {ID: "cold"}, {ID: "new", Warmup: 3 * time.Second}}, time.Second, clk.Now())
	if tracker.Active("old", clk.Now()) || !tracker.Active("new", clk.Now()) {
		t.Fatal("on later lists, exactly the new runners must enter slow start")
	}
	clk.Advance(2 * time.Second)
	if tracker.Active("cold", clk.Now()) {
		t.Fatal("still in slow start after the remaining warm-up time plus the lag of the list")
	}
	tracker.Extend("old", clk.Now().Add(time.Second), clk.Now())
	if !tracker.Active("old", clk.Now()) {
		t.Fatal("not in slow start after Extend")
	}
	if tracker.Admit("old", Limit{RequestsPerSecond: 20}, clk.Now()) {
		t.Fatal("a request was admitted although this router has no share of the rate")
	}
	if !tracker.Admit("old", Limit{}, clk.Now()) || !tracker.Admit("unknown", Limit{RequestsPerSecond: 1}, clk.Now()) {
		t.Fatal("a service without a rate limit or an unknown runner is limited")
	}
}

// TestTracker_routersSpreadTheirFirstRequest has far more routers than the rate per
// second learn of a runner in slow start at the same time. All of them have requests for
// it at once, and in each second their sum may exceed the rate by at most one.
func TestTracker_routersSpreadTheirFirstRequest(t *testing.T) {
	const routers, rate = 72, 20.0
	limit := Limit{RequestsPerSecond: rate, Routers: routers}
	clk := clock.NewFake()
	var trackers []*Tracker
	for index := range routers {
		tracker := New(func() float64 { return float64(index) / routers })
		tracker.Update([]Runner{{ID: "i", Remaining: 60 * time.Second}}, 0, clk.Now())
		trackers = append(trackers, tracker)
	}
	for second := range 10 {
		count := 0
		for range 20 {
			for _, tracker := range trackers {
				if tracker.Admit("i", limit, clk.Now()) {
					count++
				}
			}
			clk.Advance(50 * time.Millisecond)
		}
		if count > rate+1 {
			t.Fatalf("%d requests in second %d", count, second)
		}
	}
}

package slowstart

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestTracker_sumOverRoutersIsBounded has several routers send a cold runner all
// they may: in no second does the sum go over its rate by more than one each.
func TestTracker_sumOverRoutersIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 10).Draw(t, "routers")
		rate := float64(rapid.IntRange(5, 40).Draw(t, "rate"))
		bound := Limit{RequestsPerSecond: rate, Routers: routers}
		machine := clock.NewFake()
		var all []*Tracker
		for range routers {
			made := New(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "turn") })
			made.Update([]Runner{{ID: "i", Remaining: 60 * clock.Second}}, 0, machine.Now())
			all = append(all, made)
		}
		var taken []clock.Instant
		for range 300 {
			machine.Advance(clock.Span(rapid.IntRange(0, 30).Draw(t, "ms")) * clock.Millisecond)
			router := all[rapid.IntRange(0, routers-1).Draw(t, "router")]
			for router.Admit("i", bound, machine.Now()) {
				taken = append(taken, machine.Now())
			}
		}
		for first := range taken {
			count := 0
			for _, when := range taken[first:] {
				if when.Since(taken[first]) < clock.Second {
					count++
				}
			}
			if float64(count) > rate+float64(routers) {
				t.Fatalf("%d requests in one second at a rate of %v from %d routers", count, rate, routers)
			}
		}
	})
}

func TestTracker_whichRunnersAreInSlowStart(t *testing.T) {
	machine := clock.NewFake()
	made := New(func() float64 { return 0 })
	made.Update([]Runner{{ID: "old", Warmup: 3 * clock.Second}, {ID: "cold", Remaining: clock.Second, Warmup: 3 * clock.Second}}, clock.Second, machine.Now())
	if made.Active("old", machine.Now()) || !made.Active("cold", machine.Now()) {
		t.Fatal("on the first list the list's own word counts")
	}
	made.Update([]Runner{{ID: "old"}, {ID: "cold"}, {ID: "new", Warmup: 3 * clock.Second}}, clock.Second, machine.Now())
	if made.Active("old", machine.Now()) || !made.Active("new", machine.Now()) {
		t.Fatal("a runner that was not there before counts as cold")
	}
	machine.Advance(2 * clock.Second)
	if made.Active("cold", machine.Now()) {
		t.Fatal("still cold after its time and the list's lag")
	}
	made.Extend("old", machine.Now().Add(clock.Second), machine.Now())
	if !made.Active("old", machine.Now()) {
		t.Fatal("not cold after word of it")
	}
	if made.Admit("old", Limit{RequestsPerSecond: 20}, machine.Now()) {
		t.Fatal("a cold runner that is not this router's was taken")
	}
	if !made.Admit("old", Limit{}, machine.Now()) || !made.Admit("unknown", Limit{RequestsPerSecond: 1}, machine.Now()) {
		t.Fatal("a service without a rate, or a runner without a standing, is bounded")
	}
}

// TestTracker_routersSpreadTheirFirstRequest has far more routers than a second's rate all
// learn of a cold runner at one moment, and all want it at once.
func TestTracker_routersSpreadTheirFirstRequest(t *testing.T) {
	const routers, rate = 72, 20.0
	bound := Limit{RequestsPerSecond: rate, Routers: routers}
	machine := clock.NewFake()
	var all []*Tracker
	for index := range routers {
		made := New(func() float64 { return float64(index) / routers })
		made.Update([]Runner{{ID: "i", Remaining: 60 * clock.Second}}, 0, machine.Now())
		all = append(all, made)
	}
	for second := range 10 {
		count := 0
		for range 20 {
			for _, router := range all {
				if router.Admit("i", bound, machine.Now()) {
					count++
				}
			}
			machine.Advance(50 * clock.Millisecond)
		}
		if count > rate+1 {
			t.Fatalf("%d requests in second %d", count, second)
		}
	}
}

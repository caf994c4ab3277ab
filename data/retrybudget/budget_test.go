package retrybudget

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const (
	routers = 4
	length  = 10 * clock.Second
	ratio   = 0.2
	extra   = 8.0
)

type event struct {
	at    clock.Instant
	spent bool
}

// TestSumStaysInsideTheBound has four routers that know nothing of each other
// spend as much as each may: in every window the sum stays inside the bound.
func TestSumStaysInsideTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := clock.NewFake()
		var budgets []*Budget
		for range routers {
			budgets = append(budgets, New(Options{Ratio: ratio, Extra: extra, Window: length, Sharers: func() int { return routers }}))
		}
		var events []event
		for range rapid.IntRange(20, 200).Draw(t, "length") {
			router := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			machine.Advance(clock.Span(rapid.IntRange(0, 700).Draw(t, "ms")) * clock.Millisecond)
			now := machine.Now()
			if rapid.Bool().Draw(t, "request") {
				router.Request("s", now)
				events = append(events, event{at: now})
				continue
			}
			for range 3 {
				if router.Spend("s", now) {
					events = append(events, event{at: now, spent: true})
				}
			}
		}
		for first := range events {
			requests, spent := 0.0, 0.0
			for _, seen := range events[first:] {
				if seen.at.Since(events[first].at) > length {
					break
				}
				if seen.spent {
					spent++
				}
			}
			for _, seen := range events {
				// The rule counts the requests of this window or an earlier one.
				if since := seen.at.Since(events[first].at); !seen.spent && since >= -length && since <= length {
					requests++
				}
			}
			if spent > ratio*requests+extra {
				t.Fatalf("%v tries for %v requests in one window", spent, requests)
			}
		}
	})
}

func TestServicesDoNotShare(t *testing.T) {
	machine := clock.NewFake()
	tries := New(Options{Extra: 1, Window: length, Sharers: func() int { return 1 }})
	if !tries.Spend("a", machine.Now()) || tries.Spend("a", machine.Now()) || !tries.Spend("b", machine.Now()) {
		t.Fatal("the extra is not one a service")
	}
	machine.Advance(length + clock.Second)
	if !tries.Spend("a", machine.Now()) {
		t.Fatal("the window does not slide")
	}
}

// TestLivesOfARouterShareOneExtra has a router spend its part of the extra, end,
// and be started again: both lives together stay inside the bound in every window.
func TestLivesOfARouterShareOneExtra(t *testing.T) {
	const extra, window = 6, 10 * clock.Second
	one := func() int { return 1 }
	now := clock.Instant(20 * clock.Second)
	spent := 0
	spend := func(life *Budget, at clock.Instant) {
		for life.Spend("desk", at) {
			spent++
		}
	}
	spend(New(Options{Extra: extra, Window: window, Sharers: one}), now)
	restarted := now.Add(clock.Second)
	next := New(Options{Extra: extra, Window: window, Sharers: one, ExtraFrom: restarted.Add(window)})
	spend(next, restarted)
	spend(next, now.Add(window))
	if spent > extra {
		t.Errorf("%d further tries in one window, %d are allowed", spent, extra)
	}
	if spend(next, restarted.Add(window)); spent <= extra {
		t.Error("the extra never comes back")
	}
}

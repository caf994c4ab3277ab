package retrybudget

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const (
	routers      = 4
	windowLength = 10 * clock.Second
	ratio        = 0.2
	reserve      = 8.0
)

type event struct {
	at    clock.Instant
	spent bool
}

// TestBudget_sumOverRoutersIsBounded has four routers that know nothing of each other
// spend as much as each may: in every window the sum stays inside the bound.
func TestBudget_sumOverRoutersIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := clock.NewFake()
		var budgets []*Budget
		for range routers {
			budgets = append(budgets, New(Options{Ratio: ratio, Reserve: reserve, Window: windowLength, Routers: func() int { return routers }}))
		}
		var events []event
		for range rapid.IntRange(20, 200).Draw(t, "length") {
			router := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			machine.Advance(clock.Span(rapid.IntRange(0, 700).Draw(t, "ms")) * clock.Millisecond)
			now := machine.Now()
			if rapid.Bool().Draw(t, "request") {
				router.AddRequest("s", now)
				events = append(events, event{at: now})
				continue
			}
			for range 3 {
				if router.TrySpend("s", now) {
					events = append(events, event{at: now, spent: true})
				}
			}
		}
		for first := range events {
			requests, spent := 0.0, 0.0
			for _, seen := range events[first:] {
				if seen.at.Since(events[first].at) > windowLength {
					break
				}
				if seen.spent {
					spent++
				}
			}
			for _, seen := range events {
				// The rule counts the requests of this window or an earlier one.
				if since := seen.at.Since(events[first].at); !seen.spent && since >= -windowLength && since <= windowLength {
					requests++
				}
			}
			if spent > ratio*requests+reserve {
				t.Fatalf("%v tries for %v requests in one window", spent, requests)
			}
		}
	})
}

func TestBudget_servicesAreIndependent(t *testing.T) {
	machine := clock.NewFake()
	tries := New(Options{Reserve: 1, Window: windowLength, Routers: func() int { return 1 }})
	if !tries.TrySpend("a", machine.Now()) || tries.TrySpend("a", machine.Now()) || !tries.TrySpend("b", machine.Now()) {
		t.Fatal("the extra is not one a service")
	}
	machine.Advance(windowLength + clock.Second)
	if !tries.TrySpend("a", machine.Now()) {
		t.Fatal("the window does not slide")
	}
}

// TestBudget_reserveAcrossRestart has a router spend its part of the extra, end,
// and be started again: both lives together stay inside the bound in every window.
func TestBudget_reserveAcrossRestart(t *testing.T) {
	const extra, window = 6, 10 * clock.Second
	one := func() int { return 1 }
	now := clock.Instant(20 * clock.Second)
	spent := 0
	spend := func(life *Budget, at clock.Instant) {
		for life.TrySpend("desk", at) {
			spent++
		}
	}
	spend(New(Options{Reserve: extra, Window: window, Routers: one}), now)
	restarted := now.Add(clock.Second)
	next := New(Options{Reserve: extra, Window: window, Routers: one, ReserveFrom: restarted.Add(window)})
	spend(next, restarted)
	spend(next, now.Add(window))
	if spent > extra {
		t.Errorf("%d further tries in one window, %d are allowed", spent, extra)
	}
	if spend(next, restarted.Add(window)); spent <= extra {
		t.Error("the extra never comes back")
	}
}

package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/proptest"
)

func TestMain(m *testing.M) { proptest.Run(m) }

const (
	routers      = 4
	windowLength = 10 * time.Second
	ratio        = 0.2
	reserve      = 8.0
)

// event is a counted request or an allowed retry.
type event struct {
	at    clock.Instant
	retry bool
}

// TestBudget_sumOverRoutersIsBounded has routers that do not communicate make as many
// retries as each is allowed. In every window their sum must stay within the bound.
func TestBudget_sumOverRoutersIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clk := clock.NewFake()
		var budgets []*Budget
		for range routers {
			budgets = append(budgets, New(Options{Ratio: ratio, Reserve: reserve, Window: windowLength, Routers: func() int { return routers }}))
		}
		var events []event
		for range rapid.IntRange(20, 200).Draw(t, "length") {
			budget := budgets[rapid.IntRange(0, routers-1).Draw(t, "router")]
			clk.Advance(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			now := clk.Now()
			if rapid.Bool().Draw(t, "request") {
				budget.AddRequest("s", now)
				events = append(events, event{at: now})
				continue
			}
			for range 3 {
				if budget.TrySpend("s", now) {
					events = append(events, event{at: now, retry: true})
				}
			}
		}
		for first := range events {
			requests, retries := 0.0, 0.0
			for _, e := range events[first:] {
				if e.at.Since(events[first].at) > windowLength {
					break
				}
				if e.retry {
					retries++
				}
			}
			for _, e := range events {
				// The bound takes into account the requests of this window and the one before.
				if since := e.at.Since(events[first].at); !e.retry && since >= -windowLength && since <= windowLength {
					requests++
				}
			}
			if retries > ratio*requests+reserve {
				t.Fatalf("%v retries for %v requests in one window, more than the bound allows", retries, requests)
			}
		}
	})
}

func TestBudget_servicesAreIndependent(t *testing.T) {
	clk := clock.NewFake()
	budget := New(Options{Reserve: 1, Window: windowLength, Routers: func() int { return 1 }})
	if !budget.TrySpend("a", clk.Now()) || budget.TrySpend("a", clk.Now()) || !budget.TrySpend("b", clk.Now()) {
		t.Fatal("want exactly one retry from the reserve of each service")
	}
	clk.Advance(windowLength + time.Second)
	if !budget.TrySpend("a", clk.Now()) {
		t.Fatal("no retry was allowed after the previous one had left the window")
	}
}

// TestBudget_reserveAcrossRestart restarts a router that has spent its share of the reserve.
// Both processes together must stay within the bound in every window.
func TestBudget_reserveAcrossRestart(t *testing.T) {
	const reserve, window = 6, 10 * time.Second
	oneRouter := func() int { return 1 }
	now := clock.Instant(20 * time.Second)
	spent := 0
	spend := func(budget *Budget, at clock.Instant) {
		for budget.TrySpend("desk", at) {
			spent++
		}
	}
	spend(New(Options{Reserve: reserve, Window: window, Routers: oneRouter}), now)
	restartedAt := now.Add(time.Second)
	afterRestart := New(Options{Reserve: reserve, Window: window, Routers: oneRouter, ReserveFrom: restartedAt.Add(window)})
	spend(afterRestart, restartedAt)
	spend(afterRestart, now.Add(window))
	if spent > reserve {
		t.Errorf("%d retries in one window, want at most %d", spent, reserve)
	}
	if spend(afterRestart, restartedAt.Add(window)); spent <= reserve {
		t.Error("the reserve was not available at ReserveFrom")
	}
}

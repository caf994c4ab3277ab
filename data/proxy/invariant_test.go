package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/data/balancer"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// TestInvariants_countViolations makes an exchange violate invariants that other
// packages uphold in operation, or comply with them: only violations are counted.
func TestInvariants_countViolations(t *testing.T) {
	runner := &snapshot.Runner{Runner: discovery.Runner{ID: "i"}, Region: "north"}
	ran := []attemptRecord{{runner: "i", outcome: upstream.Indeterminate}}
	responseOf := func(attempt string, seal string) *http.Response {
		return &http.Response{StatusCode: 200, Header: http.Header{upstream.AttemptIDHeader: {attempt}, upstream.SealHeader: {seal}}}
	}
	cases := []struct {
		name       invariant.Name
		route      config.Route
		attempts   []attemptRecord
		violate    func(e *exchange)
		violations int64
	}{
		{invariant.RunOnce, config.Route{Type: config.Unsafe, MaxAttempts: 3}, ran, func(e *exchange) { e.checkAttempt(runner, 0, 0) }, 1},
		{invariant.RunOnce, config.Route{Type: config.Safe, MaxAttempts: 3}, ran, func(e *exchange) { e.checkAttempt(runner, 0, 0) }, 0},
		{invariant.AttemptLimit, config.Route{Type: config.Safe, MaxAttempts: 1}, ran, func(e *exchange) { e.checkAttempt(runner, 0, 0) }, 1},
		{invariant.Home, config.Route{Type: config.Safe, HomeRegions: []ids.Region{"south"}}, nil, func(e *exchange) { e.checkAttempt(runner, 0, 0) }, 1},
		{invariant.Home, config.Route{Type: config.Safe, HomeRegions: []ids.Region{"north"}}, nil, func(e *exchange) {
			e.balancerRequest.Tenant = &config.Tenant{HomeRegions: []ids.Region{"south"}}
			e.checkAttempt(runner, 0, 0)
		}, 1},
		{invariant.TenantKnown, config.Route{Type: config.Safe}, nil, func(e *exchange) { checkAttemptAs(e, "a", "a", "") }, 0},
		{invariant.TenantKnown, config.Route{Type: config.Safe}, nil, func(e *exchange) { checkAttemptAs(e, "a", "b", "") }, 1},
		{invariant.TenantKnown, config.Route{Type: config.Safe}, nil, func(e *exchange) { checkAttemptAs(e, "a", "a", "key") }, 1},
		{invariant.TenantKnown, config.Route{Type: config.Safe}, nil, func(e *exchange) { checkAttemptAs(e, "", "", "") }, 1},
		{invariant.TenantKnown, config.Route{Type: config.Safe, Public: true}, nil, func(e *exchange) { checkAttemptAs(e, "", "", "") }, 0},
		{invariant.TenantKnown, config.Route{Type: config.Safe, Public: true}, nil, func(e *exchange) { checkAttemptAs(e, "", "b", "") }, 1},
		{invariant.DeadlineNotExtended, config.Route{Type: config.Safe}, nil, func(e *exchange) {
			e.clientTimeout = time.Second
			e.checkAttempt(runner, 2*time.Second, 0)
		}, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(e *exchange) { e.reject(errkind.Overloaded, "") }, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(e *exchange) { e.reject(errkind.RunnerLost, "") }, 0},
		{invariant.ResponseSeal, config.Route{}, nil, func(e *exchange) { e.beginResponse(responseOf("other", "s"), 0) }, 1},
		{invariant.ResponseSeal, config.Route{}, nil, func(e *exchange) { e.beginResponse(responseOf("a", ""), 0) }, 1},
		{invariant.ResponseSeal, config.Route{}, nil, func(e *exchange) { e.beginResponse(responseOf("a", "s"), 0) }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "5", "4") }, 1},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "5", "05") }, 1},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "5", "6") }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "5", "9") }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "5", "5") }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(e *exchange) { checkEventsInOrder(e, "", "5") }, 0},
	}
	for index, tc := range cases {
		t.Run(fmt.Sprintf("%s %d", tc.name, index), func(t *testing.T) {
			monitor := &invariant.Monitor{Tolerant: true}
			p := New(Options{Clock: clock.NewFake(), Log: scope.NewLogger("error", io.Discard), Monitor: monitor})
			e := &exchange{
				proxy: p, w: httptest.NewRecorder(), req: httptest.NewRequest("GET", "/", nil),
				snapshot: &snapshot.Snapshot{Config: &config.Config{}},
				route:    &tc.route, balancerRequest: balancer.Request{Route: &tc.route}, upstreamRequest: &upstream.Request{AttemptID: "a"}, attempts: tc.attempts,
			}
			tc.violate(e)
			if got := monitor.Count(tc.name); got != tc.violations {
				t.Errorf("%d violations counted, want %d", got, tc.violations)
			}
		})
	}
}

// checkAttemptAs checks an attempt of an exchange that belongs to tenant and names the
// tenant sent to the runner; either may be empty for none. The request also carries the
// client's key unless that is empty.
func checkAttemptAs(e *exchange, tenant ids.Tenant, sent ids.Tenant, key string) {
	e.snapshot.Config.Tenants = []config.Tenant{{Name: "a"}}
	if tenant != "" {
		e.tenant = &config.Tenant{Name: tenant}
	}
	e.upstreamRequest.Tenant = sent
	if key != "" {
		e.upstreamRequest.Header = http.Header{upstream.APIKeyHeader: {key}}
	}
	e.checkAttempt(&snapshot.Runner{}, 0, 0)
}

// checkEventsInOrder checks two ids of which the second is the last one after the event
// that follows the first was forwarded. An empty text is no id.
func checkEventsInOrder(e *exchange, previous string, last string) {
	e.checkEventOrder(upstream.ParseEventID(previous), upstream.ParseEventID(last))
}

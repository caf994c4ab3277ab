package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// TestInvariants_countPlantedViolations has a visit do what the decision keeps it
// from, and wants each counted.
func TestInvariants_countPlantedViolations(t *testing.T) {
	runner := &snapshot.Runner{Runner: discovery.Runner{ID: "i"}, Region: "north"}
	ran := []attemptRecord{{runner: "i", outcome: upstream.Indeterminate}}
	stamped := func(attempt string, seal string) *http.Response {
		return &http.Response{StatusCode: 200, Header: http.Header{upstream.AttemptIDHeader: {attempt}, upstream.SealHeader: {seal}}}
	}
	// A run that goes on, though it was asked for its beginning.
	events := func(first int) *http.Response {
		text := fmt.Sprintf("id: %d\ndata: x\n\n", first)
		return &http.Response{StatusCode: 200, Body: io.NopCloser(strings.NewReader(text)), Request: &http.Request{Header: http.Header{}}}
	}
	cases := []struct {
		name   invariant.Name
		route  config.Route
		sends  []attemptRecord
		act    func(visit *exchange)
		broken int64
	}{
		{invariant.RunOnce, config.Route{Type: config.Unsafe, MaxAttempts: 3}, ran, func(visit *exchange) { visit.checkAttempt(runner, 0, 0) }, 1},
		{invariant.RunOnce, config.Route{Type: config.Safe, MaxAttempts: 3}, ran, func(visit *exchange) { visit.checkAttempt(runner, 0, 0) }, 0},
		{invariant.Tries, config.Route{Type: config.Safe, MaxAttempts: 1}, ran, func(visit *exchange) { visit.checkAttempt(runner, 0, 0) }, 1},
		{invariant.Home, config.Route{Type: config.Safe, HomeRegions: []ids.Region{"south"}}, nil, func(visit *exchange) { visit.checkAttempt(runner, 0, 0) }, 1},
		{invariant.TimeLeft, config.Route{Type: config.Safe}, nil, func(visit *exchange) {
			visit.clientTimeout = clock.Second
			visit.checkAttempt(runner, 2*clock.Second, 0)
		}, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(visit *exchange) { visit.reject(errkind.Overloaded, "") }, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(visit *exchange) { visit.reject(errkind.RunnerLost, "") }, 0},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *exchange) { visit.beginResponse(stamped("other", "s"), 0) }, 1},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *exchange) { visit.beginResponse(stamped("a", ""), 0) }, 1},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *exchange) { visit.beginResponse(stamped("a", "s"), 0) }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(visit *exchange) { resumeEvents(visit, events(9)) }, 1},
		{invariant.EventOrder, config.Route{}, nil, func(visit *exchange) { resumeEvents(visit, events(6)) }, 0},
	}
	for _, example := range cases {
		monitor := &invariant.Monitor{Tolerant: true}
		front := New(Options{Scope: scope.New(scope.Options{Clock: clock.NewFake()}), Monitor: monitor})
		planted := &exchange{
			proxy: front, writer: httptest.NewRecorder(), request: httptest.NewRequest("GET", "/", nil),
			route: &example.route, upstreamRequest: &upstream.Request{AttemptID: "a"}, attempts: example.sends,
		}
		example.act(planted)
		if got := monitor.Count(example.name); got != example.broken {
			t.Errorf("%s: counted %d, not %d", example.name, got, example.broken)
		}
	}
}

// resumeEvents has a visit that has passed on event 5 pass on an answer's events.
func resumeEvents(visit *exchange, response *http.Response) {
	visit.headerSent, visit.hasLastEventID, visit.lastEventID = true, true, 5
	visit.relayEvents(response)
}

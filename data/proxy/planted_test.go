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

// TestInvariantsCountPlantedViolations has a visit do what the decision keeps it
// from, and wants each counted.
func TestInvariantsCountPlantedViolations(t *testing.T) {
	runner := &snapshot.Runner{Runner: discovery.Runner{ID: "i"}, Region: "north"}
	ran := []sending{{runner: "i", fate: upstream.Indeterminate}}
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
		sends  []sending
		act    func(visit *visit)
		broken int64
	}{
		{invariant.RunOnce, config.Route{Type: config.Unsafe, MaxAttempts: 3}, ran, func(visit *visit) { visit.checkSending(runner, 0, 0) }, 1},
		{invariant.RunOnce, config.Route{Type: config.Safe, MaxAttempts: 3}, ran, func(visit *visit) { visit.checkSending(runner, 0, 0) }, 0},
		{invariant.Tries, config.Route{Type: config.Safe, MaxAttempts: 1}, ran, func(visit *visit) { visit.checkSending(runner, 0, 0) }, 1},
		{invariant.Home, config.Route{Type: config.Safe, HomeRegions: []ids.Region{"south"}}, nil, func(visit *visit) { visit.checkSending(runner, 0, 0) }, 1},
		{invariant.TimeLeft, config.Route{Type: config.Safe}, nil, func(visit *visit) {
			visit.clientLeft = clock.Second
			visit.checkSending(runner, 2*clock.Second, 0)
		}, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(visit *visit) { visit.refuse(errkind.Overloaded, "") }, 1},
		{invariant.PromiseNotRun, config.Route{Type: config.Unsafe}, ran, func(visit *visit) { visit.refuse(errkind.RunnerLost, "") }, 0},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *visit) { visit.begin(stamped("other", "s"), 0) }, 1},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *visit) { visit.begin(stamped("a", ""), 0) }, 1},
		{invariant.AnswerSeal, config.Route{}, nil, func(visit *visit) { visit.begin(stamped("a", "s"), 0) }, 0},
		{invariant.EventOrder, config.Route{}, nil, func(visit *visit) { goOn(visit, events(9)) }, 1},
		{invariant.EventOrder, config.Route{}, nil, func(visit *visit) { goOn(visit, events(6)) }, 0},
	}
	for _, example := range cases {
		monitor := &invariant.Monitor{Tolerant: true}
		front := NewFront(Options{Scope: scope.New(scope.Options{Clock: clock.NewFake()}), Monitor: monitor})
		planted := &visit{
			front: front, writer: httptest.NewRecorder(), request: httptest.NewRequest("GET", "/", nil),
			route: &example.route, sent: &upstream.Request{AttemptID: "a"}, sends: example.sends,
		}
		example.act(planted)
		if got := monitor.Count(example.name); got != example.broken {
			t.Errorf("%s: counted %d, not %d", example.name, got, example.broken)
		}
	}
}

// goOn has a visit that has passed on event 5 pass on an answer's events.
func goOn(visit *visit, response *http.Response) {
	visit.begun, visit.known, visit.last = true, true, 5
	visit.passEvents(response)
}

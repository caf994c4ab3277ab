package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/slowstart"
	"onyxwell/data/upstreamtest"
)

// TestProxy_deadlineDuringWait lets the deadline pass while all runners are
// suspected of failure: a client whose request was not executed gets a 503, which
// promises that, and a stream that had begun is broken off.
func TestProxy_deadlineDuringWait(t *testing.T) {
	for path, status := range map[string]int{"/safe/x": 503, "/again/x": 200} {
		one, two := upstreamtest.Start(t, upstreamtest.EventStream("s", 1, 2, false)), upstreamtest.Start(t, upstreamtest.HangUp())
		p := newTestProxy(t, 10, one, two)
		p.stats.Suspect("i-2", p.clock.Now())
		if status == 503 {
			p.stats.Suspect("i-1", p.clock.Now())
		}
		done := make(chan clientResponse)
		go func() { done <- p.do(path, "x", "Onyxwell-Time-Left-Ms", "50") }()
		var got clientResponse
		for responded := false; !responded; {
			select {
			case got = <-done:
				responded = true
			default:
				if status == 503 || countRequests(one) > 0 && p.stats.State("i-1").InFlight == 0 {
					p.clock.AdvanceToNext()
				}
				runtime.Gosched()
			}
		}
		if got.status != status || (status == 200) != (got.err != nil) {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestProxy_stalledPastDeadline stalls the router past the deadline before it reads
// the runner's response or disconnect: the request, which may have been executed,
// must not be sent again, and the response must not promise that it was not executed.
func TestProxy_stalledPastDeadline(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/again/x"} {
		for _, step := range []upstreamtest.Step{upstreamtest.Respond(200, "s", "id: 1\n\n"), upstreamtest.HangUp(), upstreamtest.Reset("H")} {
			var p *testProxy
			stall := func() { p.clock.Advance(6 * time.Second) }
			one, two := upstreamtest.Start(t, upstreamtest.Before(func() { stall() }, step)), upstreamtest.Start(t, upstreamtest.Before(func() { stall() }, step))
			p = newTestProxy(t, 10, one, two)
			got := p.do(path, "x")
			complete := got.status == 200 && got.header.Get("Onyxwell-Server-Seal") == "s" && (got.body == "id: 1\n\n" || got.err != nil)
			if countRequests(one, two) != 1 || !complete && got.status != 502 && got.status != 504 {
				t.Errorf("%s: %+v after %d requests to runners, want 1", path, got, countRequests(one, two))
			}
		}
	}
}

// TestProxy_deadlineDuringRetry lets the first runner reject the request and the
// deadline pass while the second executes it: the response must not promise that it
// was not executed.
func TestProxy_deadlineDuringRetry(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		var p *testProxy
		p, one, two := newTestProxyWithPair(t, 10, upstreamtest.Reject(503), upstreamtest.Before(func() { p.clock.Advance(6 * time.Second) }, upstreamtest.HangUp()))
		if got := p.do(path, "x"); got.status != 504 && got.status != 502 || countRequests(one) != 1 || countRequests(two) != 1 {
			t.Errorf("%s: %+v after %d and %d requests to the runners, want 1 each", path, got, countRequests(one), countRequests(two))
		}
	}
}

// TestStream_ignoresAbandonedRunner resumes a stream at a second runner while the
// first, whose stream repeated an id, sends another event: that must not be relayed.
func TestStream_ignoresAbandonedRunner(t *testing.T) {
	var first io.Writer
	started := func(seen upstreamtest.Request, writer io.Writer) bool {
		first = writer
		return upstreamtest.Raw(sealedResponseHead+"Transfer-Encoding: chunked\r\n\r\n15\r\nid: 1\ndata: token 1\n\n\r\n15\r\nid: 1\ndata: token 9\n\n\r\n", true)(seen, writer)
	}
	sendFromBoth := upstreamtest.Before(func() {
		_, _ = io.WriteString(first, "15\r\nid: 2\ndata: another\n\n\r\n0\r\n\r\n")
	}, upstreamtest.EventStream("seal-2", 2, 4, true))
	p, _, two := newTestProxyWithPair(t, 10, started, sendFromBoth)
	got := p.do("/again/x", "x")
	if got.err != nil || got.body != eventText(1, 4) || two.Requests()[0].Header.Get("Last-Event-Id") != "1" {
		t.Fatalf("%+v", got)
	}
}

// TestProxy_clientDisconnects closes the client's connection before the runner
// rejects the request: it must not be retried.
func TestProxy_clientDisconnects(t *testing.T) {
	var p *testProxy
	var disconnect func()
	one := upstreamtest.Start(t, upstreamtest.Before(func() { disconnect() }, upstreamtest.Reject(503)))
	two := upstreamtest.Start(t, upstreamtest.Before(func() { disconnect() }, upstreamtest.Reject(503)))
	p = newTestProxy(t, 10, one, two)
	conn := p.dial()
	disconnect = func() {
		_ = conn.Close()
		for p.proxy.InFlight() > 0 {
			runtime.Gosched()
		}
	}
	_, _ = io.WriteString(conn, goodRequest)
	for countRequests(one, two) == 0 || p.proxy.InFlight() > 0 {
		runtime.Gosched()
	}
	if count := countRequests(one, two); count != 1 {
		t.Fatalf("%d requests arrived at runners, want 1", count)
	}
}

// TestDrain_completesResponseInProgress drains the router and removes the route from the
// configuration while a runner executes the request: the response must still be complete.
func TestDrain_completesResponseInProgress(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		var p *testProxy
		drainThenRespond := func(seen upstreamtest.Request, writer io.Writer) bool {
			p.proxy.Drain(p.clock.Now())
			p.server.Config.SetKeepAlivesEnabled(false)
			go func() { _ = p.server.Config.Shutdown(context.Background()) }()
			p.setConfig(2, strings.ReplaceAll(configDocument, path[:len(path)-1], "/other/"))
			return upstreamtest.EventStream("s", 1, 5, true)(seen, writer)
		}
		p = newTestProxy(t, 10, upstreamtest.Start(t, drainThenRespond))
		if got := p.do(path, "x"); got.status != http.StatusOK || got.err != nil || got.body != eventText(1, 5) || !got.closes {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// instantClock is a clock whose timers expire at once.
type instantClock struct{ clock.Clock }

func (instantClock) After(time.Duration) <-chan struct{} {
	expired := make(chan struct{})
	close(expired)
	return expired
}

// TestDiscard_doesNotWaitForSilentBody discards a response whose body never
// arrives, as when a runner rejects a request and does not send the rest of the
// rejection, and responses without a body: discard must return, or the request
// would wait.
func TestDiscard_doesNotWaitForSilentBody(t *testing.T) {
	silent, runner := net.Pipe()
	defer runner.Close()
	defer silent.Close()
	discard(instantClock{clock.NewFake()}, &http.Response{Body: silent})
	discard(clock.NewMonotonic(), &http.Response{Body: http.NoBody})
	discard(clock.NewMonotonic(), nil)
}

// TestProxy_runnerLetBackByResponse guards against the full load on a runner that got no
// requests for long, because it was silent or suspected, and is let back by a response to an
// earlier request, which doesn't tell whether it is warm.
func TestProxy_runnerLetBackByResponse(t *testing.T) {
	cases := []struct {
		name       string
		path       string
		suspect    bool
		pause      time.Duration
		unverified bool
	}{
		{"silent", "/safe/x", false, maxVerifiedExclusion + 1, true},
		{"suspected", "/safe/x", true, maxVerifiedExclusion + 1, true},
		{"suspected while its stream goes on", "/stream/x", true, maxVerifiedExclusion + 1, true},
		{"for a short time", "/safe/x", true, maxVerifiedExclusion, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var p *testProxy
			pause := func() {
				if tc.suspect {
					p.stats.Suspect("i-1", p.clock.Now())
				}
				p.clock.Advance(tc.pause)
			}
			step := upstreamtest.Before(pause, upstreamtest.Respond(200, "s", "x"))
			if tc.path == "/stream/x" {
				step = func(req upstreamtest.Request, writer io.Writer) bool {
					upstreamtest.Raw(sealedResponseHead+"Transfer-Encoding: chunked\r\n\r\n15\r\n"+eventText(1, 1)+"\r\n", true)(req, writer)
					for p.stats.State("i-1").LastSeen == 0 {
						runtime.Gosched()
					}
					return upstreamtest.Before(pause, upstreamtest.Raw("0\r\n\r\n", true))(req, writer)
				}
			}
			p = newTestProxy(t, 10, upstreamtest.Start(t, step))
			p.slowStart.Update([]slowstart.Runner{{ID: "i-1", Warmup: 3 * time.Second}}, 0, p.clock.Now())
			if got := p.do(tc.path, "x"); got.err != nil || got.status != 200 {
				t.Fatalf("%+v", got)
			}
			if unverified := p.slowStart.Active("i-1", p.clock.Now()); unverified != tc.unverified || p.stats.State("i-1").Suspect {
				t.Errorf("got unverified %v, suspected %v", unverified, p.stats.State("i-1").Suspect)
			}
		})
	}
}

package proxy

import (
	"strings"
	"testing"
	"time"

	"onyxwell/data/upstreamtest"
)

func TestProxy_passesPlainResponseThrough(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal-1", "whole"))
	got := newTestProxy(t, 10, runner).do("/safe/x?y=1", "body")
	if got.status != 200 || got.body != "whole" || got.header.Get("Onyxwell-Server-Seal") != "seal-1" || got.header.Get("Onyxwell-Attempt-Id") != "v1" {
		t.Fatalf("%+v", got)
	}
	if seen := runner.Requests()[0]; seen.Target != "/safe/x?y=1" || seen.Body != "body" || seen.Header.Get("Onyxwell-Target-Server") != "i-1" {
		t.Fatalf("%+v", seen)
	}
}

func TestProxy_rejectsBadInput(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	cases := []struct {
		name, path, body, head string
		status                 int
	}{
		{"unknown route", "/nowhere/x", "", "", 404},
		{"body too large", "/safe/x", strings.Repeat("b", 101), "", 413},
		{"header too large", "/safe/x", "", strings.Repeat("h", 2001), 431},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := p.do(tc.path, tc.body, "X-Long", tc.head); got.status != tc.status {
				t.Errorf("status %d, want %d", got.status, tc.status)
			}
		})
	}
	if countRequests(runner) != 0 {
		t.Error("a rejected request reached a runner")
	}
}

// TestProxy_runnerFailureByRouteType lets a runner fail in different ways on the
// different types of routes. A request is retried only if it certainly was not
// executed or may be executed again. Otherwise the client must get a 502, which does
// not promise that the request was not executed, or the runner's own response.
func TestProxy_runnerFailureByRouteType(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		step    upstreamtest.Step
		status  int
		retried bool
	}{
		{"rejected as full, safe route", "/safe/x", upstreamtest.Reject(503), 200, true},
		{"rejected as full, unsafe route", "/once/x", upstreamtest.Reject(503), 200, true},
		{"rejected as misdirected, unsafe route", "/once/x", upstreamtest.Reject(421), 200, true},
		{"closed without a response, safe route", "/safe/x", upstreamtest.HangUp(), 200, true},
		{"closed without a response, unsafe route", "/once/x", upstreamtest.HangUp(), 502, false},
		{"503 without a promise that nothing was executed, unsafe route", "/once/x", upstreamtest.Respond(503, "s", "x"), 502, false},
		{"malformed response, unsafe route", "/once/x", upstreamtest.Raw("nonsense\r\n\r\n", false), 502, false},
		{"response to another attempt, unsafe route", "/once/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), 502, false},
		{"truncated body, safe route", "/safe/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false), 200, true},
		{"truncated body, unsafe route", "/once/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false), 502, false},
		{"500 of the runner, unsafe route", "/once/x", upstreamtest.Respond(500, "s", "broken"), 500, false},
		{"reset before the first byte, unsafe route", "/once/x", upstreamtest.Reset(""), 502, false},
		{"reset after one byte, unsafe route", "/once/x", upstreamtest.Reset("H"), 502, false},
		{"reset after one byte, safe route", "/safe/x", upstreamtest.Reset("H"), 200, true},
		{"body delimited by close, safe route", "/safe/x", upstreamtest.Raw(sealedResponseHead+"\r\nwhole", false), 200, false},
		{"body delimited by close, unsafe route", "/once/x", upstreamtest.Raw(sealedResponseHead+"\r\nwhole", false), 200, false},
		{"undelimited body ends with a reset, safe route", "/safe/x", upstreamtest.Reset(sealedResponseHead + "\r\nha"), 200, true},
		{"undelimited body ends with a reset, unsafe route", "/once/x", upstreamtest.Reset(sealedResponseHead + "\r\nha"), 502, false},
		{"body delimited by close, stream", "/stream/x", upstreamtest.Raw(sealedResponseHead+"\r\nid: 1\n\n", false), 200, false},
		{"closed within the first event, stream", "/stream/x", upstreamtest.Raw(sealedResponseHead+"\r\nid: 1\n", false), 502, false},
		{"reset within the first event, stream", "/stream/x", upstreamtest.Reset(sealedResponseHead + "\r\nid: 1\n"), 502, false},
		{"closed without a response, stream", "/stream/x", upstreamtest.HangUp(), 502, false},
		{"rejected as full, stream", "/stream/x", upstreamtest.Reject(503), 200, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			finish := upstreamtest.Respond(200, "good", "good")
			if strings.HasPrefix(tc.path, "/stream/") {
				finish = upstreamtest.EventStream("good", 1, 2, true)
			}
			p, bad, good := newTestProxyWithPair(t, 10, tc.step, finish)
			got := p.do(tc.path, "x")
			if got.status != tc.status || (len(good.Requests()) == 1) != tc.retried || countRequests(bad) != 1 {
				t.Errorf("status %d; %d and %d requests reached the runners", got.status, countRequests(bad), countRequests(good))
			}
		})
	}
}

func TestProxy_retryBudgetIsShared(t *testing.T) {
	bad := []*upstreamtest.Runner{upstreamtest.Start(t, upstreamtest.HangUp()), upstreamtest.Start(t, upstreamtest.HangUp())}
	p := newTestProxy(t, 1, bad...)
	if got := p.do("/safe/x", "x"); got.status != 502 || countRequests(bad...) != 2 {
		t.Fatalf("status %d, want 502; %d requests reached the runners, want 2", got.status, countRequests(bad...))
	}
	p.stats.ClearSuspicion("i-1", p.clock.Now())
	p.stats.ClearSuspicion("i-2", p.clock.Now())
	if got := p.do("/safe/x", "x"); got.status != 502 || countRequests(bad...) != 3 {
		t.Fatalf("status %d, want 502; %d requests reached the runners, want 3 without a retry budget", got.status, countRequests(bad...))
	}
}

func TestProxy_enforcesHomeRegions(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	if got := p.do("/home/x", "x"); got.status != 503 || countRequests(runner) != 0 {
		t.Fatalf("status %d, want 503 without a request to a runner outside the home regions", got.status)
	}
	p.runners[0].Zone = "s"
	p.publishRunners()
	if got := p.do("/home/x", "x"); got.status != 200 {
		t.Fatalf("status %d with a runner in a home region, want 200", got.status)
	}
}

func TestProxy_evacuatedZoneGetsNoRequests(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.setEvacuated("n", 1, true)
	if got := p.do("/safe/x", "x"); got.status != 503 || got.header.Get("Retry-After") == "" || countRequests(runner) != 0 {
		t.Fatalf("%+v", got)
	}
	p.setEvacuated("n", 2, false)
	if got := p.do("/safe/x", "x"); got.status != 200 {
		t.Fatalf("%+v", got)
	}
}

func TestDrain_closesConnAfterResponse(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.proxy.Drain(p.clock.Now())
	if got := p.do("/safe/x", "x"); got.status != 200 || !got.closes {
		t.Fatalf("%+v", got)
	}
}

// TestProxy_staleConnSuspectsNoRunner sends requests that must not be executed twice
// while the pooled connection has been idle for longer than any that was known to
// work: they must go to the same runner on new connections, without the runner being
// suspected of failure.
func TestProxy_staleConnSuspectsNoRunner(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.clock.Advance(time.Second)
	for range 3 {
		if got := p.do("/once/x", "x"); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		p.clock.Advance(3 * time.Second)
	}
	state := p.stats.State("i-1")
	if countRequests(runner) != 3 || state.Suspect || len(p.stats.DueProbes(p.clock.Now(), time.Second)) != 0 {
		t.Fatalf("%d requests reached the runner, want 3 without suspicion: %+v", countRequests(runner), state)
	}
	if sample := p.stats.TakeReport(p.clock.Now(), time.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("%+v", sample)
	}
}

// TestDrain_rejectsLateRequest sends a request to a draining router after it has
// stopped accepting: it must get a 503, which promises that it was not executed,
// because it might not complete before the process ends.
func TestDrain_rejectsLateRequest(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.proxy.Drain(p.clock.Now().Add(time.Second))
	p.clock.Advance(time.Second + time.Millisecond)
	got := p.do("/once/x", "")
	if got.status != 503 || !got.closes || got.header.Get("Retry-After") == "" || countRequests(runner) != 0 {
		t.Errorf("%+v, %d requests reached the runner", got, countRequests(runner))
	}
}

package proxy

import (
	"onyxwell/base/clock"
	"strings"
	"testing"

	"onyxwell/data/upstreamtest"
)

func TestPlainAnswerIsTheRunners(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal-1", "whole"))
	got := newHouse(t, 10, runner).ask("/safe/x?y=1", "body")
	if got.status != 200 || got.body != "whole" || got.header.Get("Onyxwell-Server-Seal") != "seal-1" || got.header.Get("Onyxwell-Attempt-Id") != "v1" {
		t.Fatalf("%+v", got)
	}
	if seen := runner.Requests()[0]; seen.Target != "/safe/x?y=1" || seen.Body != "body" || seen.Header.Get("Onyxwell-Target-Server") != "i-1" {
		t.Fatalf("%+v", seen)
	}
}

func TestBadInputIsNamed(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	cases := []struct {
		path, body, head string
		status           int
	}{
		{"/nowhere/x", "", "", 404},
		{"/safe/x", strings.Repeat("b", 101), "", 413},
		{"/safe/x", "", strings.Repeat("h", 2001), 431},
	}
	for _, example := range cases {
		if got := house.ask(example.path, example.body, "X-Long", example.head); got.status != example.status {
			t.Errorf("%s: %d, not %d", example.path, got.status, example.status)
		}
	}
	if arrivals(runner) != 0 {
		t.Error("a refused request reached a runner")
	}
}

// TestFates takes each way a runner can fail on a request, and what becomes of
// it on each kind of route: only what surely did not run, or may run again, is
// tried elsewhere, and only what did not run gets a promise.
func TestFates(t *testing.T) {
	cases := []struct {
		name   string
		path   string
		step   upstreamtest.Step
		status int
		second bool
	}{
		{"full, plain", "/safe/x", upstreamtest.Reject(503), 200, true},
		{"full, once", "/once/x", upstreamtest.Reject(503), 200, true},
		{"another life, once", "/once/x", upstreamtest.Reject(421), 200, true},
		{"hangs up, plain", "/safe/x", upstreamtest.HangUp(), 200, true},
		{"hangs up, once", "/once/x", upstreamtest.HangUp(), 502, false},
		{"no promise, once", "/once/x", upstreamtest.Respond(503, "s", "x"), 502, false},
		{"garbage, once", "/once/x", upstreamtest.Raw("nonsense\r\n\r\n", false), 502, false},
		{"another's answer, once", "/once/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), 502, false},
		{"short body, plain", "/safe/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false), 200, true},
		{"short body, once", "/once/x", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf", false), 502, false},
		{"own failure, once", "/once/x", upstreamtest.Respond(500, "s", "broken"), 500, false},
		{"reset at no byte, once", "/once/x", upstreamtest.Reset(""), 502, false},
		{"reset at one byte, once", "/once/x", upstreamtest.Reset("H"), 502, false},
		{"reset at one byte, plain", "/safe/x", upstreamtest.Reset("H"), 200, true},
		{"ends with the connection, plain", "/safe/x", upstreamtest.Raw(sealedHead+"\r\nwhole", false), 200, false},
		{"ends with the connection, once", "/once/x", upstreamtest.Raw(sealedHead+"\r\nwhole", false), 200, false},
		{"ends with a reset, plain", "/safe/x", upstreamtest.Reset(sealedHead + "\r\nha"), 200, true},
		{"ends with a reset, once", "/once/x", upstreamtest.Reset(sealedHead + "\r\nha"), 502, false},
		{"ends with the connection, stream", "/stream/x", upstreamtest.Raw(sealedHead+"\r\nid: 1\n\n", false), 200, false},
		{"ends before an event, stream", "/stream/x", upstreamtest.Raw(sealedHead+"\r\nid: 1\n", false), 502, false},
		{"ends with a reset, stream", "/stream/x", upstreamtest.Reset(sealedHead + "\r\nid: 1\n"), 502, false},
		{"stream not begun", "/stream/x", upstreamtest.HangUp(), 502, false},
		{"stream full", "/stream/x", upstreamtest.Reject(503), 200, true},
	}
	for _, example := range cases {
		finish := upstreamtest.Respond(200, "good", "good")
		if strings.HasPrefix(example.path, "/stream/") {
			finish = upstreamtest.EventStream("good", 1, 2, true)
		}
		house, bad, good := pair(t, 10, example.step, finish)
		got := house.ask(example.path, "x")
		if got.status != example.status || (len(good.Requests()) == 1) != example.second || arrivals(bad) != 1 {
			t.Errorf("%s: %d, %d and %d arrivals", example.name, got.status, arrivals(bad), arrivals(good))
		}
	}
}

func TestBudgetIsOneForAll(t *testing.T) {
	bad := []*upstreamtest.Runner{upstreamtest.Start(t, upstreamtest.HangUp()), upstreamtest.Start(t, upstreamtest.HangUp())}
	house := newHouse(t, 1, bad...)
	if got := house.ask("/safe/x", "x"); got.status != 502 || arrivals(bad...) != 2 {
		t.Fatalf("%d after %d arrivals", got.status, arrivals(bad...))
	}
	house.board.ClearSuspicion("i-1", house.clock.Now())
	house.board.ClearSuspicion("i-2", house.clock.Now())
	if got := house.ask("/safe/x", "x"); got.status != 502 || arrivals(bad...) != 3 {
		t.Fatalf("%d after %d arrivals: a further try without budget", got.status, arrivals(bad...))
	}
}

func TestHomesBind(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	if got := house.ask("/home/x", "x"); got.status != 503 || arrivals(runner) != 0 {
		t.Fatalf("%d: a runner away from home got the request", got.status)
	}
	house.listed[0].Zone = "s"
	house.list()
	if got := house.ask("/home/x", "x"); got.status != 200 {
		t.Fatalf("%d from a runner at home", got.status)
	}
}

func TestEvacuatedZoneGetsNothing(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	house.empty("n", 1, true)
	if got := house.ask("/safe/x", "x"); got.status != 503 || got.header.Get("Retry-After") == "" || arrivals(runner) != 0 {
		t.Fatalf("%+v", got)
	}
	house.empty("n", 2, false)
	if got := house.ask("/safe/x", "x"); got.status != 200 {
		t.Fatalf("%+v", got)
	}
}

func TestLeavingClosesAfterTheAnswer(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	house.front.Leave(house.clock.Now())
	if got := house.ask("/safe/x", "x"); got.status != 200 || !got.closing {
		t.Fatalf("%+v", got)
	}
}

// TestOldConnectionDoubtsNobody has a request that may run only once meet a kept
// connection of an age that nobody tried: it goes to the same runner on a new
// one, and the runner stands as well as before.
func TestOldConnectionDoubtsNobody(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	house.clock.Advance(clock.Second)
	for range 3 {
		if got := house.ask("/once/x", "x"); got.status != 200 {
			t.Fatalf("%+v", got)
		}
		house.clock.Advance(3 * clock.Second)
	}
	ledger := house.board.State("i-1")
	if arrivals(runner) != 3 || ledger.Suspect || len(house.board.DueProbes(house.clock.Now(), clock.Second)) != 0 {
		t.Fatalf("%d arrivals, %+v", arrivals(runner), ledger)
	}
	if sample := house.board.TakeReport(house.clock.Now(), clock.Second).Samples[0]; sample.Failed != 0 {
		t.Fatalf("%+v", sample)
	}
}

// TestLeavingFrontTakesNoLateRequest turns away, with a promise, what comes too
// late to be finished before the process ends.
func TestLeavingFrontTakesNoLateRequest(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newHouse(t, 10, runner)
	house.front.Leave(house.clock.Now().Add(clock.Second))
	house.clock.Advance(clock.Second + clock.Millisecond)
	got := house.ask("/once/x", "")
	if got.status != 503 || !got.closing || got.header.Get("Retry-After") == "" || arrivals(runner) != 0 {
		t.Errorf("%+v, %d arrivals", got, arrivals(runner))
	}
}

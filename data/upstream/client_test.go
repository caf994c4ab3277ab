package upstream

import (
	"io"
	"net/http"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/data/upstreamtest"
)

func newTestClient(machine clock.Clock) *Client {
	return NewClient(Options{
		Clock: machine, Dialing: httpcall.Dialer{Timeout: 5 * clock.Second, UserTimeout: 5 * clock.Second}, IdleTimeout: 60 * clock.Second, MaxIdlePerHost: 4,
	})
}

func attemptTo(address ids.Address, method string, body string) Attempt {
	return Attempt{
		Request: &Request{
			Method: method, Target: "/a%2Fb/?q=1&q=2", Host: "shop.example",
			Header: http.Header{"Onyxwell-Attempt-Id": {"a1"}, "X-Kept": {"yes"}}, Body: []byte(body), AttemptID: "a1",
		},
		RunnerID: "i-1", Address: address, TimeLeft: 1500 * clock.Millisecond, Urgency: 2,
	}
}

// nextAttempt is the trip of another request that is alike.
func nextAttempt(trip Attempt, attempt string) Attempt {
	request := *trip.Request
	request.Header, request.AttemptID, request.sentTo = request.Header.Clone(), attempt, nil
	request.Header.Set(AttemptIDHeader, attempt)
	trip.Request = &request
	return trip
}

func send(sender *Client, trip Attempt) Result { return sender.Send(scope.New(scope.Options{}), trip) }

func TestClient_requestArrivesUnchanged(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", "whole"))
	trip := attemptTo(runner.Address, "POST", "the body")
	trip.LastEventID = "12"
	result := send(newTestClient(clock.NewFake()), trip)
	if result.Outcome != Answered {
		t.Fatalf("fate %v: %v", result.Outcome, result.Err)
	}
	body, err := io.ReadAll(result.Response.Body)
	if err != nil || string(body) != "whole" {
		t.Fatalf("answer %q, %v", body, err)
	}
	seen := runner.Requests()[0]
	if seen.Method != "POST" || seen.Target != "/a%2Fb/?q=1&q=2" || seen.Host != "shop.example" || seen.Body != "the body" {
		t.Fatalf("the request was changed: %+v", seen)
	}
	wanted := map[string]string{
		TargetHeader: "i-1", TimeLeftHeader: "1500", UrgencyHeader: "2", LastEventIDHeader: "12", "X-Kept": "yes",
		"Accept-Encoding": "", "User-Agent": "", AttemptIDHeader: "a1",
	}
	for name, value := range wanted {
		if seen.Header.Get(name) != value {
			t.Errorf("%s is %q, not %q", name, seen.Header.Get(name), value)
		}
	}
}

// TestClient_neverReplays has the runner close a kept connection as the next
// request arrives, which net/http would send again by itself for some requests.
func TestClient_neverReplays(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT"} {
		for _, body := range []string{"", "text"} {
			runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""), upstreamtest.HangUp())
			sender := newTestClient(clock.NewFake())
			trip := attemptTo(runner.Address, method, body)
			trip.Request.Header.Set("Idempotency-Key", "k")
			first := send(sender, trip)
			if first.Outcome != Answered {
				t.Fatalf("%s: fate %v: %v", method, first.Outcome, first.Err)
			}
			DrainAndClose(first.Response)
			second := send(sender, nextAttempt(trip, "a2"))
			if second.Outcome != Indeterminate {
				t.Errorf("%s %q: fate %v, though the request was written", method, body, second.Outcome)
			}
			if count, links := len(runner.Requests()), runner.ConnCount(); count != 2 || links != 1 {
				t.Errorf("%s %q: %d requests arrived over %d connections, not 2 over 1", method, body, count, links)
			}
		}
	}
}

func TestClient_connectionRefusedIsUnsent(t *testing.T) {
	if result := send(newTestClient(clock.NewFake()), attemptTo("127.0.0.1:1", "POST", "x")); result.Outcome != Unsent {
		t.Fatalf("fate %v", result.Outcome)
	}
}

// TestClient_connectionOlderThanKeepAlive keeps a connection for longer than the runner
// said it would: nothing may be written to it.
func TestClient_connectionOlderThanKeepAlive(t *testing.T) {
	machine := clock.NewFake()
	keep := "HTTP/1.1 200 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	runner := upstreamtest.Start(t, upstreamtest.Raw(keep, true))
	sender := newTestClient(machine)
	first := send(sender, attemptTo(runner.Address, "POST", "x"))
	DrainAndClose(first.Response)
	machine.Advance(4500 * clock.Millisecond)
	if second := send(sender, attemptTo(runner.Address, "POST", "x")); second.Outcome != Unsent {
		t.Fatalf("fate %v", second.Outcome)
	}
	if third := send(sender, attemptTo(runner.Address, "POST", "x")); third.Outcome != Answered {
		t.Fatalf("a new connection: fate %v, %v", third.Outcome, third.Err)
	}
	if count := len(runner.Requests()); count != 2 {
		t.Fatalf("%d requests arrived, not 2", count)
	}
}

func TestClient_outcomeOfResponseHead(t *testing.T) {
	cases := []struct {
		name string
		step upstreamtest.Step
		fate Outcome
	}{
		{"own answer", upstreamtest.Respond(200, "seal", "x"), Answered},
		{"own failure", upstreamtest.Respond(500, "", "x"), Answered},
		{"another's answer", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no id", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"encoded", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no length", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), Answered},
		{"no length, no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\n\r\nwhole", false), Garbled},
		{"no length, another's", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), Garbled},
		{"full", upstreamtest.Reject(503), Rejected},
		{"another life", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Rejected},
		{"a promise not made", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"a 429 that may have run", upstreamtest.Raw("HTTP/1.1 429 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"silence", upstreamtest.HangUp(), Indeterminate},
		{"garbage", upstreamtest.Raw("these bytes are no answer\r\n\r\n", false), Indeterminate},
	}
	for _, example := range cases {
		runner := upstreamtest.Start(t, example.step)
		result := send(newTestClient(clock.NewFake()), attemptTo(runner.Address, "POST", "x"))
		if result.Outcome != example.fate {
			t.Errorf("%s: fate %v, not %v (%v)", example.name, result.Outcome, example.fate, result.Err)
		}
		DrainAndClose(result.Response)
	}
}

func TestEndToEndHeader_dropsHopByHop(t *testing.T) {
	kept := EndToEndHeader(http.Header{
		"Connection": {"close, X-Hop, onyxwell-server-seal"}, SealHeader: {"s"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "X-Far": {"2"},
	})
	if len(kept) != 2 || kept.Get("X-Far") != "2" || kept.Get(SealHeader) != "s" {
		t.Fatalf("kept %v", kept)
	}
}

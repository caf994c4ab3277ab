package upstream

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/data/upstreamtest"
)

// newTestClient returns a client that opens real TCP connections.
func newTestClient(clk clock.Clock) *Client {
	return NewClient(Options{
		Clock: clk, Dialer: httpcall.Dialer{Timeout: 5 * time.Second, UserTimeout: 5 * time.Second}, IdleTimeout: 60 * time.Second, MaxIdlePerHost: 4,
	})
}

// newAttempt returns an attempt to send a request with the attempt id a1 to an
// address.
func newAttempt(address ids.Address, method string, body string) Attempt {
	return Attempt{
		Request: &Request{
			Method: method, Target: "/a%2Fb/?q=1&q=2", Host: "shop.example",
			Header: http.Header{"Onyxwell-Attempt-Id": {"a1"}, "X-Kept": {"yes"}}, Body: []byte(body), AttemptID: "a1",
		},
		RunnerID: "i-1", Address: address, TimeLeft: 1500 * time.Millisecond, Priority: 2,
	}
}

// nextAttempt returns an attempt to send another request, which differs only in its
// attempt id.
func nextAttempt(attempt Attempt, attemptID string) Attempt {
	request := *attempt.Request
	request.Header, request.AttemptID, request.sentTo = request.Header.Clone(), attemptID, nil
	request.Header.Set(AttemptIDHeader, attemptID)
	attempt.Request = &request
	return attempt
}

// send sends an attempt without a deadline.
func send(client *Client, attempt Attempt) Result { return client.Send(context.Background(), attempt) }

func TestClient_requestArrivesUnchanged(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", "whole"))
	attempt := newAttempt(runner.Address, "POST", "the body")
	attempt.LastEventID = "12"
	result := send(newTestClient(clock.NewFake()), attempt)
	if result.Outcome != Answered {
		t.Fatalf("outcome is %v: %v", result.Outcome, result.Err)
	}
	body, err := io.ReadAll(result.Response.Body)
	if err != nil || string(body) != "whole" {
		t.Fatalf("response body is %q, error %v", body, err)
	}
	req := runner.Requests()[0]
	if req.Method != "POST" || req.Target != "/a%2Fb/?q=1&q=2" || req.Host != "shop.example" || req.Body != "the body" {
		t.Fatalf("the runner received a different request: %+v", req)
	}
	want := map[string]string{
		TargetRunnerHeader: "i-1", TimeLeftHeader: "1500", PriorityHeader: "2", LastEventIDHeader: "12", "X-Kept": "yes",
		"Accept-Encoding": "", "User-Agent": "", AttemptIDHeader: "a1",
	}
	for name, value := range want {
		if req.Header.Get(name) != value {
			t.Errorf("header %s is %q, want %q", name, req.Header.Get(name), value)
		}
	}
}

// TestClient_neverRetries has a runner close a pooled connection when the next request
// arrives. The client must not send that request again, as net/http does with some
// requests.
func TestClient_neverRetries(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT"} {
		for _, body := range []string{"", "text"} {
			runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""), upstreamtest.HangUp())
			client := newTestClient(clock.NewFake())
			attempt := newAttempt(runner.Address, method, body)
			attempt.Request.Header.Set("Idempotency-Key", "k")
			first := send(client, attempt)
			if first.Outcome != Answered {
				t.Fatalf("%s: outcome of the first request is %v: %v", method, first.Outcome, first.Err)
			}
			DrainAndClose(first.Response)
			second := send(client, nextAttempt(attempt, "a2"))
			if second.Outcome != Indeterminate {
				t.Errorf("%s %q: outcome is %v, although the request was written", method, body, second.Outcome)
			}
			if count, conns := len(runner.Requests()), runner.ConnCount(); count != 2 || conns != 1 {
				t.Errorf("%s %q: %d requests arrived over %d connections, want 2 over 1", method, body, count, conns)
			}
		}
	}
}

func TestClient_connectionRefusedIsUnsent(t *testing.T) {
	if result := send(newTestClient(clock.NewFake()), newAttempt("127.0.0.1:1", "POST", "x")); result.Outcome != Unsent {
		t.Fatalf("outcome after a refused connection is %v", result.Outcome)
	}
}

// TestClient_connectionOlderThanKeepAlive checks that nothing is written to a pooled
// connection that has been idle for longer than the runner's Keep-Alive timeout
// allows.
func TestClient_connectionOlderThanKeepAlive(t *testing.T) {
	clk := clock.NewFake()
	keepAlive := "HTTP/1.1 200 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	runner := upstreamtest.Start(t, upstreamtest.Raw(keepAlive, true))
	client := newTestClient(clk)
	first := send(client, newAttempt(runner.Address, "POST", "x"))
	DrainAndClose(first.Response)
	clk.Advance(4500 * time.Millisecond)
	if second := send(client, newAttempt(runner.Address, "POST", "x")); second.Outcome != Unsent {
		t.Fatalf("outcome with an expired connection is %v", second.Outcome)
	}
	if third := send(client, newAttempt(runner.Address, "POST", "x")); third.Outcome != Answered {
		t.Fatalf("outcome over a new connection is %v: %v", third.Outcome, third.Err)
	}
	if count := len(runner.Requests()); count != 2 {
		t.Fatalf("%d requests arrived, want 2", count)
	}
}

func TestClient_outcomeOfResponseHead(t *testing.T) {
	cases := []struct {
		name    string
		step    upstreamtest.Step
		outcome Outcome
	}{
		{"success", upstreamtest.Respond(200, "seal", "x"), Answered},
		{"failure of the runner", upstreamtest.Respond(500, "", "x"), Answered},
		{"response to another attempt", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"no attempt id", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"success with content encoding", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"body delimited by close", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), Answered},
		{"body delimited by close, no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\n\r\nwhole", false), InvalidResponse},
		{"body delimited by close, response to another attempt", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), InvalidResponse},
		{"rejected", upstreamtest.Reject(503), Rejected},
		{"421 Misdirected Request", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Rejected},
		{"503 without statement that the request was not executed", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"429 without statement that the request was not executed", upstreamtest.Raw("HTTP/1.1 429 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"no response", upstreamtest.HangUp(), Indeterminate},
		{"malformed head", upstreamtest.Raw("these bytes are no answer\r\n\r\n", false), Indeterminate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runner := upstreamtest.Start(t, tc.step)
			result := send(newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x"))
			if result.Outcome != tc.outcome {
				t.Errorf("outcome is %v, want %v: %v", result.Outcome, tc.outcome, result.Err)
			}
			DrainAndClose(result.Response)
		})
	}
}

func TestEndToEndHeader_dropsHopByHop(t *testing.T) {
	forwarded := EndToEndHeader(http.Header{
		"Connection": {"close, X-Hop, onyxwell-server-seal"}, SealHeader: {"s"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "X-Far": {"2"},
	})
	if len(forwarded) != 2 || forwarded.Get("X-Far") != "2" || forwarded.Get(SealHeader) != "s" {
		t.Fatalf("forwarded header is %v, want only X-Far and the seal", forwarded)
	}
}

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

func newSender(machine clock.Clock) *Sender {
	return NewSender(Options{
		Clock: machine, Dialing: httpcall.Dialer{Timeout: 5 * clock.Second, UserTimeout: 5 * clock.Second}, Idle: 60 * clock.Second, PerHost: 4,
	})
}

func tripTo(address ids.Address, method string, body string) Trip {
	return Trip{
		Request: &Request{
			Method: method, Target: "/a%2Fb/?q=1&q=2", Host: "shop.example",
			Header: http.Header{"Onyxwell-Attempt-Id": {"a1"}, "X-Kept": {"yes"}}, Body: []byte(body), Attempt: "a1",
		},
		Runner: "i-1", Address: address, Left: 1500 * clock.Millisecond, Urgency: 2,
	}
}

// next is the trip of another request that is alike.
func next(trip Trip, attempt string) Trip {
	request := *trip.Request
	request.Header, request.Attempt, request.sent = request.Header.Clone(), attempt, nil
	request.Header.Set(AttemptHeader, attempt)
	trip.Request = &request
	return trip
}

func send(sender *Sender, trip Trip) Result { return sender.Send(scope.New(scope.Options{}), trip) }

func TestRequestArrivesUnchanged(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Plain(200, "seal", "whole"))
	trip := tripTo(runner.Address, "POST", "the body")
	trip.LastEvent = "12"
	result := send(newSender(clock.NewFake()), trip)
	if result.Fate != Answered {
		t.Fatalf("fate %v: %v", result.Fate, result.Fault)
	}
	body, err := io.ReadAll(result.Response.Body)
	if err != nil || string(body) != "whole" {
		t.Fatalf("answer %q, %v", body, err)
	}
	seen := runner.Seen()[0]
	if seen.Method != "POST" || seen.Target != "/a%2Fb/?q=1&q=2" || seen.Host != "shop.example" || seen.Body != "the body" {
		t.Fatalf("the request was changed: %+v", seen)
	}
	wanted := map[string]string{
		TargetHeader: "i-1", LeftHeader: "1500", UrgencyHeader: "2", LastEventField: "12", "X-Kept": "yes",
		"Accept-Encoding": "", "User-Agent": "", AttemptHeader: "a1",
	}
	for name, value := range wanted {
		if seen.Header.Get(name) != value {
			t.Errorf("%s is %q, not %q", name, seen.Header.Get(name), value)
		}
	}
}

// TestClientNeverReplays has the runner close a kept connection as the next
// request arrives, which net/http would send again by itself for some requests.
func TestClientNeverReplays(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "PUT"} {
		for _, body := range []string{"", "text"} {
			runner := upstreamtest.Start(t, upstreamtest.Plain(200, "seal", ""), upstreamtest.Hangup())
			sender := newSender(clock.NewFake())
			trip := tripTo(runner.Address, method, body)
			trip.Request.Header.Set("Idempotency-Key", "k")
			first := send(sender, trip)
			if first.Fate != Answered {
				t.Fatalf("%s: fate %v: %v", method, first.Fate, first.Fault)
			}
			Discard(first.Response)
			second := send(sender, next(trip, "a2"))
			if second.Fate != Doubtful {
				t.Errorf("%s %q: fate %v, though the request was written", method, body, second.Fate)
			}
			if count, links := len(runner.Seen()), runner.Links(); count != 2 || links != 1 {
				t.Errorf("%s %q: %d requests arrived over %d connections, not 2 over 1", method, body, count, links)
			}
		}
	}
}

func TestDeadPortIsUnsent(t *testing.T) {
	if result := send(newSender(clock.NewFake()), tripTo("127.0.0.1:1", "POST", "x")); result.Fate != Unsent {
		t.Fatalf("fate %v", result.Fate)
	}
}

// TestOldConnectionIsNotTrusted keeps a connection for longer than the runner
// said it would: nothing may be written to it.
func TestOldConnectionIsNotTrusted(t *testing.T) {
	machine := clock.NewFake()
	keep := "HTTP/1.1 200 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nKeep-Alive: timeout=5\r\nContent-Length: 0\r\n\r\n"
	runner := upstreamtest.Start(t, upstreamtest.Raw(keep, true))
	sender := newSender(machine)
	first := send(sender, tripTo(runner.Address, "POST", "x"))
	Discard(first.Response)
	machine.Advance(4500 * clock.Millisecond)
	if second := send(sender, tripTo(runner.Address, "POST", "x")); second.Fate != Unsent {
		t.Fatalf("fate %v", second.Fate)
	}
	if third := send(sender, tripTo(runner.Address, "POST", "x")); third.Fate != Answered {
		t.Fatalf("a new connection: fate %v, %v", third.Fate, third.Fault)
	}
	if count := len(runner.Seen()); count != 2 {
		t.Fatalf("%d requests arrived, not 2", count)
	}
}

func TestJudgement(t *testing.T) {
	cases := []struct {
		name string
		step upstreamtest.Step
		fate Fate
	}{
		{"own answer", upstreamtest.Plain(200, "seal", "x"), Answered},
		{"own failure", upstreamtest.Plain(500, "", "x"), Answered},
		{"another's answer", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no id", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"encoded", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"no length", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), Answered},
		{"no length, no seal", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\n\r\nwhole", false), Garbled},
		{"no length, another's", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: other\r\nOnyxwell-Server-Seal: s\r\n\r\nwhole", false), Garbled},
		{"full", upstreamtest.Refuse(503), Refused},
		{"another life", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Refused},
		{"a promise not made", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Doubtful},
		{"a 429 that may have run", upstreamtest.Raw("HTTP/1.1 429 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Doubtful},
		{"silence", upstreamtest.Hangup(), Doubtful},
		{"garbage", upstreamtest.Raw("these bytes are no answer\r\n\r\n", false), Doubtful},
	}
	for _, example := range cases {
		runner := upstreamtest.Start(t, example.step)
		result := send(newSender(clock.NewFake()), tripTo(runner.Address, "POST", "x"))
		if result.Fate != example.fate {
			t.Errorf("%s: fate %v, not %v (%v)", example.name, result.Fate, example.fate, result.Fault)
		}
		Discard(result.Response)
	}
}

func TestHopsAreDropped(t *testing.T) {
	kept := PassedOn(http.Header{
		"Connection": {"close, X-Hop, onyxwell-server-seal"}, SealHeader: {"s"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"}, "X-Far": {"2"},
	})
	if len(kept) != 2 || kept.Get("X-Far") != "2" || kept.Get(SealHeader) != "s" {
		t.Fatalf("kept %v", kept)
	}
}

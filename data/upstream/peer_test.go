package upstream

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/data/upstreamtest"
)

const foreignEmpty = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"

// heard sends a trip and gives the answer's body.
func heard(t *testing.T, sender *Sender, trip Trip) (Result, string) {
	t.Helper()
	result := send(sender, trip)
	if result.Response == nil {
		return result, ""
	}
	text, err := io.ReadAll(result.Response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return result, string(text)
}

// TestAttemptTwiceAtOneRunner has a runner turn an attempt away and say so again
// late, when the same attempt is there once more and runs: the late copy must
// not be taken for the second sending's answer.
func TestAttemptTwiceAtOneRunner(t *testing.T) {
	var first io.Writer
	runner := upstreamtest.Start(t, func(seen upstreamtest.Seen, writer io.Writer) bool {
		first = writer
		return upstreamtest.Refuse(503)(seen, writer)
	}, func(seen upstreamtest.Seen, writer io.Writer) bool {
		upstreamtest.Refuse(503)(seen, first)
		return upstreamtest.Plain(200, "seal", "ran")(seen, writer)
	})
	sender, trip := newSender(clock.NewFake()), tripTo(runner.Address, "POST", "x")
	if result, _ := heard(t, sender, trip); result.Fate != Refused {
		t.Fatalf("%+v", result)
	}
	if result, text := heard(t, sender, trip); result.Fate != Answered || text != "ran" || runner.Links() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.Links())
	}
}

// TestAttemptAgainOverAnotherConnection has a runner answer an attempt as another
// and tell the late truth over another connection that is kept: the attempt goes
// to that address over a new one.
func TestAttemptAgainOverAnotherConnection(t *testing.T) {
	var kept io.Writer
	runner := upstreamtest.Start(t, func(seen upstreamtest.Seen, writer io.Writer) bool {
		kept = writer
		return upstreamtest.Plain(200, "seal", "first")(seen, writer)
	}, upstreamtest.Raw(foreignEmpty, true), func(seen upstreamtest.Seen, writer io.Writer) bool {
		upstreamtest.Refuse(503)(seen, kept)
		return upstreamtest.Plain(200, "seal", "ran")(seen, writer)
	})
	sender := newSender(clock.NewFake())
	trip := tripTo(runner.Address, "POST", "x")
	held := send(sender, next(trip, "a2"))
	if result, _ := heard(t, sender, trip); result.Fate != Garbled {
		t.Fatalf("%+v", result)
	}
	Discard(held.Response)
	if result, text := heard(t, sender, trip); result.Fate != Answered || text != "ran" || runner.Links() != 3 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.Links())
	}
}

// TestConnectionOutOfStep has connections on which more comes than the answer to
// the request: nothing else goes over them.
func TestConnectionOutOfStep(t *testing.T) {
	own := strings.Replace(sealed, "body", "own.", 1)
	cases := []struct {
		name string
		step upstreamtest.Step
		fate Fate
	}{
		{"another's empty answer", upstreamtest.Raw(foreignEmpty, true), Garbled},
		{"another's answer, then ours", upstreamtest.Raw(foreignEmpty+own, true), Garbled},
		{"an extra answer at once", upstreamtest.Raw(own+own, true), Answered},
		{"bytes behind an empty answer", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n\r\n", true), Refused},
		{"bytes behind the last chunk", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nx", true), Answered},
		{"no promise, no body", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Doubtful},
		{"two ids", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"another protocol", upstreamtest.Raw("HTTP/1.1 101 X\r\nOnyxwell-Attempt-Id: {id}\r\n\r\n", true), Garbled},
		{"half-closed", func(seen upstreamtest.Seen, writer io.Writer) bool {
			upstreamtest.Raw(own, true)(seen, writer)
			_ = writer.(*net.TCPConn).CloseWrite()
			return true
		}, Answered},
	}
	for _, example := range cases {
		runner := upstreamtest.Start(t, example.step, upstreamtest.Plain(200, "seal", "next"))
		sender, trip := newSender(clock.NewFake()), tripTo(runner.Address, "POST", "x")
		if result, _ := heard(t, sender, trip); result.Fate != example.fate {
			t.Errorf("%s: %+v", example.name, result)
			continue
		}
		if kept := sender.host(string(runner.Address)).idle; len(kept) > 0 && (example.fate == Garbled || example.fate == Doubtful) {
			t.Errorf("%s: the connection is kept", example.name)
			continue
		}
		noticed(sender, runner.Address)
		if result, text := heard(t, sender, next(trip, "a2")); result.Fate != Answered || text != "next" || runner.Links() != 2 {
			t.Errorf("%s: %+v, %q over %d connections", example.name, result, text, runner.Links())
		}
	}
}

// noticed waits until what the runner wrote is there on the kept connections.
func noticed(sender *Sender, address ids.Address) {
	for _, link := range sender.host(string(address)).idle {
		for !link.disturbed() {
			runtime.Gosched()
		}
	}
}

// TestExtraAnswerLate has an extra answer come when the connection is idle.
func TestExtraAnswerLate(t *testing.T) {
	var late func()
	runner := upstreamtest.Start(t, func(seen upstreamtest.Seen, writer io.Writer) bool {
		late = func() { upstreamtest.Plain(200, "seal", "extra")(seen, writer) }
		return upstreamtest.Plain(200, "seal", "own")(seen, writer)
	}, upstreamtest.Plain(200, "seal", "next"))
	sender, trip := newSender(clock.NewFake()), tripTo(runner.Address, "POST", "x")
	heard(t, sender, trip)
	late()
	noticed(sender, runner.Address)
	if result, text := heard(t, sender, next(trip, "a2")); text != "next" || runner.Links() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.Links())
	}
}

// TestIdleConnectionsAreClosed lets a kept connection grow old with no request
// after it.
func TestIdleConnectionsAreClosed(t *testing.T) {
	machine := clock.NewFake()
	sender, runner := newSender(machine), upstreamtest.Start(t, upstreamtest.Plain(200, "seal", "own"))
	heard(t, sender, tripTo(runner.Address, "POST", "x"))
	begin, host := machine.Now(), sender.host(string(runner.Address))
	if host.clear(begin, clock.Second) != 1 {
		t.Fatal("the connection is not kept")
	}
	for host.clear(begin, 100*clock.Second) > 0 {
		machine.AdvanceToNext()
		runtime.Gosched()
	}
	if spent := machine.Now().Since(begin); spent < 60*clock.Second || spent > 75*clock.Second {
		t.Fatalf("closed after %v", spent)
	}
}

// TestInterimAnswers passes over those that come before the answer, within bounds.
func TestInterimAnswers(t *testing.T) {
	interim := "HTTP/1.1 100 Continue\r\n\r\n" + strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 200)
	runner := upstreamtest.Start(t, upstreamtest.Raw(interim+sealed, true), upstreamtest.Raw(strings.Repeat(interim, 200), true))
	sender, trip := newSender(clock.NewFake()), tripTo(runner.Address, "POST", "x")
	if result, text := heard(t, sender, trip); result.Fate != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if result, _ := heard(t, sender, next(trip, "a2")); result.Fate != Doubtful || runner.Links() != 1 {
		t.Fatalf("%+v over %d connections", result, runner.Links())
	}
}

// TestAnswerBeforeTheBodyWasRead has a runner answer at the head of a large
// request and read no further.
func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	answers := []string{"HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", strings.Replace(sealed, "{id}", "a2", 1)}
	go func() {
		for _, answer := range answers {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			defer link.Close()
			for reader, line := bufio.NewReader(link), "-"; line != "\r\n"; {
				line, _ = reader.ReadString('\n')
			}
			_, _ = io.WriteString(link, answer)
		}
	}()
	sender, trip := newSender(clock.NewFake()), tripTo(ids.Address(listener.Addr().String()), "POST", strings.Repeat("x", 32<<20))
	if result, _ := heard(t, sender, trip); result.Fate != Refused {
		t.Fatalf("%+v", result)
	}
	if result, text := heard(t, sender, next(trip, "a2")); result.Fate != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if kept := len(sender.host(string(trip.Address)).idle); kept != 0 {
		t.Fatalf("%d connections are kept whose request did not go out whole", kept)
	}
}

// TestTargetGoesOutAsItIs has targets that an URL's rules would rewrite.
func TestTargetGoesOutAsItIs(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Plain(200, "seal", ""))
	for _, target := range []string{"//other/x", "/a/../b", "/a//b?x=/../", "/%2e%2e/", "/?a=b?c"} {
		trip := tripTo(runner.Address, "GET", "")
		trip.Request.Target = target
		send(newSender(clock.NewFake()), trip)
		seen := runner.Seen()
		if got := seen[len(seen)-1]; got.Target != target || got.Host != "shop.example" {
			t.Errorf("%q arrived as %q at %q", target, got.Target, got.Host)
		}
	}
	trip := tripTo(runner.Address, "GET", "")
	for _, target := range []string{"", "/a b", "/a\r\nX: y", "/\x7f"} {
		trip.Request.Target = target
		if result := send(newSender(clock.NewFake()), trip); result.Fate != Unsent || len(runner.Seen()) != 5 {
			t.Errorf("%q: %+v, %d arrivals", target, result, len(runner.Seen()))
		}
	}
}

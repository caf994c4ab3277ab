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

const foreignResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"

// readResult sends a trip and gives the answer's body.
func readResult(t *testing.T, sender *Client, trip Attempt) (Result, string) {
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

// TestClient_sameAttemptTwiceUsesNewConnection has a runner turn an attempt away and say so again
// late, when the same attempt is there once more and runs: the late copy must
// not be taken for the second sending's answer.
func TestClient_sameAttemptTwiceUsesNewConnection(t *testing.T) {
	var first io.Writer
	runner := upstreamtest.Start(t, func(seen upstreamtest.Request, writer io.Writer) bool {
		first = writer
		return upstreamtest.Reject(503)(seen, writer)
	}, func(seen upstreamtest.Request, writer io.Writer) bool {
		upstreamtest.Reject(503)(seen, first)
		return upstreamtest.Respond(200, "seal", "ran")(seen, writer)
	})
	sender, trip := newTestClient(clock.NewFake()), attemptTo(runner.Address, "POST", "x")
	if result, _ := readResult(t, sender, trip); result.Outcome != Rejected {
		t.Fatalf("%+v", result)
	}
	if result, text := readResult(t, sender, trip); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_sameAttemptOverAnotherConnection has a runner answer an attempt as another
// and tell the late truth over another connection that is kept: the attempt goes
// to that address over a new one.
func TestClient_sameAttemptOverAnotherConnection(t *testing.T) {
	var kept io.Writer
	runner := upstreamtest.Start(t, func(seen upstreamtest.Request, writer io.Writer) bool {
		kept = writer
		return upstreamtest.Respond(200, "seal", "first")(seen, writer)
	}, upstreamtest.Raw(foreignResponse, true), func(seen upstreamtest.Request, writer io.Writer) bool {
		upstreamtest.Reject(503)(seen, kept)
		return upstreamtest.Respond(200, "seal", "ran")(seen, writer)
	})
	sender := newTestClient(clock.NewFake())
	trip := attemptTo(runner.Address, "POST", "x")
	held := send(sender, nextAttempt(trip, "a2"))
	if result, _ := readResult(t, sender, trip); result.Outcome != Garbled {
		t.Fatalf("%+v", result)
	}
	DrainAndClose(held.Response)
	if result, text := readResult(t, sender, trip); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 3 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_connectionOutOfStep has connections on which more comes than the answer to
// the request: nothing else goes over them.
func TestClient_connectionOutOfStep(t *testing.T) {
	own := strings.Replace(sealedResponse, "body", "own.", 1)
	cases := []struct {
		name string
		step upstreamtest.Step
		fate Outcome
	}{
		{"another's empty answer", upstreamtest.Raw(foreignResponse, true), Garbled},
		{"another's answer, then ours", upstreamtest.Raw(foreignResponse+own, true), Garbled},
		{"an extra answer at once", upstreamtest.Raw(own+own, true), Answered},
		{"bytes behind an empty answer", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n\r\n", true), Rejected},
		{"bytes behind the last chunk", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nx", true), Answered},
		{"no promise, no body", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"two ids", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n", true), Garbled},
		{"another protocol", upstreamtest.Raw("HTTP/1.1 101 X\r\nOnyxwell-Attempt-Id: {id}\r\n\r\n", true), Garbled},
		{"half-closed", func(seen upstreamtest.Request, writer io.Writer) bool {
			upstreamtest.Raw(own, true)(seen, writer)
			_ = writer.(*net.TCPConn).CloseWrite()
			return true
		}, Answered},
	}
	for _, example := range cases {
		runner := upstreamtest.Start(t, example.step, upstreamtest.Respond(200, "seal", "next"))
		sender, trip := newTestClient(clock.NewFake()), attemptTo(runner.Address, "POST", "x")
		if result, _ := readResult(t, sender, trip); result.Outcome != example.fate {
			t.Errorf("%s: %+v", example.name, result)
			continue
		}
		if kept := sender.hostPool(string(runner.Address)).idle; len(kept) > 0 && (example.fate == Garbled || example.fate == Indeterminate) {
			t.Errorf("%s: the connection is kept", example.name)
			continue
		}
		awaitPendingInput(sender, runner.Address)
		if result, text := readResult(t, sender, nextAttempt(trip, "a2")); result.Outcome != Answered || text != "next" || runner.ConnCount() != 2 {
			t.Errorf("%s: %+v, %q over %d connections", example.name, result, text, runner.ConnCount())
		}
	}
}

// awaitPendingInput waits until what the runner wrote is there on the kept connections.
func awaitPendingInput(sender *Client, address ids.Address) {
	for _, link := range sender.hostPool(string(address)).idle {
		for !link.hasPendingInput() {
			runtime.Gosched()
		}
	}
}

// TestClient_lateExtraResponse has an extra answer come when the connection is idle.
func TestClient_lateExtraResponse(t *testing.T) {
	var late func()
	runner := upstreamtest.Start(t, func(seen upstreamtest.Request, writer io.Writer) bool {
		late = func() { upstreamtest.Respond(200, "seal", "extra")(seen, writer) }
		return upstreamtest.Respond(200, "seal", "own")(seen, writer)
	}, upstreamtest.Respond(200, "seal", "next"))
	sender, trip := newTestClient(clock.NewFake()), attemptTo(runner.Address, "POST", "x")
	readResult(t, sender, trip)
	late()
	awaitPendingInput(sender, runner.Address)
	if result, text := readResult(t, sender, nextAttempt(trip, "a2")); text != "next" || runner.ConnCount() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_closesIdleConnections lets a kept connection grow old with no request
// after it.
func TestClient_closesIdleConnections(t *testing.T) {
	machine := clock.NewFake()
	sender, runner := newTestClient(machine), upstreamtest.Start(t, upstreamtest.Respond(200, "seal", "own"))
	readResult(t, sender, attemptTo(runner.Address, "POST", "x"))
	begin, host := machine.Now(), sender.hostPool(string(runner.Address))
	if host.closeIdle(begin, clock.Second) != 1 {
		t.Fatal("the connection is not kept")
	}
	for host.closeIdle(begin, 100*clock.Second) > 0 {
		machine.AdvanceToNext()
		runtime.Gosched()
	}
	if spent := machine.Now().Since(begin); spent < 60*clock.Second || spent > 75*clock.Second {
		t.Fatalf("closed after %v", spent)
	}
}

// TestClient_interimResponses passes over those that come before the answer, within bounds.
func TestClient_interimResponses(t *testing.T) {
	interim := "HTTP/1.1 100 Continue\r\n\r\n" + strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 200)
	runner := upstreamtest.Start(t, upstreamtest.Raw(interim+sealedResponse, true), upstreamtest.Raw(strings.Repeat(interim, 200), true))
	sender, trip := newTestClient(clock.NewFake()), attemptTo(runner.Address, "POST", "x")
	if result, text := readResult(t, sender, trip); result.Outcome != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if result, _ := readResult(t, sender, nextAttempt(trip, "a2")); result.Outcome != Indeterminate || runner.ConnCount() != 1 {
		t.Fatalf("%+v over %d connections", result, runner.ConnCount())
	}
}

// TestClient_responseBeforeBodyIsRead has a runner answer at the head of a large
// request and read no further.
func TestClient_responseBeforeBodyIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	answers := []string{"HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", strings.Replace(sealedResponse, "{id}", "a2", 1)}
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
	sender, trip := newTestClient(clock.NewFake()), attemptTo(ids.Address(listener.Addr().String()), "POST", strings.Repeat("x", 32<<20))
	if result, _ := readResult(t, sender, trip); result.Outcome != Rejected {
		t.Fatalf("%+v", result)
	}
	if result, text := readResult(t, sender, nextAttempt(trip, "a2")); result.Outcome != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if kept := len(sender.hostPool(string(trip.Address)).idle); kept != 0 {
		t.Fatalf("%d connections are kept whose request did not go out whole", kept)
	}
}

// TestClient_targetIsSentVerbatim has targets that an URL's rules would rewrite.
func TestClient_targetIsSentVerbatim(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	for _, target := range []string{"//other/x", "/a/../b", "/a//b?x=/../", "/%2e%2e/", "/?a=b?c"} {
		trip := attemptTo(runner.Address, "GET", "")
		trip.Request.Target = target
		send(newTestClient(clock.NewFake()), trip)
		seen := runner.Requests()
		if got := seen[len(seen)-1]; got.Target != target || got.Host != "shop.example" {
			t.Errorf("%q arrived as %q at %q", target, got.Target, got.Host)
		}
	}
	trip := attemptTo(runner.Address, "GET", "")
	for _, target := range []string{"", "/a b", "/a\r\nX: y", "/\x7f"} {
		trip.Request.Target = target
		if result := send(newTestClient(clock.NewFake()), trip); result.Outcome != Unsent || len(runner.Requests()) != 5 {
			t.Errorf("%q: %+v, %d arrivals", target, result, len(runner.Requests()))
		}
	}
}

package upstream

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/data/upstreamtest"
)

const wrongAttemptResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"

// readResult sends an attempt and reads the body of its response.
func readResult(t *testing.T, client *Client, attempt Attempt) (Result, string) {
	t.Helper()
	result := send(client, attempt)
	if result.Response == nil {
		return result, ""
	}
	text, err := io.ReadAll(result.Response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return result, string(text)
}

// TestClient_sameAttemptTwiceUsesNewConnection has a runner reject an attempt and
// repeat the rejection late, when the same attempt arrives again and is executed:
// the duplicate must not be taken for the second sending's response.
func TestClient_sameAttemptTwiceUsesNewConnection(t *testing.T) {
	var first io.Writer
	runner := upstreamtest.Start(t, func(req upstreamtest.Request, writer io.Writer) bool {
		first = writer
		return upstreamtest.Reject(503)(req, writer)
	}, func(req upstreamtest.Request, writer io.Writer) bool {
		upstreamtest.Reject(503)(req, first)
		return upstreamtest.Respond(200, "seal", "ran")(req, writer)
	})
	client, attempt := newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x")
	if result, _ := readResult(t, client, attempt); result.Outcome != Rejected {
		t.Fatalf("%+v", result)
	}
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_sameAttemptOverAnotherConnection has a runner answer an attempt with
// another's id and then reject it on a different connection, which is pooled: the
// same attempt goes to that address over a new connection.
func TestClient_sameAttemptOverAnotherConnection(t *testing.T) {
	var pooled io.Writer
	runner := upstreamtest.Start(t, func(req upstreamtest.Request, writer io.Writer) bool {
		pooled = writer
		return upstreamtest.Respond(200, "seal", "first")(req, writer)
	}, upstreamtest.Raw(wrongAttemptResponse, true), func(req upstreamtest.Request, writer io.Writer) bool {
		upstreamtest.Reject(503)(req, pooled)
		return upstreamtest.Respond(200, "seal", "ran")(req, writer)
	})
	client := newTestClient(clock.NewFake())
	attempt := newAttempt(runner.Address, "POST", "x")
	pending := send(client, nextAttempt(attempt, "a2"))
	if result, _ := readResult(t, client, attempt); result.Outcome != InvalidResponse {
		t.Fatalf("%+v", result)
	}
	DrainAndClose(pending.Response)
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 3 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_closesConnectionOutOfSync has connections carry something else than one
// response to the request: they are not reused.
func TestClient_closesConnectionOutOfSync(t *testing.T) {
	own := strings.Replace(sealedResponse, "body", "own.", 1)
	cases := []struct {
		name    string
		step    upstreamtest.Step
		outcome Outcome
	}{
		{"another's empty response", upstreamtest.Raw(wrongAttemptResponse, true), InvalidResponse},
		{"another's response, then ours", upstreamtest.Raw(wrongAttemptResponse+own, true), InvalidResponse},
		{"an extra response at once", upstreamtest.Raw(own+own, true), Answered},
		{"bytes behind an empty response", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n\r\n", true), Rejected},
		{"bytes behind the last chunk", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nx", true), Answered},
		{"not stated, no body", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"two ids", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"another protocol", upstreamtest.Raw("HTTP/1.1 101 X\r\nOnyxwell-Attempt-Id: {id}\r\n\r\n", true), InvalidResponse},
		{"half-closed", func(req upstreamtest.Request, writer io.Writer) bool {
			upstreamtest.Raw(own, true)(req, writer)
			_ = writer.(*net.TCPConn).CloseWrite()
			return true
		}, Answered},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runner := upstreamtest.Start(t, tc.step, upstreamtest.Respond(200, "seal", "next"))
			client, attempt := newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x")
			if result, _ := readResult(t, client, attempt); result.Outcome != tc.outcome {
				t.Errorf("%+v", result)
				return
			}
			if idle := client.pool(string(runner.Address)).idle; len(idle) > 0 && (tc.outcome == InvalidResponse || tc.outcome == Indeterminate) {
				t.Error("the connection is reused")
				return
			}
			awaitPendingInput(client, runner.Address)
			if result, text := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Answered || text != "next" || runner.ConnCount() != 2 {
				t.Errorf("%+v, %q over %d connections", result, text, runner.ConnCount())
			}
		})
	}
}

// awaitPendingInput waits until what the runner wrote has arrived on the idle
// connections.
func awaitPendingInput(client *Client, address ids.Address) {
	for _, conn := range client.pool(string(address)).idle {
		for !conn.hasPendingInput() {
			runtime.Gosched()
		}
	}
}

// TestClient_lateExtraResponse has an extra response arrive on an idle connection.
func TestClient_lateExtraResponse(t *testing.T) {
	var late func()
	runner := upstreamtest.Start(t, func(req upstreamtest.Request, writer io.Writer) bool {
		late = func() { upstreamtest.Respond(200, "seal", "extra")(req, writer) }
		return upstreamtest.Respond(200, "seal", "own")(req, writer)
	}, upstreamtest.Respond(200, "seal", "next"))
	client, attempt := newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x")
	readResult(t, client, attempt)
	late()
	awaitPendingInput(client, runner.Address)
	if result, text := readResult(t, client, nextAttempt(attempt, "a2")); text != "next" || runner.ConnCount() != 2 {
		t.Fatalf("%+v, %q over %d connections", result, text, runner.ConnCount())
	}
}

// TestClient_closesIdleConnections has idle connections be closed without another
// request.
func TestClient_closesIdleConnections(t *testing.T) {
	clk := clock.NewFake()
	client, runner := newTestClient(clk), upstreamtest.Start(t, upstreamtest.Respond(200, "seal", "own"))
	readResult(t, client, newAttempt(runner.Address, "POST", "x"))
	start, pool := clk.Now(), client.pool(string(runner.Address))
	if pool.closeIdle(start, time.Second) != 1 {
		t.Fatal("the connection is not pooled")
	}
	for pool.closeIdle(start, 100*time.Second) > 0 {
		clk.AdvanceToNext()
		runtime.Gosched()
	}
	if elapsed := clk.Now().Since(start); elapsed < 60*time.Second || elapsed > 75*time.Second {
		t.Fatalf("closed after %v", elapsed)
	}
}

// TestClient_interimResponses skips interim responses, up to the size limit of a
// head.
func TestClient_interimResponses(t *testing.T) {
	interim := "HTTP/1.1 100 Continue\r\n\r\n" + strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 200)
	runner := upstreamtest.Start(t, upstreamtest.Raw(interim+sealedResponse, true), upstreamtest.Raw(strings.Repeat(interim, 200), true))
	client, attempt := newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x")
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if result, _ := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Indeterminate || runner.ConnCount() != 1 {
		t.Fatalf("%+v over %d connections", result, runner.ConnCount())
	}
}

// TestClient_responseBeforeBodyIsRead has a runner respond after the head of a
// large request and read no further.
func TestClient_responseBeforeBodyIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	responses := []string{"HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", strings.Replace(sealedResponse, "{id}", "a2", 1)}
	go func() {
		for _, response := range responses {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			for reader, line := bufio.NewReader(conn), "-"; line != "\r\n"; {
				line, _ = reader.ReadString('\n')
			}
			_, _ = io.WriteString(conn, response)
		}
	}()
	client, attempt := newTestClient(clock.NewFake()), newAttempt(ids.Address(listener.Addr().String()), "POST", strings.Repeat("x", 32<<20))
	if result, _ := readResult(t, client, attempt); result.Outcome != Rejected {
		t.Fatalf("%+v", result)
	}
	if result, text := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Answered || text != "body" {
		t.Fatalf("%+v, %q", result, text)
	}
	if idle := len(client.pool(string(attempt.Address)).idle); idle != 0 {
		t.Fatalf("%d connections are pooled whose request was not written completely", idle)
	}
}

// TestClient_targetIsSentVerbatim has targets that parsing as an URL would change.
func TestClient_targetIsSentVerbatim(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	for _, target := range []string{"//other/x", "/a/../b", "/a//b?x=/../", "/%2e%2e/", "/?a=b?c"} {
		attempt := newAttempt(runner.Address, "GET", "")
		attempt.Request.Target = target
		send(newTestClient(clock.NewFake()), attempt)
		requests := runner.Requests()
		if got := requests[len(requests)-1]; got.Target != target || got.Host != "shop.example" {
			t.Errorf("%q arrived as %q at %q", target, got.Target, got.Host)
		}
	}
	attempt := newAttempt(runner.Address, "GET", "")
	for _, target := range []string{"", "/a b", "/a\r\nX: y", "/\x7f"} {
		attempt.Request.Target = target
		if result := send(newTestClient(clock.NewFake()), attempt); result.Outcome != Unsent || len(runner.Requests()) != 5 {
			t.Errorf("%q: %+v, %d arrivals", target, result, len(runner.Requests()))
		}
	}
}

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

// wrongAttemptResponse is a successful response to another attempt.
const wrongAttemptResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: z\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"

// readResult sends an attempt and returns the result and the body of the response, if
// there is one.
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

// TestClient_sameAttemptTwiceUsesNewConnection has a runner reject an attempt, and
// repeat the rejection when the same attempt arrives again and is executed. The
// duplicate must not be taken for the response to the second request.
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
		t.Fatalf("result of the rejected request is %+v", result)
	}
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 2 {
		t.Fatalf("result of the second request is %+v with body %q over %d connections, want body \"ran\" over 2", result, text, runner.ConnCount())
	}
}

// TestClient_sameAttemptOverAnotherConnection has a runner answer an attempt with
// another attempt id, and later send a rejection with the right id on a different
// connection, which is pooled. The same attempt must be sent to that address over a
// new connection.
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
		t.Fatalf("result after a response with another attempt id is %+v", result)
	}
	DrainAndClose(pending.Response)
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "ran" || runner.ConnCount() != 3 {
		t.Fatalf("result of the repeated attempt is %+v with body %q over %d connections, want body \"ran\" over 3", result, text, runner.ConnCount())
	}
}

// TestClient_closesConnectionOutOfSync has connections carry something other than
// exactly one response to the request. They must not be reused.
func TestClient_closesConnectionOutOfSync(t *testing.T) {
	own := strings.Replace(sealedResponse, "body", "own.", 1)
	cases := []struct {
		name    string
		step    upstreamtest.Step
		outcome Outcome
	}{
		{"response to another attempt", upstreamtest.Raw(wrongAttemptResponse, true), InvalidResponse},
		{"response to another attempt, then to this one", upstreamtest.Raw(wrongAttemptResponse+own, true), InvalidResponse},
		{"response sent twice", upstreamtest.Raw(own+own, true), Answered},
		{"bytes after an empty response", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n\r\n", true), Rejected},
		{"bytes after the last chunk", upstreamtest.Raw("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nx", true), Answered},
		{"503 without statement that the request was not executed", upstreamtest.Raw("HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n", true), Indeterminate},
		{"two attempt ids", upstreamtest.Raw("HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Attempt-Id: z\r\nContent-Length: 0\r\n\r\n", true), InvalidResponse},
		{"101 Switching Protocols", upstreamtest.Raw("HTTP/1.1 101 X\r\nOnyxwell-Attempt-Id: {id}\r\n\r\n", true), InvalidResponse},
		{"response, then half-closed", func(req upstreamtest.Request, writer io.Writer) bool {
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
				t.Errorf("result of the first request is %+v", result)
				return
			}
			if idle := client.pool(string(runner.Address)).idle; len(idle) > 0 && (tc.outcome == InvalidResponse || tc.outcome == Indeterminate) {
				t.Error("the connection was returned to the pool")
				return
			}
			awaitPendingInput(client, runner.Address)
			if result, text := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Answered || text != "next" || runner.ConnCount() != 2 {
				t.Errorf("result of the second request is %+v with body %q over %d connections, want body \"next\" over 2", result, text, runner.ConnCount())
			}
		})
	}
}

// awaitPendingInput waits until each idle connection to an address has unread input
// or was closed by the runner.
func awaitPendingInput(client *Client, address ids.Address) {
	for _, conn := range client.pool(string(address)).idle {
		for !conn.hasPendingInput() {
			runtime.Gosched()
		}
	}
}

// TestClient_lateExtraResponse has a second response arrive on an idle connection,
// which must not be reused.
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
		t.Fatalf("result of the second request is %+v with body %q over %d connections, want body \"next\" over 2", result, text, runner.ConnCount())
	}
}

// TestClient_closesIdleConnections checks that idle connections are closed after the
// idle timeout even if no further request is sent.
func TestClient_closesIdleConnections(t *testing.T) {
	clk := clock.NewFake()
	client, runner := newTestClient(clk), upstreamtest.Start(t, upstreamtest.Respond(200, "seal", "own"))
	readResult(t, client, newAttempt(runner.Address, "POST", "x"))
	start, pool := clk.Now(), client.pool(string(runner.Address))
	if pool.closeIdle(start, time.Second) != 1 {
		t.Fatal("the connection was not returned to the pool")
	}
	for pool.closeIdle(start, 100*time.Second) > 0 {
		clk.AdvanceToNext()
		runtime.Gosched()
	}
	if elapsed := clk.Now().Since(start); elapsed < 60*time.Second || elapsed > 75*time.Second {
		t.Fatalf("the idle connection was closed after %v, want 60s to 75s", elapsed)
	}
}

// TestClient_interimResponses checks that interim responses are skipped, up to the
// size limit of a response head.
func TestClient_interimResponses(t *testing.T) {
	interim := "HTTP/1.1 100 Continue\r\n\r\n" + strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", 200)
	runner := upstreamtest.Start(t, upstreamtest.Raw(interim+sealedResponse, true), upstreamtest.Raw(strings.Repeat(interim, 200), true))
	client, attempt := newTestClient(clock.NewFake()), newAttempt(runner.Address, "POST", "x")
	if result, text := readResult(t, client, attempt); result.Outcome != Answered || text != "body" {
		t.Fatalf("result after interim responses is %+v with body %q, want body \"body\"", result, text)
	}
	if result, _ := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Indeterminate || runner.ConnCount() != 1 {
		t.Fatalf("result after too many interim responses is %+v over %d connections, want 1", result, runner.ConnCount())
	}
}

// TestClient_responseBeforeBodyIsRead has a runner respond to a large request as soon
// as it has read the head, and leave the body unread. The response must be returned,
// and the connection must not be reused.
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
		t.Fatalf("result of the rejected request is %+v", result)
	}
	if result, text := readResult(t, client, nextAttempt(attempt, "a2")); result.Outcome != Answered || text != "body" {
		t.Fatalf("result of the second request is %+v with body %q, want body \"body\"", result, text)
	}
	if idle := len(client.pool(string(attempt.Address)).idle); idle != 0 {
		t.Fatalf("%d connections on which a request was not written completely are in the pool", idle)
	}
}

// TestClient_targetIsSentVerbatim sends request targets that parsing as a URL would
// change, and targets that must not be sent at all.
func TestClient_targetIsSentVerbatim(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "seal", ""))
	for _, target := range []string{"//other/x", "/a/../b", "/a//b?x=/../", "/%2e%2e/", "/?a=b?c"} {
		attempt := newAttempt(runner.Address, "GET", "")
		attempt.Request.Target = target
		send(newTestClient(clock.NewFake()), attempt)
		requests := runner.Requests()
		if got := requests[len(requests)-1]; got.Target != target || got.Host != "shop.example" {
			t.Errorf("target %q arrived as %q with host %q", target, got.Target, got.Host)
		}
	}
	attempt := newAttempt(runner.Address, "GET", "")
	for _, target := range []string{"", "/a b", "/a\r\nX: y", "/\x7f"} {
		attempt.Request.Target = target
		if result := send(newTestClient(clock.NewFake()), attempt); result.Outcome != Unsent || len(runner.Requests()) != 5 {
			t.Errorf("invalid target %q: %+v, %d requests arrived, want 5", target, result, len(runner.Requests()))
		}
	}
}

package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// TestClient_bodyDelimitedByClose has responses with neither Content-Length nor chunks.
// Only an orderly close completes the body, and the connection must not be reused.
func TestClient_bodyDelimitedByClose(t *testing.T) {
	head := " 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\n"
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, err := range []error{io.EOF, errReset, net.ErrClosed} {
			conn := &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: version + head + "ok", err: err}}, maxRead: 7}
			result := send(newClientWithConns(conn), newAttempt("r:1", "POST", "x"))
			if result.Outcome != Answered || result.Response.ContentLength != lengthChunked {
				t.Fatalf("%s, connection ends with %v: result is %+v", version, err, result)
			}
			body, readErr := io.ReadAll(result.Response.Body)
			if string(body) != "ok" || (readErr == nil) != (err == io.EOF) || !conn.closed {
				t.Errorf("%s, connection ends with %v: body is %q with error %v, connection closed: %v", version, err, body, readErr, conn.closed)
			}
		}
	}
}

// TestClient_noContentWithBodyHeaders has a 204 response announce a body, which a 204
// cannot have. The runner may send the body nevertheless, so the connection must not
// be reused.
func TestClient_noContentWithBodyHeaders(t *testing.T) {
	for _, framing := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"} {
		conn := &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: "HTTP/1.1 204 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n" + framing + "\r\n"}}}
		if result, text := readResult(t, newClientWithConns(conn), newAttempt("r:1", "POST", "x")); result.Outcome != Answered || text != "" || !conn.closed {
			t.Errorf("%q: result is %+v with body %q, connection closed: %v", framing, result, text, conn.closed)
		}
	}
}

// TestClient_responseBeforeAnyWrite has a runner respond and disconnect before any byte
// of the request is accepted. What it sent is no response to the request, which was
// not executed.
func TestClient_responseBeforeAnyWrite(t *testing.T) {
	for _, response := range []string{wrongAttemptResponse, sealedResponse, "HTTP/1.1 408 X\r\nConnection: close\r\n\r\n"} {
		conn := &fakeConn{exchanges: []exchange{{acceptBytes: 0, response: response, err: errReset}}}
		if result := send(newClientWithConns(conn), newAttempt("r:1", "POST", "x")); result.Outcome != Unsent || !conn.closed {
			t.Errorf("%q: result is %+v, or the connection was not closed", response, result)
		}
	}
}

// TestClient_dialTimeCountsAgainstDeadline checks that the time left that is sent to the
// runner does not include the time taken by dialing.
func TestClient_dialTimeCountsAgainstDeadline(t *testing.T) {
	clk, conn := clock.NewFake(), &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: sealedResponse}}}
	client := newTestClient(clk)
	client.dial = func(context.Context, string, string) (net.Conn, error) {
		clk.Advance(700 * time.Millisecond)
		return conn, nil
	}
	if result := send(client, newAttempt("r:1", "POST", "x")); result.Outcome != Answered || !strings.Contains(conn.written.String(), TimeLeftHeader+": 800\r\n") {
		t.Fatalf("result is %+v, request was %q", result, conn.written.String())
	}
}

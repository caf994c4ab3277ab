package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"onyxwell/base/clock"
)

// TestClient_bodyEndsWithConnection has answers with neither length nor chunks: a
// clean end is the body's, anything else is none, and nothing else goes over the
// connection.
func TestClient_bodyEndsWithConnection(t *testing.T) {
	head := " 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\n"
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, err := range []error{io.EOF, errReset, net.ErrClosed} {
			one := &fakeConn{exchanges: []exchange{{accepts: acceptAll, response: version + head + "ok", err: err}}, maxRead: 7}
			result := send(clientWith(one), attemptTo("r:1", "POST", "x"))
			if result.Outcome != Answered || result.Response.ContentLength != lengthChunked {
				t.Fatalf("%s, %v: %+v", version, err, result)
			}
			text, told := io.ReadAll(result.Response.Body)
			if string(text) != "ok" || (told == nil) != (err == io.EOF) || !one.closed {
				t.Errorf("%s, %v: %q, %v, closed %v", version, err, text, told, one.closed)
			}
		}
	}
}

// TestClient_noContentWithBodyHeaders has answers that can't have a body say that they do: the
// connection may carry it yet.
func TestClient_noContentWithBodyHeaders(t *testing.T) {
	for _, frame := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"} {
		one := &fakeConn{exchanges: []exchange{{accepts: acceptAll, response: "HTTP/1.1 204 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n" + frame + "\r\n"}}}
		if result, text := readResult(t, clientWith(one), attemptTo("r:1", "POST", "x")); result.Outcome != Answered || text != "" || !one.closed {
			t.Errorf("%q: %+v, %q, closed %v", frame, result, text, one.closed)
		}
	}
}

// TestClient_responseBeforeAnyWrite has a runner say something and be gone on a connection that
// takes not one byte of the request: that is no answer, and nothing has run.
func TestClient_responseBeforeAnyWrite(t *testing.T) {
	for _, answer := range []string{foreignResponse, sealedResponse, "HTTP/1.1 408 X\r\nConnection: close\r\n\r\n"} {
		one := &fakeConn{exchanges: []exchange{{accepts: 0, response: answer, err: errReset}}}
		if result := send(clientWith(one), attemptTo("r:1", "POST", "x")); result.Outcome != Unsent || !one.closed {
			t.Errorf("%q: %+v", answer, result)
		}
	}
}

// TestClient_dialTimeCountsAgainstDeadline has a connection come up late: the runner is told
// what is left then.
func TestClient_dialTimeCountsAgainstDeadline(t *testing.T) {
	machine, one := clock.NewFake(), &fakeConn{exchanges: []exchange{{accepts: acceptAll, response: sealedResponse}}}
	sender := newTestClient(machine)
	sender.dial = func(context.Context, string, string) (net.Conn, error) {
		machine.Advance(700 * clock.Millisecond)
		return one, nil
	}
	if result := send(sender, attemptTo("r:1", "POST", "x")); result.Outcome != Answered || !strings.Contains(one.written.String(), TimeLeftHeader+": 800\r\n") {
		t.Fatalf("%+v after %q", result, one.written.String())
	}
}

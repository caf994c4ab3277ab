package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"

	"onyxwell/base/clock"
)

// TestBodyThatEndsWithTheConnection has answers with neither length nor chunks: a
// clean end is the body's, anything else is none, and nothing else goes over the
// connection.
func TestBodyThatEndsWithTheConnection(t *testing.T) {
	head := " 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n\r\n"
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, err := range []error{io.EOF, errReset, net.ErrClosed} {
			one := &wire{acts: []act{{takes: all, answer: version + head + "ok", err: err}}, most: 7}
			result := send(wired(one), tripTo("r:1", "POST", "x"))
			if result.Fate != Answered || result.Response.ContentLength != chunks {
				t.Fatalf("%s, %v: %+v", version, err, result)
			}
			text, told := io.ReadAll(result.Response.Body)
			if string(text) != "ok" || (told == nil) != (err == io.EOF) || !one.closed {
				t.Errorf("%s, %v: %q, %v, closed %v", version, err, text, told, one.closed)
			}
		}
	}
}

// TestNoContentHasNoBody has answers that can't have a body say that they do: the
// connection may carry it yet.
func TestNoContentHasNoBody(t *testing.T) {
	for _, frame := range []string{"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"} {
		one := &wire{acts: []act{{takes: all, answer: "HTTP/1.1 204 X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n" + frame + "\r\n"}}}
		if result, text := heard(t, wired(one), tripTo("r:1", "POST", "x")); result.Fate != Answered || text != "" || !one.closed {
			t.Errorf("%q: %+v, %q, closed %v", frame, result, text, one.closed)
		}
	}
}

// TestAnswerToNothing has a runner say something and be gone on a connection that
// takes not one byte of the request: that is no answer, and nothing has run.
func TestAnswerToNothing(t *testing.T) {
	for _, answer := range []string{foreignEmpty, sealed, "HTTP/1.1 408 X\r\nConnection: close\r\n\r\n"} {
		one := &wire{acts: []act{{takes: 0, answer: answer, err: errReset}}}
		if result := send(wired(one), tripTo("r:1", "POST", "x")); result.Fate != Unsent || !one.closed {
			t.Errorf("%q: %+v", answer, result)
		}
	}
}

// TestTimeGoesOnWhileDialing has a connection come up late: the runner is told
// what is left then.
func TestTimeGoesOnWhileDialing(t *testing.T) {
	machine, one := clock.NewFake(), &wire{acts: []act{{takes: all, answer: sealed}}}
	sender := newSender(machine)
	sender.dial = func(context.Context, string, string) (net.Conn, error) {
		machine.Advance(700 * clock.Millisecond)
		return one, nil
	}
	if result := send(sender, tripTo("r:1", "POST", "x")); result.Fate != Answered || !strings.Contains(one.wrote.String(), LeftHeader+": 800\r\n") {
		t.Fatalf("%+v after %q", result, one.wrote.String())
	}
}

package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// exchange is what a wire does with one request: how many bytes of it are taken
// before a failure, and what is to be read after it.
type exchange struct {
	accepts  int
	response string
	err      error
}

// acceptAll is more than any request has.
const acceptAll = 1 << 30

// fakeConn is a connection that lies in memory, whose runner follows acts.
type fakeConn struct {
	exchanges []exchange
	written   bytes.Buffer
	unread    string
	current   exchange
	closed    bool
	// maxRead is how many bytes are read at once, where it is not 0.
	maxRead int
}

func (f *fakeConn) Write(text []byte) (int, error) {
	if len(f.exchanges) > 0 {
		f.current, f.exchanges = f.exchanges[0], f.exchanges[1:]
		f.unread = strings.ReplaceAll(f.current.response, "{id}", "a1")
	}
	size := min(len(text), f.current.accepts)
	f.written.Write(text[:size])
	if size < len(text) {
		return size, errReset
	}
	return size, nil
}

func (f *fakeConn) Read(buffer []byte) (int, error) {
	if f.unread == "" || f.closed {
		return 0, f.current.err
	}
	if f.maxRead > 0 && len(buffer) > f.maxRead {
		buffer = buffer[:f.maxRead]
	}
	size := copy(buffer, f.unread)
	f.unread = f.unread[size:]
	return size, nil
}

func (f *fakeConn) Close() error {
	f.closed = true
	return nil
}

func (f *fakeConn) LocalAddr() net.Addr              { return nil }
func (f *fakeConn) RemoteAddr() net.Addr             { return nil }
func (f *fakeConn) SetDeadline(time.Time) error      { return nil }
func (f *fakeConn) SetReadDeadline(time.Time) error  { return nil }
func (f *fakeConn) SetWriteDeadline(time.Time) error { return nil }

var errReset = errors.New("connection reset by peer")

// clientWith is a sender that gets these wires, one after another.
func clientWith(wires ...*fakeConn) *Client {
	sender := newTestClient(clock.NewFake())
	sender.dial = func(context.Context, string, string) (net.Conn, error) {
		if len(wires) == 0 {
			return nil, errors.New("nobody listens")
		}
		next := wires[0]
		wires = wires[1:]
		return next, nil
	}
	return sender
}

const sealedResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody"

// TestClient_neverWritesTwice cuts connections, new and kept, at each point of a
// request and of the answer's first bytes: what is known of the request follows
// from the bytes that were taken alone, and it is never written again.
func TestClient_neverWritesTwice(t *testing.T) {
	cases := []struct {
		name string
		act  exchange
		fate Outcome
	}{
		{"no byte is taken", exchange{accepts: 0, err: errReset}, Unsent},
		{"one byte is taken", exchange{accepts: 1, err: errReset}, Indeterminate},
		{"half is taken", exchange{accepts: 40, err: io.EOF}, Indeterminate},
		{"reset at no byte of the answer", exchange{accepts: acceptAll, err: errReset}, Indeterminate},
		{"closed at no byte of the answer", exchange{accepts: acceptAll, err: io.EOF}, Indeterminate},
		{"reset at one byte", exchange{accepts: acceptAll, response: "H", err: errReset}, Indeterminate},
		{"closed at one byte", exchange{accepts: acceptAll, response: "H", err: io.EOF}, Indeterminate},
		{"closed before the head's end", exchange{accepts: acceptAll, response: sealedResponse[:len(sealedResponse)-6], err: io.EOF}, Indeterminate},
	}
	for _, example := range cases {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
			for _, kept := range []bool{false, true} {
				one, spare := &fakeConn{exchanges: []exchange{example.act}}, &fakeConn{exchanges: []exchange{{accepts: acceptAll, response: sealedResponse}}}
				if kept {
					one.exchanges = []exchange{{accepts: acceptAll, response: "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"}, example.act}
				}
				sender, trip := clientWith(one, spare), attemptTo("r:1", method, "text")
				trip.Request.Header.Set("Idempotency-Key", "k")
				if kept {
					DrainAndClose(send(sender, nextAttempt(trip, "a1")).Response)
					one.written.Reset()
					trip = nextAttempt(trip, "a1")
					host := sender.hostPool("r:1")
					host.idle[0].recentAttempts = [attemptHistory]string{}
				}
				result := send(sender, trip)
				if result.Outcome != example.fate || spare.written.Len() > 0 || !one.closed {
					t.Errorf("%s, %s, kept %v: %+v, %d bytes elsewhere", example.name, method, kept, result, spare.written.Len())
				}
				if count := strings.Count(one.written.String(), " HTTP/1.1\r\n"); count > 1 {
					t.Errorf("%s, %s: written %d times", example.name, method, count)
				}
			}
		}
	}
}

// TestClient_ambiguousFraming has heads whose body's end is in doubt.
func TestClient_ambiguousFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n"
	cases := []struct {
		name, rest string
		fate       Outcome
		whole      bool
	}{
		{"one length", "Content-Length: 2\r\n\r\nok", Answered, true},
		{"the same length twice", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", Answered, true},
		{"two lengths", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", Indeterminate, false},
		{"two lengths in a line", "Content-Length: 2, 2\r\n\r\nok", Indeterminate, false},
		{"a signed length", "Content-Length: +2\r\n\r\nok", Indeterminate, false},
		{"length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Indeterminate, false},
		{"another coding", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Indeterminate, false},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Answered, true},
		{"cut chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Answered, false},
		{"a cut chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nok", Answered, false},
		{"no end of the trailer", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", Answered, false},
		{"no chunks", "Transfer-Encoding: chunked\r\n\r\nok\r\n\r\n", Answered, false},
		{"a short body", "Content-Length: 3\r\n\r\nok", Answered, false},
		{"a space before the colon", "Content-Length : 2\r\n\r\nok", Indeterminate, false},
		{"a control byte", "X-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok", Indeterminate, false},
	}
	for _, example := range cases {
		one := &fakeConn{exchanges: []exchange{{accepts: acceptAll, response: head + example.rest, err: io.EOF}}}
		sender := clientWith(one)
		result := send(sender, attemptTo("r:1", "POST", "x"))
		if result.Outcome != example.fate {
			t.Errorf("%s: %+v", example.name, result)
		}
		if result.Response != nil {
			text, err := io.ReadAll(result.Response.Body)
			if (err == nil) != example.whole || err == nil && string(text) != "ok" {
				t.Errorf("%s: %q, %v", example.name, text, err)
			}
		}
		if one.closed == example.whole {
			t.Errorf("%s: closed is %v", example.name, one.closed)
		}
	}
}

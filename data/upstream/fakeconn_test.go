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

// exchange is the scripted behavior of a fakeConn for one request.
type exchange struct {
	// acceptBytes is the number of bytes that are accepted before the write fails.
	acceptBytes int
	// response is sent with a1 in place of each {id}.
	response string
	// err is returned by Read after the response.
	err error
}

// acceptAll is a number of bytes larger than that of any request.
const acceptAll = 1 << 30

// fakeConn is an in-memory connection whose peer follows a list of exchanges. Each
// Write begins the next one, if any is left.
type fakeConn struct {
	exchanges []exchange
	written   bytes.Buffer
	unread    string
	current   exchange
	closed    bool
	// maxRead is the maximum number of bytes returned by a Read, or 0 for no limit.
	maxRead int
}

func (f *fakeConn) Write(data []byte) (int, error) {
	if len(f.exchanges) > 0 {
		f.current, f.exchanges = f.exchanges[0], f.exchanges[1:]
		f.unread = strings.ReplaceAll(f.current.response, "{id}", "a1")
	}
	n := min(len(data), f.current.acceptBytes)
	f.written.Write(data[:n])
	if n < len(data) {
		return n, errReset
	}
	return n, nil
}

func (f *fakeConn) Read(buf []byte) (int, error) {
	if f.unread == "" || f.closed {
		return 0, f.current.err
	}
	if f.maxRead > 0 && len(buf) > f.maxRead {
		buf = buf[:f.maxRead]
	}
	n := copy(buf, f.unread)
	f.unread = f.unread[n:]
	return n, nil
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

// newClientWithConns returns a client whose dials return the given connections in
// order, and fail after the last.
func newClientWithConns(conns ...*fakeConn) *Client {
	client := newTestClient(clock.NewFake())
	client.dial = func(context.Context, string, string) (net.Conn, error) {
		if len(conns) == 0 {
			return nil, errors.New("connection refused")
		}
		next := conns[0]
		conns = conns[1:]
		return next, nil
	}
	return client
}

// sealedResponse is a successful response with a runner's seal.
const sealedResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody"

// TestClient_neverWritesTwice breaks new and pooled connections at various points of a
// request and its response head. The outcome must depend only on whether any byte of
// the request was accepted, and the request must never be written again.
func TestClient_neverWritesTwice(t *testing.T) {
	cases := []struct {
		name    string
		last    exchange
		outcome Outcome
	}{
		{"no byte accepted", exchange{acceptBytes: 0, err: errReset}, Unsent},
		{"one byte accepted", exchange{acceptBytes: 1, err: errReset}, Indeterminate},
		{"part of the request accepted", exchange{acceptBytes: 40, err: io.EOF}, Indeterminate},
		{"reset before the response", exchange{acceptBytes: acceptAll, err: errReset}, Indeterminate},
		{"closed before the response", exchange{acceptBytes: acceptAll, err: io.EOF}, Indeterminate},
		{"reset after one byte of the response", exchange{acceptBytes: acceptAll, response: "H", err: errReset}, Indeterminate},
		{"closed after one byte of the response", exchange{acceptBytes: acceptAll, response: "H", err: io.EOF}, Indeterminate},
		{"closed before the end of the head", exchange{acceptBytes: acceptAll, response: sealedResponse[:len(sealedResponse)-6], err: io.EOF}, Indeterminate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
				for _, pooled := range []bool{false, true} {
					conn, spare := &fakeConn{exchanges: []exchange{tc.last}}, &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: sealedResponse}}}
					if pooled {
						conn.exchanges = []exchange{{acceptBytes: acceptAll, response: "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"}, tc.last}
					}
					client, attempt := newClientWithConns(conn, spare), newAttempt("r:1", method, "text")
					attempt.Request.Header.Set("Idempotency-Key", "k")
					if pooled {
						DrainAndClose(send(client, nextAttempt(attempt, "a1")).Response)
						conn.written.Reset()
						attempt = nextAttempt(attempt, "a1")
						pool := client.pool("r:1")
						pool.idle[0].recentAttempts = [maxRecentAttempts]string{}
					}
					result := send(client, attempt)
					if result.Outcome != tc.outcome || spare.written.Len() > 0 || !conn.closed {
						t.Errorf("%s, pooled %v: result is %+v with %d bytes written to another connection", method, pooled, result, spare.written.Len())
					}
					if count := strings.Count(conn.written.String(), " HTTP/1.1\r\n"); count > 1 {
						t.Errorf("%s: the request was written %d times", method, count)
					}
				}
			}
		})
	}
}

// TestClient_ambiguousFraming checks that responses with ambiguous or malformed framing
// are rejected, and that truncated bodies are reported as incomplete.
func TestClient_ambiguousFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n"
	cases := []struct {
		name, rest string
		outcome    Outcome
		complete   bool
	}{
		{"one Content-Length", "Content-Length: 2\r\n\r\nok", Answered, true},
		{"same Content-Length twice", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", Answered, true},
		{"different Content-Lengths", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", Indeterminate, false},
		{"two values in one Content-Length", "Content-Length: 2, 2\r\n\r\nok", Indeterminate, false},
		{"signed Content-Length", "Content-Length: +2\r\n\r\nok", Indeterminate, false},
		{"Content-Length and chunked", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Indeterminate, false},
		{"another transfer coding", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Indeterminate, false},
		{"chunked", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Answered, true},
		{"no last chunk", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Answered, false},
		{"truncated chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nok", Answered, false},
		{"no end of trailer section", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", Answered, false},
		{"chunked without chunks", "Transfer-Encoding: chunked\r\n\r\nok\r\n\r\n", Answered, false},
		{"truncated body", "Content-Length: 3\r\n\r\nok", Answered, false},
		{"space before colon", "Content-Length : 2\r\n\r\nok", Indeterminate, false},
		{"control character in header value", "X-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok", Indeterminate, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			conn := &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: head + tc.rest, err: io.EOF}}}
			client := newClientWithConns(conn)
			result := send(client, newAttempt("r:1", "POST", "x"))
			if result.Outcome != tc.outcome {
				t.Errorf("result is %+v", result)
			}
			if result.Response != nil {
				body, err := io.ReadAll(result.Response.Body)
				if (err == nil) != tc.complete || err == nil && string(body) != "ok" {
					t.Errorf("body is %q with error %v", body, err)
				}
			}
			if conn.closed == tc.complete {
				t.Errorf("connection closed: %v", conn.closed)
			}
		})
	}
}

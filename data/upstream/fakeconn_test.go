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

// exchange is what a fakeConn does with one request: how many bytes of it are
// accepted before the write fails, the response in which {id} stands for a1, and
// the error that ends it.
type exchange struct {
	acceptBytes int
	response    string
	err         error
}

// acceptAll is more bytes than any request has.
const acceptAll = 1 << 30

// fakeConn is a connection in memory whose peer follows a list of exchanges.
type fakeConn struct {
	exchanges []exchange
	written   bytes.Buffer
	unread    string
	current   exchange
	closed    bool
	// maxRead bounds the bytes of one Read, where it is not 0.
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

// newClientWithConns returns a client that dials these connections, one after another.
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

const sealedResponse = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody"

// TestClient_neverWritesTwice breaks connections, new and pooled, at each point
// of a request and of the first bytes of its response: the outcome follows from
// the bytes that were accepted alone, and the request is never written again.
func TestClient_neverWritesTwice(t *testing.T) {
	cases := []struct {
		name    string
		last    exchange
		outcome Outcome
	}{
		{"no byte is taken", exchange{acceptBytes: 0, err: errReset}, Unsent},
		{"one byte is taken", exchange{acceptBytes: 1, err: errReset}, Indeterminate},
		{"half is taken", exchange{acceptBytes: 40, err: io.EOF}, Indeterminate},
		{"reset at no byte of the response", exchange{acceptBytes: acceptAll, err: errReset}, Indeterminate},
		{"closed at no byte of the response", exchange{acceptBytes: acceptAll, err: io.EOF}, Indeterminate},
		{"reset at one byte", exchange{acceptBytes: acceptAll, response: "H", err: errReset}, Indeterminate},
		{"closed at one byte", exchange{acceptBytes: acceptAll, response: "H", err: io.EOF}, Indeterminate},
		{"closed before the head's end", exchange{acceptBytes: acceptAll, response: sealedResponse[:len(sealedResponse)-6], err: io.EOF}, Indeterminate},
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
						t.Errorf("%s, pooled %v: %+v, %d bytes elsewhere", method, pooled, result, spare.written.Len())
					}
					if count := strings.Count(conn.written.String(), " HTTP/1.1\r\n"); count > 1 {
						t.Errorf("%s: written %d times", method, count)
					}
				}
			}
		})
	}
}

// TestClient_ambiguousFraming has heads that are ambiguous about the end of
// their body, and bodies that are cut short.
func TestClient_ambiguousFraming(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n"
	cases := []struct {
		name, rest string
		outcome    Outcome
		complete   bool
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
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			conn := &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: head + tc.rest, err: io.EOF}}}
			client := newClientWithConns(conn)
			result := send(client, newAttempt("r:1", "POST", "x"))
			if result.Outcome != tc.outcome {
				t.Errorf("%+v", result)
			}
			if result.Response != nil {
				body, err := io.ReadAll(result.Response.Body)
				if (err == nil) != tc.complete || err == nil && string(body) != "ok" {
					t.Errorf("%q, %v", body, err)
				}
			}
			if conn.closed == tc.complete {
				t.Errorf("closed is %v", conn.closed)
			}
		})
	}
}

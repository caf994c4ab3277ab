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

// act is what a wire does with one request: how many bytes of it are taken
// before a failure, and what is to be read after it.
type act struct {
	takes  int
	answer string
	err    error
}

// all is more than any request has.
const all = 1 << 30

// wire is a connection that lies in memory, whose runner follows acts.
type wire struct {
	acts   []act
	wrote  bytes.Buffer
	unread string
	now    act
	closed bool
	// most is how many bytes are read at once, where it is not 0.
	most int
}

func (w *wire) Write(text []byte) (int, error) {
	if len(w.acts) > 0 {
		w.now, w.acts = w.acts[0], w.acts[1:]
		w.unread = strings.ReplaceAll(w.now.answer, "{id}", "a1")
	}
	size := min(len(text), w.now.takes)
	w.wrote.Write(text[:size])
	if size < len(text) {
		return size, errReset
	}
	return size, nil
}

func (w *wire) Read(buffer []byte) (int, error) {
	if w.unread == "" || w.closed {
		return 0, w.now.err
	}
	if w.most > 0 && len(buffer) > w.most {
		buffer = buffer[:w.most]
	}
	size := copy(buffer, w.unread)
	w.unread = w.unread[size:]
	return size, nil
}

func (w *wire) Close() error {
	w.closed = true
	return nil
}

func (w *wire) LocalAddr() net.Addr              { return nil }
func (w *wire) RemoteAddr() net.Addr             { return nil }
func (w *wire) SetDeadline(time.Time) error      { return nil }
func (w *wire) SetReadDeadline(time.Time) error  { return nil }
func (w *wire) SetWriteDeadline(time.Time) error { return nil }

var errReset = errors.New("connection reset by peer")

// wired is a sender that gets these wires, one after another.
func wired(wires ...*wire) *Sender {
	sender := newSender(clock.NewFake())
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

const sealed = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody"

// TestNothingIsWrittenTwice cuts connections, new and kept, at each point of a
// request and of the answer's first bytes: what is known of the request follows
// from the bytes that were taken alone, and it is never written again.
func TestNothingIsWrittenTwice(t *testing.T) {
	cases := []struct {
		name string
		act  act
		fate Fate
	}{
		{"no byte is taken", act{takes: 0, err: errReset}, Unsent},
		{"one byte is taken", act{takes: 1, err: errReset}, Doubtful},
		{"half is taken", act{takes: 40, err: io.EOF}, Doubtful},
		{"reset at no byte of the answer", act{takes: all, err: errReset}, Doubtful},
		{"closed at no byte of the answer", act{takes: all, err: io.EOF}, Doubtful},
		{"reset at one byte", act{takes: all, answer: "H", err: errReset}, Doubtful},
		{"closed at one byte", act{takes: all, answer: "H", err: io.EOF}, Doubtful},
		{"closed before the head's end", act{takes: all, answer: sealed[:len(sealed)-6], err: io.EOF}, Doubtful},
	}
	for _, example := range cases {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE"} {
			for _, kept := range []bool{false, true} {
				one, spare := &wire{acts: []act{example.act}}, &wire{acts: []act{{takes: all, answer: sealed}}}
				if kept {
					one.acts = []act{{takes: all, answer: "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\nContent-Length: 0\r\n\r\n"}, example.act}
				}
				sender, trip := wired(one, spare), tripTo("r:1", method, "text")
				trip.Request.Header.Set("Idempotency-Key", "k")
				if kept {
					Discard(send(sender, next(trip, "a1")).Response)
					one.wrote.Reset()
					trip = next(trip, "a1")
					host := sender.host("r:1")
					host.idle[0].carried = [remembered]string{}
				}
				result := send(sender, trip)
				if result.Fate != example.fate || spare.wrote.Len() > 0 || !one.closed {
					t.Errorf("%s, %s, kept %v: %+v, %d bytes elsewhere", example.name, method, kept, result, spare.wrote.Len())
				}
				if count := strings.Count(one.wrote.String(), " HTTP/1.1\r\n"); count > 1 {
					t.Errorf("%s, %s: written %d times", example.name, method, count)
				}
			}
		}
	}
}

// TestFramesThatSayTwoThings has heads whose body's end is in doubt.
func TestFramesThatSayTwoThings(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n"
	cases := []struct {
		name, rest string
		fate       Fate
		whole      bool
	}{
		{"one length", "Content-Length: 2\r\n\r\nok", Answered, true},
		{"the same length twice", "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok", Answered, true},
		{"two lengths", "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok!", Doubtful, false},
		{"two lengths in a line", "Content-Length: 2, 2\r\n\r\nok", Doubtful, false},
		{"a signed length", "Content-Length: +2\r\n\r\nok", Doubtful, false},
		{"length and chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Doubtful, false},
		{"another coding", "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Doubtful, false},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", Answered, true},
		{"cut chunks", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Answered, false},
		{"a cut chunk", "Transfer-Encoding: chunked\r\n\r\n5\r\nok", Answered, false},
		{"no end of the trailer", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", Answered, false},
		{"no chunks", "Transfer-Encoding: chunked\r\n\r\nok\r\n\r\n", Answered, false},
		{"a short body", "Content-Length: 3\r\n\r\nok", Answered, false},
		{"a space before the colon", "Content-Length : 2\r\n\r\nok", Doubtful, false},
		{"a control byte", "X-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok", Doubtful, false},
	}
	for _, example := range cases {
		one := &wire{acts: []act{{takes: all, answer: head + example.rest, err: io.EOF}}}
		sender := wired(one)
		result := send(sender, tripTo("r:1", "POST", "x"))
		if result.Fate != example.fate {
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

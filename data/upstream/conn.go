// Package upstream carries requests to runners and tells exactly what is known of
// their fate: answered, surely not run, or perhaps run.
package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"

	"onyxwell/base/clock"
)

const (
	// maxHeadBytes bounds the bytes up to the end of an answer's head, interim ones
	// included.
	maxHeadBytes = 1 << 20
	// noHeadLimit is no limit.
	noHeadLimit = -1
	// attemptHistory is how many attempts a connection remembers to have carried.
	attemptHistory = 8
	// maxInlineWrite is the size up to which a request is written before its answer is
	// read; a larger one is written meanwhile, as a runner may answer and leave it.
	maxInlineWrite = 32 << 10
)

var errHeadTooLarge = errors.New("forward: the answer's head does not end")

// conn is one connection to a runner; it carries one request at a time.
type conn struct {
	net.Conn
	clock  clock.Clock
	pool   *hostPool
	reader *bufio.Reader
	// lastRead is when the runner was last heard, in this or an earlier exchange.
	lastRead clock.Instant
	// idleFor is how old the connection was when the exchange began.
	idleFor clock.Span
	// headBytesLeft is how many bytes of a head may still come.
	headBytesLeft  int
	recentAttempts [attemptHistory]string
	attemptCount   int
}

func newConn(opened net.Conn, machine clock.Clock, host *hostPool) *conn {
	link := &conn{Conn: opened, clock: machine, pool: host, headBytesLeft: noHeadLimit}
	link.reader = bufio.NewReaderSize(link, 4096)
	return link
}

// Read notes when the runner was last heard and keeps heads within their bound.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headBytesLeft > 0 && len(buffer) > c.headBytesLeft {
		buffer = buffer[:c.headBytesLeft]
	}
	size, err := c.Conn.Read(buffer)
	if size > 0 {
		c.lastRead = c.clock.Now()
		if c.headBytesLeft > 0 {
			c.headBytesLeft -= size
		}
	}
	return size, err
}

// abort ends the exchange that is under way, whose time is over.
func (c *conn) abort() { _ = c.Conn.Close() }

// recordAttempt notes that the connection carries an attempt.
func (c *conn) recordAttempt(attempt string) {
	c.recentAttempts[c.attemptCount%attemptHistory] = attempt
	c.attemptCount++
}

// carriedAttempt tells whether an attempt went over the connection lately: an answer that
// comes twice could not be told from the one to come.
func (c *conn) carriedAttempt(attempt string) bool {
	for _, carried := range c.recentAttempts {
		if carried == attempt {
			return true
		}
	}
	return false
}

// hasPendingInput tells whether a kept connection has something to read: an end, or
// bytes that belong to no request.
func (c *conn) hasPendingInput() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	inner, able := c.Conn.(syscall.Conn)
	if !able {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return true
	}
	var peek [1]byte
	var peeked error
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(descriptor), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}

// requestWrite is a request on its way out.
type requestWrite struct {
	// done is closed when nothing more is written; size and err are good then.
	done    chan struct{}
	written int64
	err     error
}

var closedDone = func() chan struct{} {
	made := make(chan struct{})
	close(made)
	return made
}()

// writeRequest writes a request. A large one goes out while the answer is read already.
func (c *conn) writeRequest(head []byte, body []byte) *requestWrite {
	out := &requestWrite{done: closedDone}
	if len(head)+len(body) <= maxInlineWrite {
		size, err := c.Conn.Write(append(head, body...))
		out.written, out.err = int64(size), err
		return out
	}
	out.done = make(chan struct{})
	go func() {
		defer close(out.done)
		parts := net.Buffers{head, body}
		out.written, out.err = parts.WriteTo(c.Conn)
	}()
	return out
}

// complete tells whether the request went out whole by now.
func (r *requestWrite) complete() bool {
	select {
	case <-r.done:
		return r.err == nil
	default:
		return false
	}
}

// wroteNothing tells that the connection took not one byte: whatever is there to be
// read answers nothing.
func (r *requestWrite) wroteNothing() bool {
	select {
	case <-r.done:
		return r.err != nil && r.written == 0
	default:
		return false
	}
}

// responseBody is an answer's body. At its end the connection is kept or closed.
type responseBody struct {
	source io.Reader
	onEnd  func(whole bool)
	err    error
}

// Read gives io.EOF only where the body is whole.
func (r *responseBody) Read(buffer []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	size, err := r.source.Read(buffer)
	if err != nil {
		r.err = err
		r.onEnd(errors.Is(err, io.EOF))
	}
	return size, err
}

// Close gives up what was not read.
func (r *responseBody) Close() error {
	if r.err == nil {
		r.err = errBodyClosed
		r.onEnd(false)
	}
	return nil
}

var errBodyClosed = errors.New("forward: the answer was given up")

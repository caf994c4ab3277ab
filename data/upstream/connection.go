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
	// headLimit bounds the bytes up to the end of an answer's head, interim ones
	// included.
	headLimit = 1 << 20
	// unbounded is no limit.
	unbounded = -1
	// remembered is how many attempts a connection remembers to have carried.
	remembered = 8
	// atOnce is the size up to which a request is written before its answer is
	// read; a larger one is written meanwhile, as a runner may answer and leave it.
	atOnce = 32 << 10
)

var errHeadTooLong = errors.New("forward: the answer's head does not end")

// connection is one connection to a runner; it carries one request at a time.
type connection struct {
	net.Conn
	clock  clock.Clock
	host   *host
	reader *bufio.Reader
	// heard is when the runner was last heard, in this or an earlier exchange.
	heard clock.Instant
	// idle is how old the connection was when the exchange began.
	idle clock.Span
	// left is how many bytes of a head may still come.
	left    int
	carried [remembered]string
	count   int
}

func newConnection(opened net.Conn, machine clock.Clock, host *host) *connection {
	link := &connection{Conn: opened, clock: machine, host: host, left: unbounded}
	link.reader = bufio.NewReaderSize(link, 4096)
	return link
}

// Read notes when the runner was last heard and keeps heads within their bound.
func (c *connection) Read(buffer []byte) (int, error) {
	if c.left == 0 {
		return 0, errHeadTooLong
	}
	if c.left > 0 && len(buffer) > c.left {
		buffer = buffer[:c.left]
	}
	size, err := c.Conn.Read(buffer)
	if size > 0 {
		c.heard = c.clock.Now()
		if c.left > 0 {
			c.left -= size
		}
	}
	return size, err
}

// cut ends the exchange that is under way, whose time is over.
func (c *connection) cut() { _ = c.Conn.Close() }

// bear notes that the connection carries an attempt.
func (c *connection) bear(attempt string) {
	c.carried[c.count%remembered] = attempt
	c.count++
}

// bore tells whether an attempt went over the connection lately: an answer that
// comes twice could not be told from the one to come.
func (c *connection) bore(attempt string) bool {
	for _, carried := range c.carried {
		if carried == attempt {
			return true
		}
	}
	return false
}

// disturbed tells whether a kept connection has something to read: an end, or
// bytes that belong to no request.
func (c *connection) disturbed() bool {
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

// writing is a request on its way out.
type writing struct {
	// done is closed when nothing more is written; size and err are good then.
	done chan struct{}
	size int64
	err  error
}

var ended = func() chan struct{} {
	made := make(chan struct{})
	close(made)
	return made
}()

// send writes a request. A large one goes out while the answer is read already.
func (c *connection) send(head []byte, body []byte) *writing {
	out := &writing{done: ended}
	if len(head)+len(body) <= atOnce {
		size, err := c.Conn.Write(append(head, body...))
		out.size, out.err = int64(size), err
		return out
	}
	out.done = make(chan struct{})
	go func() {
		defer close(out.done)
		parts := net.Buffers{head, body}
		out.size, out.err = parts.WriteTo(c.Conn)
	}()
	return out
}

// whole tells whether the request went out whole by now.
func (w *writing) whole() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// refused tells that the connection took not one byte: whatever is there to be
// read answers nothing.
func (w *writing) refused() bool {
	select {
	case <-w.done:
		return w.err != nil && w.size == 0
	default:
		return false
	}
}

// body is an answer's body. At its end the connection is kept or closed.
type body struct {
	source io.Reader
	settle func(whole bool)
	over   error
}

// Read gives io.EOF only where the body is whole.
func (b *body) Read(buffer []byte) (int, error) {
	if b.over != nil {
		return 0, b.over
	}
	size, err := b.source.Read(buffer)
	if err != nil {
		b.over = err
		b.settle(errors.Is(err, io.EOF))
	}
	return size, err
}

// Close gives up what was not read.
func (b *body) Close() error {
	if b.over == nil {
		b.over = errClosed
		b.settle(false)
	}
	return nil
}

var errClosed = errors.New("forward: the answer was given up")

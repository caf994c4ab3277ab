package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"slices"
	"syscall"
	"time"

	"onyxwell/base/clock"
)

const (
	// maxHeadBytes limits the size of a response head, including the interim (1xx)
	// responses before it.
	maxHeadBytes = 1 << 20
	// noHeadLimit is the value of headBytesLeft while no response head is read.
	noHeadLimit = -1
	// maxRecentAttempts is the number of attempt ids that a connection remembers.
	maxRecentAttempts = 8
	// maxInlineWrite is the size in bytes up to which a request is written before its
	// response is read. A larger request is written concurrently, since a runner may
	// respond and leave the rest of the request unread.
	maxInlineWrite = 32 << 10
	// readBufferSize is the size in bytes of the read buffers of connections and event
	// readers.
	readBufferSize = 4096
)

var (
	errHeadTooLarge = errors.New("upstream: the response head exceeds its size limit")
	errBodyClosed   = errors.New("upstream: the response body was closed before its end")
)

// persistConn is a connection to a runner. It carries one request at a time and is
// not safe for concurrent use, except for abort and the write that writeRequest
// starts.
type persistConn struct {
	net.Conn
	clock  clock.Clock
	pool   *hostPool
	reader *bufio.Reader
	// lastRead is when bytes were last read, in this or an earlier exchange.
	lastRead clock.Instant
	// idleFor is how long the connection had been idle when the exchange began; 0 for
	// a new connection.
	idleFor time.Duration
	// headBytesLeft is the number of bytes that may still be read until the end of the
	// response head, or noHeadLimit.
	headBytesLeft int
	// recentAttempts is a ring buffer of the last attempt ids; attemptCount is the
	// number of all attempts on the connection.
	recentAttempts [maxRecentAttempts]string
	attemptCount   int
}

func newPersistConn(conn net.Conn, clk clock.Clock, pool *hostPool) *persistConn {
	pc := &persistConn{Conn: conn, clock: clk, pool: pool, headBytesLeft: noHeadLimit}
	pc.reader = bufio.NewReaderSize(pc, readBufferSize)
	return pc
}

// Read reads from the connection. It records when bytes arrived and enforces the
// size limit of response heads.
func (p *persistConn) Read(buf []byte) (int, error) {
	if p.headBytesLeft == 0 {
		return 0, errHeadTooLarge
	}
	if p.headBytesLeft > 0 && len(buf) > p.headBytesLeft {
		buf = buf[:p.headBytesLeft]
	}
	n, err := p.Conn.Read(buf)
	if n > 0 {
		p.lastRead = p.clock.Now()
		if p.headBytesLeft > 0 {
			p.headBytesLeft -= n
		}
	}
	return n, err
}

// abort ends the current exchange by closing the connection, which unblocks its
// reads and writes. It is called when the context of the exchange ends.
func (p *persistConn) abort() { _ = p.Conn.Close() }

// recordAttempt records that the connection carries an attempt.
func (p *persistConn) recordAttempt(attemptID string) {
	p.recentAttempts[p.attemptCount%maxRecentAttempts] = attemptID
	p.attemptCount++
}

// carriedAttempt reports whether the connection recently carried an attempt with
// this id. Such a connection is not used for the attempt again, because a duplicate
// of the earlier response could not be told from the new response.
func (p *persistConn) carriedAttempt(attemptID string) bool {
	return slices.Contains(p.recentAttempts[:], attemptID)
}

// hasPendingInput reports whether an idle connection is readable, which means that
// the peer has closed it or has sent bytes that belong to no request.
func (p *persistConn) hasPendingInput() bool {
	if p.reader.Buffered() > 0 {
		return true
	}
	sysConn, ok := p.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := sysConn.SyscallConn()
	if err != nil {
		return true
	}
	var buf [1]byte
	var peekErr error
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err != nil || !errors.Is(peekErr, syscall.EAGAIN)
}

// requestWrite is the state of the write of one request. A concurrent write ends at
// the latest when its connection is closed.
type requestWrite struct {
	// done is closed when the write has ended; only then are written and err valid.
	done    chan struct{}
	written int64
	err     error
}

// closedDone is the done channel of writes that end before writeRequest returns.
var closedDone = func() chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}()

// writeRequest writes a request. One larger than maxInlineWrite is written by a
// goroutine while the caller reads the response.
func (p *persistConn) writeRequest(head []byte, body []byte) *requestWrite {
	write := &requestWrite{done: closedDone}
	if len(head)+len(body) <= maxInlineWrite {
		n, err := p.Conn.Write(append(head, body...))
		write.written, write.err = int64(n), err
		return write
	}
	write.done = make(chan struct{})
	go func() {
		defer close(write.done)
		buffers := net.Buffers{head, body}
		write.written, write.err = buffers.WriteTo(p.Conn)
	}()
	return write
}

// complete reports whether the whole request has been written by now.
func (r *requestWrite) complete() bool { return r.ended() && r.err == nil }

// wroteNothing reports whether the write has failed before the connection accepted
// any byte of the request. Whatever can be read then is no response to it.
func (r *requestWrite) wroteNothing() bool { return r.ended() && r.err != nil && r.written == 0 }

func (r *requestWrite) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// responseBody is the body of a response. It calls onEnd once, at the end of the
// body, on a read error or when the body is closed early; onEnd decides whether the
// connection is reused.
type responseBody struct {
	source io.Reader
	onEnd  func(complete bool)
	err    error
}

// Read returns io.EOF only if the body is complete.
func (r *responseBody) Read(buf []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.source.Read(buf)
	if err != nil {
		r.err = err
		r.onEnd(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection too, unless the body has been read to its end.
func (r *responseBody) Close() error {
	if r.err == nil {
		r.err = errBodyClosed
		r.onEnd(false)
	}
	return nil
}

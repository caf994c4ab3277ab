package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
)

// NewServer returns the server of a proxy, to serve a listener of NewListener.
// What it can't read gets a 4xx and a closed connection; no other answer goes
// out past the proxy. The time-outs of heads and idle connections are those of
// the configuration in force.
func NewServer(p *Proxy) *http.Server {
	server := httpcall.NewServer(p, placeholderTimeout, placeholderTimeout)
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if client, ok := conn.(*clientConn); ok && state == http.StateIdle {
			client.deadlines.enter(phaseIdle)
		}
	}
	// Its answer to "OPTIONS *" would be a success that no runner gave.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if client, ok := conn.(*clientConn); ok {
			return context.WithValue(ctx, connKey{}, client)
		}
		return ctx
	}
	return server
}

// NewListener wraps a listener for a proxy's server. Its connections watch for
// heads that frame their body twice, which net/http mends silently, keep to the
// limits in force, and leave descriptors for the connections to runners.
func NewListener(p *Proxy, listener net.Listener) net.Listener {
	return limitListener{Listener: listener, proxy: p, slots: newConnSlots(p.machineLimits.OpenFiles)}
}

type limitListener struct {
	net.Listener
	proxy *Proxy
	slots *connSlots
}

// Close implements net.Listener.
func (l limitListener) Close() error {
	l.slots.close()
	return l.Listener.Close()
}

// Accept implements net.Listener; it waits for a free slot first.
func (l limitListener) Accept() (net.Conn, error) {
	if err := l.slots.acquire(); err != nil {
		return nil, err
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		l.slots.release()
		return nil, err
	}
	conn := &clientConn{Conn: accepted, slots: l.slots, conns: &l.proxy.conns}
	conn.head.quota = l.proxy.bodyQuota
	conn.deadlines.limits = l.proxy.limits
	conn.deadlines.enter(phaseReadingHead)
	conn.conns.add(conn)
	return conn, nil
}

type connKey struct{}

// clientConnOf returns the connection that a request came by; nil where it did
// not come by a listener of NewListener.
func clientConnOf(req *http.Request) *clientConn {
	conn, _ := req.Context().Value(connKey{}).(*clientConn)
	return conn
}

// clientConn is a client's connection. It scans the first head after each
// response. A pipelined request, sent before the response to the one before it,
// is not scanned, and rejected where that leaves its framing in doubt.
//
// net/http reads and writes it on different goroutines: headEnded and line are
// the reader's alone.
type clientConn struct {
	net.Conn
	deadlines connDeadlines
	slots     *connSlots
	conns     *connSet
	closeOnce sync.Once
	// responseBegun says that something was written since the last head began.
	responseBegun atomic.Bool
	// headEnded says that the head is scanned to its end; line is the beginning of
	// its present line, of maxFieldName bytes at most.
	headEnded  bool
	linePrefix []byte
	// head bounds the bytes of the head that is read.
	head headBudget
	// contentLengths and transferEncodings count the scanned head's fields that
	// frame a body, requests those that were taken since it began.
	contentLengths, transferEncodings, requests atomic.Int32
}

// maxFramingFieldLen is the length of the longest field name that frames a body.
const maxFramingFieldLen = len("transfer-encoding:")

// Read implements net.Conn. It reads on after a time-out of limits that are in
// force no more.
func (c *clientConn) Read(p []byte) (int, error) {
	if n := c.head.readTerminator(p); n > 0 {
		c.headEnded = true
		return n, nil
	}
	n, err := c.Conn.Read(p)
	for n == 0 {
		deadline, ok := c.deadlines.extendedDeadline(err)
		if !ok {
			break
		}
		if err = c.Conn.SetReadDeadline(deadline); err == nil {
			n, err = c.Conn.Read(p)
		}
	}
	if n > 0 {
		c.deadlines.inputArrived()
		if c.responseBegun.Swap(false) {
			c.headEnded, c.linePrefix = false, c.linePrefix[:0]
			c.contentLengths.Store(0)
			c.transferEncodings.Store(0)
			c.requests.Store(0)
			c.head.beginHead()
		}
		if !c.headEnded {
			c.scanHead(p[:n])
			// What follows a response that has begun, such as 100, may be the rest of a body.
			if !c.headEnded && !c.deadlines.serving() {
				c.head.grow(n, c.deadlines.limits().MaxHeaderBytes)
			}
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. While no request is served, the deadline
// is that of the limits in force in place of net/http's.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.deadlines.readDeadline(deadline))
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.responseBegun.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn; it gives the slot back once.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.conns.remove(c)
		c.slots.release()
		c.head.release()
	})
	return c.Conn.Close()
}

// CloseWrite closes the router's side alone, so that the last response is not
// lost by a reset.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Conn.Close()
}

// resetOnClose makes the connection end with a reset.
func (c *clientConn) resetOnClose() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
}

// scanHead counts the fields of a head that frame its body.
func (c *clientConn) scanHead(text []byte) {
	for len(text) > 0 && !c.headEnded {
		part, rest, ended := bytes.Cut(text, []byte("\n"))
		c.linePrefix = append(c.linePrefix, part[:min(len(part), maxFramingFieldLen-min(maxFramingFieldLen, len(c.linePrefix)))]...)
		text = rest
		if !ended {
			return
		}
		line := strings.ToLower(string(c.linePrefix))
		c.headEnded = strings.TrimRight(line, "\r") == ""
		if strings.HasPrefix(line, "content-length:") {
			c.contentLengths.Add(1)
		}
		if strings.HasPrefix(line, "transfer-encoding:") {
			c.transferEncodings.Add(1)
		}
		c.linePrefix = c.linePrefix[:0]
	}
}

// recordRequest counts a request as taken. It returns whether its head was
// scanned, and whether that frames the body twice.
func (c *clientConn) recordRequest() (ambiguous bool, scanned bool) {
	framings := c.contentLengths.Load() + c.transferEncodings.Load()
	scanned = c.requests.Add(1) == 1
	return scanned && framings > 1, scanned
}

// checkHead rejects heads that net/http accepts and that could mean another
// request to a runner than to this router.
func checkHead(req *http.Request, conn *clientConn) error {
	if problem := invalidTargetReason(req); problem != "" {
		return errkind.Errorf(errkind.BadRequest, "%s", problem)
	}
	if conn == nil {
		return nil
	}
	if kind := conn.head.rejectionKind(); kind != errkind.None {
		return errkind.Errorf(kind, "")
	}
	ambiguous, scanned := conn.recordRequest()
	if ambiguous {
		return errkind.Errorf(errkind.BadRequest, "the body's length is told twice")
	}
	if !scanned && len(req.TransferEncoding) > 0 {
		// net/http drops a Content-Length beside chunks, so there may have been one.
		return errkind.Errorf(errkind.EarlyRequest, "")
	}
	return nil
}

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

// NewServer returns a proxy's HTTP server, which has to serve a listener of
// NewListener. It responds to requests that it can't parse with a 4xx, or a 501
// for an unsupported transfer coding, and closes their connections; all other
// responses are the proxy's. The timeouts of request heads and idle connections
// are those of the current configuration.
func NewServer(p *Proxy) *http.Server {
	server := httpcall.NewServer(p, placeholderTimeout, placeholderTimeout)
	server.MaxHeaderBytes = maxHeadBytes
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if client, ok := conn.(*clientConn); ok && state == http.StateIdle {
			client.deadlines.enter(phaseIdle)
		}
	}
	// The general handler would respond to "OPTIONS *" with a success that comes
	// from no runner.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if client, ok := conn.(*clientConn); ok {
			return context.WithValue(ctx, connKey{}, client)
		}
		return ctx
	}
	return server
}

// NewListener wraps a listener for a proxy's server. Its connections detect
// request heads that frame the body more than once, which net/http normalizes
// silently, and apply the limits of the current configuration. Their number is
// bounded, to leave file descriptors for connections to runners.
func NewListener(p *Proxy, listener net.Listener) net.Listener {
	return limitListener{Listener: listener, proxy: p, slots: newConnSlots(p.machineLimits.OpenFiles)}
}

// limitListener is a listener whose connections are clientConns, one per slot.
type limitListener struct {
	net.Listener
	proxy *Proxy
	slots *connSlots
}

// Close implements net.Listener; it unblocks an Accept that waits for a slot.
func (l limitListener) Close() error {
	l.slots.close()
	return l.Listener.Close()
}

// Accept implements net.Listener; it first waits for a free slot.
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

// connKey is the context key of a request's clientConn.
type connKey struct{}

// clientConnOf returns the connection of a request; nil if it was not accepted by
// a listener of NewListener.
func clientConnOf(req *http.Request) *clientConn {
	conn, _ := req.Context().Value(connKey{}).(*clientConn)
	return conn
}

// clientConn is a client's connection. It scans the first request head after each
// response for the fields that frame the body. The head of a pipelined request,
// which is sent before the previous response, is not scanned; the request is
// rejected if its framing is therefore uncertain.
//
// net/http reads and writes it on different goroutines; headEnded and linePrefix
// are used only by the reader.
type clientConn struct {
	net.Conn
	deadlines connDeadlines
	slots     *connSlots
	conns     *connSet
	closeOnce sync.Once
	// responseBegun reports whether anything was written since the scan of the last
	// head began.
	responseBegun atomic.Bool
	// headEnded reports whether the head is scanned to its end.
	headEnded bool
	// linePrefix holds the beginning of the current line of the head, at most
	// maxFramingFieldLen bytes.
	linePrefix []byte
	// head bounds the size of the head being read.
	head headBudget
	// contentLengths and transferEncodings count the fields of these names in the
	// scanned head; requests counts the requests recorded since its scan began.
	contentLengths, transferEncodings, requests atomic.Int32
}

// maxFramingFieldLen is the length of the longest name of a field that frames a
// body, with its colon.
const maxFramingFieldLen = len("transfer-encoding:")

// Read implements net.Conn. After a timeout by limits that have been replaced it
// continues to read until the timeout by the current ones.
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
			lines := c.scanHead(p[:n])
			// While a request is served, input after a response has begun, such as 100
			// Continue, may be the request's body.
			if !c.deadlines.serving() {
				c.growHead(n, lines)
			}
			if c.head.truncated && !c.headEnded {
				n = wholeLines(p[:n])
			}
		}
	}
	return n, err
}

// growHead adds what was read to the budget of the head: n bytes if the head has not
// ended, since the rest may be a body, and the lines in any case.
func (c *clientConn) growHead(n int, lines int) {
	if c.headEnded {
		n = 0
	}
	c.head.grow(n, lines, c.deadlines.limits().MaxHeaderBytes)
}

// wholeLines returns the length of the lines that end in a part of a head, or of the whole
// part if none does. A head is truncated there, since net/http can't parse a line that
// ends within its name.
func wholeLines(part []byte) int {
	if end := bytes.LastIndexByte(part, '\n'); end >= 0 {
		return end + 1
	}
	return len(part)
}

// SetReadDeadline implements net.Conn. While no request is served, it replaces
// net/http's deadline by that of the current limits.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	return c.Conn.SetReadDeadline(c.deadlines.readDeadline(deadline))
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.responseBegun.Store(true)
	return c.Conn.Write(p)
}

// Close implements net.Conn. The first call releases the connection's slot and
// memory.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.conns.remove(c)
		c.slots.release()
		c.head.release()
	})
	return c.Conn.Close()
}

// CloseWrite closes the write side only. net/http does so before it closes a
// connection with unread input, so that a reset does not discard the last response.
func (c *clientConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Conn.Close()
}

// resetOnClose makes Close reset the connection.
func (c *clientConn) resetOnClose() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
}

// scanHead counts the fields in the next bytes of a head that frame the body. It returns
// the number of lines that ended in them.
func (c *clientConn) scanHead(text []byte) (lines int) {
	for len(text) > 0 && !c.headEnded {
		part, rest, ended := bytes.Cut(text, []byte("\n"))
		c.linePrefix = append(c.linePrefix, part[:min(len(part), maxFramingFieldLen-min(maxFramingFieldLen, len(c.linePrefix)))]...)
		text = rest
		if !ended {
			return lines
		}
		lines++
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
	return lines
}

// recordRequest counts a request whose head was read. It reports whether that head
// was scanned, and if so, whether it frames the body more than once.
func (c *clientConn) recordRequest() (ambiguous bool, scanned bool) {
	framings := c.contentLengths.Load() + c.transferEncodings.Load()
	scanned = c.requests.Add(1) == 1
	return scanned && framings > 1, scanned
}

// checkHead rejects heads that net/http accepts and that a runner could interpret
// as another request than this router does.
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
		// net/http removes a Content-Length next to a chunked Transfer-Encoding, so the
		// head may have had both.
		return errkind.Errorf(errkind.EarlyRequest, "")
	}
	return nil
}

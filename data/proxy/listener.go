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

// NewServer makes the server of a front. What it can't read gets a 4xx and a
// closed connection; nothing is answered past the front. How long heads and
// rests may take is up to the configuration in force.
func NewServer(front *Proxy) *http.Server {
	server := httpcall.NewServer(front, setByConn, setByConn)
	server.ConnState = func(link net.Conn, state http.ConnState) {
		if watched, known := link.(*clientConn); known {
			markIdle(watched, state)
		}
	}
	// Its answer to "OPTIONS *" would be a success that no runner gave.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, link net.Conn) context.Context {
		if watched, known := link.(*clientConn); known {
			return context.WithValue(ctx, connKey{}, watched)
		}
		return ctx
	}
	return server
}

// NewListener has the connections of a listener watched for heads that say two things
// of where a body ends, which net/http mends without a word, and held to the
// limits in force.
func NewListener(front *Proxy, listener net.Listener) net.Listener {
	return limitListener{Listener: listener, proxy: front, slots: newConnSlots(front.options.Scope.Settings.Limits.OpenFiles)}
}

type limitListener struct {
	net.Listener
	proxy *Proxy
	slots *connSlots
}

// Close closes the door.
func (l limitListener) Close() error {
	l.slots.close()
	return l.Listener.Close()
}

// Accept gives the next connection.
func (l limitListener) Accept() (net.Conn, error) {
	if err := l.slots.acquire(); err != nil {
		return nil, err
	}
	link, err := l.Listener.Accept()
	if err != nil {
		l.slots.release()
		return nil, err
	}
	made := &clientConn{Conn: link, slots: l.slots}
	made.deadlines.limits = l.proxy.limits
	made.deadlines.enter(phaseReadingHead)
	made.conns = &l.proxy.conns
	made.conns.add(made)
	return made, nil
}

type connKey struct{}

// clientConn is a visitor's connection. It reads along in the first head after an
// answer; a request that was sent before the answer to the one before is not
// looked at, and turned away where that leaves its frame in doubt.
type clientConn struct {
	net.Conn
	deadlines connDeadlines
	slots     *connSlots
	conns     *connSet
	closeOnce sync.Once
	// responseBegun says that something was written since the last head began.
	responseBegun atomic.Bool
	// headEnded says that the head has ended; line is the begin of its present line.
	headEnded bool
	line      []byte
	// contentLengths and codings count the heads that frame a body; heads counts the
	// requests that were taken since.
	contentLengths, transferEncodings, requests atomic.Int32
}

// maxFieldName is how much of a line is enough to know what it frames.
const maxFieldName = len("transfer-encoding:")

// Read reads along.
func (c *clientConn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	for size == 0 {
		until, more := c.deadlines.extended(err)
		if !more {
			break
		}
		if err = c.Conn.SetReadDeadline(until); err == nil {
			size, err = c.Conn.Read(buffer)
		}
	}
	if size > 0 {
		c.deadlines.inputArrived()
		if c.responseBegun.Swap(false) {
			c.headEnded, c.line = false, c.line[:0]
			c.contentLengths.Store(0)
			c.transferEncodings.Store(0)
			c.requests.Store(0)
		}
		if !c.headEnded {
			c.scanHead(buffer[:size])
		}
	}
	return size, err
}

// SetReadDeadline sets the deadline of the limits in force in place of
// net/http's, but while a request is being answered.
func (c *clientConn) SetReadDeadline(set time.Time) error {
	return c.Conn.SetReadDeadline(c.deadlines.readDeadline(set))
}

// Write notes that an answer went out.
func (c *clientConn) Write(buffer []byte) (int, error) {
	c.responseBegun.Store(true)
	return c.Conn.Write(buffer)
}

// Close ends the connection and gives its place to another.
func (c *clientConn) Close() error {
	c.closeOnce.Do(func() {
		c.conns.remove(c)
		c.slots.release()
	})
	return c.Conn.Close()
}

// CloseWrite ends our side alone, so that a last answer is not lost by a reset.
func (c *clientConn) CloseWrite() error {
	if half, able := c.Conn.(interface{ CloseWrite() error }); able {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// resetOnClose has the connection's end be a reset.
func (c *clientConn) resetOnClose() {
	if able, known := c.Conn.(interface{ SetLinger(seconds int) error }); known {
		_ = able.SetLinger(0)
	}
}

func (c *clientConn) scanHead(text []byte) {
	for len(text) > 0 && !c.headEnded {
		part, rest, ended := bytes.Cut(text, []byte("\n"))
		c.line = append(c.line, part[:min(len(part), maxFieldName-min(maxFieldName, len(c.line)))]...)
		text = rest
		if !ended {
			return
		}
		line := strings.ToLower(string(c.line))
		c.headEnded = strings.TrimRight(line, "\r") == ""
		if strings.HasPrefix(line, "content-length:") {
			c.contentLengths.Add(1)
		}
		if strings.HasPrefix(line, "transfer-encoding:") {
			c.transferEncodings.Add(1)
		}
		c.line = c.line[:0]
	}
}

// hasAmbiguousBody tells whether the request's head says two things of its body, and whether
// that was seen.
func (c *clientConn) hasAmbiguousBody() (torn bool, seen bool) {
	lengths, codings := c.contentLengths.Load(), c.transferEncodings.Load()
	seen = c.requests.Add(1) == 1
	return seen && lengths+codings > 1, seen
}

// checkHead tells what is wrong with a request's head, beyond what net/http refuses.
func checkHead(request *http.Request) error {
	if reason := targetProblem(request); reason != "" {
		return errkind.Errorf(errkind.BadRequest, "%s", reason)
	}
	link, known := request.Context().Value(connKey{}).(*clientConn)
	if !known {
		return nil
	}
	torn, seen := link.hasAmbiguousBody()
	if torn {
		return errkind.Errorf(errkind.BadRequest, "the body's length is told twice")
	}
	if !seen && len(request.TransferEncoding) > 0 {
		// Beside the chunks there may have been a length. By itself it is proper.
		return errkind.Errorf(errkind.EarlyRequest, "")
	}
	return nil
}

// Package httpcall is the HTTP layer of all daemons: a client and a mux that
// map typed requests and responses to and from the wire, and connections that
// fail within a bounded time when the peer is unreachable.
//
// Invariants: a handler runs only after the body was read completely, within
// the mux's limits; a call that is rejected before is reported to the Gate. The
// client sends no header that the request doesn't name.
package httpcall

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall lacks.
const tcpUserTimeout = 18

// The keep-alive probes of an idle connection: it is closed after
// keepAliveCount probes without an answer.
const (
	keepAliveInterval = time.Second
	keepAliveCount    = 3
)

// Dialer opens TCP connections.
type Dialer struct {
	// Timeout bounds the time to connect.
	Timeout time.Duration
	// UserTimeout is for how long sent bytes may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT).
	UserTimeout time.Duration
	// Traffic counts the bytes of the connections; nil counts nothing.
	Traffic *Traffic
	// Wrap stands between the client and each connection; nil leaves it as it is.
	Wrap func(net.Conn) net.Conn
}

// Dial opens a connection that is closed within UserTimeout if the peer stops
// answering, with or without bytes in flight.
func (d Dialer) Dial(ctx context.Context, network string, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: max(d.UserTimeout/2, keepAliveInterval), Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.UserTimeout.Milliseconds()))
			})
		},
	}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if d.Wrap != nil {
		conn = d.Wrap(conn)
	}
	return CountConn(conn, d.Traffic), nil
}

// ClientOptions configure the connection pool of a client.
type ClientOptions struct {
	Dialer Dialer
	// IdleTimeout is for how long an unused connection is kept; 0 is for ever.
	IdleTimeout time.Duration
	// MaxIdlePerHost bounds the unused connections to one address; below 0 none is kept.
	MaxIdlePerHost int
}

// bufferBytes is the size of a connection's read and write buffers.
const bufferBytes = 4096

// NewClient returns an HTTP client with a connection pool of its own. It adds no
// Accept-Encoding and follows no redirects.
func NewClient(options ClientOptions) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         options.Dialer.Dial,
			DisableCompression:  true,
			IdleConnTimeout:     options.IdleTimeout,
			MaxIdleConnsPerHost: options.MaxIdlePerHost,
			ReadBufferSize:      bufferBytes,
			WriteBufferSize:     bufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

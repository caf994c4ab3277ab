// Package httpcall holds what is common to calls over HTTP: one generic handler
// for pairs of question and answer, on both sides, and connections that
// notice a silent machine.
package httpcall

import (
	"context"
	"net"
	"net/http"
	"syscall"

	"onyxwell/base/clock"
)

// userTimeout is the number of TCP_USER_TIMEOUT on Linux.
const userTimeout = 18

// Dialer is how connections are made.
type Dialer struct {
	// Timeout is how long a connection may take to come up.
	Timeout clock.Span
	// UserTimeout is how long sent bytes may stay unconfirmed.
	UserTimeout clock.Span
	// Traffic counts the bytes, where it is there.
	Traffic *Traffic
}

// Dial opens a connection that a dead or cut-off machine can't hold for ever.
func (d Dialer) Dial(ctx context.Context, network string, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: max(d.UserTimeout/2, clock.Second), Interval: clock.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(d.UserTimeout.Milliseconds()))
			})
		},
	}
	link, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return CountConn(link, d.Traffic), nil
}

// ClientOptions says how many connections a client keeps.
type ClientOptions struct {
	Dialer         Dialer
	IdleTimeout    clock.Span
	MaxIdlePerHost int
}

// NewClient makes an HTTP client with a pool of its own that adds nothing to what
// is sent.
func NewClient(pooling ClientOptions) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         pooling.Dialer.Dial,
			DisableCompression:  true,
			IdleConnTimeout:     pooling.IdleTimeout,
			MaxIdleConnsPerHost: pooling.MaxIdlePerHost,
			ReadBufferSize:      4096,
			WriteBufferSize:     4096,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

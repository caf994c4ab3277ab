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

// Dialing is how connections are made.
type Dialing struct {
	// Limit is how long a connection may take to come up.
	Limit clock.Span
	// Silence is how long sent bytes may stay unconfirmed.
	Silence clock.Span
	// Count counts the bytes, where it is there.
	Count *Traffic
}

// Dial opens a connection that a dead or cut-off machine can't hold for ever.
func (d Dialing) Dial(ctx context.Context, network string, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: d.Limit,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: max(d.Silence/2, clock.Second), Interval: clock.Second, Count: 3,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeout, int(d.Silence.Milliseconds()))
			})
		},
	}
	link, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return Counting(link, d.Count), nil
}

// Pooling says how many connections a client keeps.
type Pooling struct {
	Dialing Dialing
	Idle    clock.Span
	PerHost int
}

// Client makes an HTTP client with a pool of its own that adds nothing to what
// is sent.
func Client(pooling Pooling) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         pooling.Dialing.Dial,
			DisableCompression:  true,
			IdleConnTimeout:     pooling.Idle,
			MaxIdleConnsPerHost: pooling.PerHost,
			ReadBufferSize:      4096,
			WriteBufferSize:     4096,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
)

// TestWantOfDescriptorsIsNotTheRunners has a connection not come up for a reason
// of this machine's own.
func TestWantOfDescriptorsIsNotTheRunners(t *testing.T) {
	top := scope.New(scope.Options{Clock: clock.NewFake()})
	sender := NewSender(Options{Clock: top.Clock, Dialing: httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}, Idle: clock.Second, PerHost: 1})
	for _, example := range []struct {
		err  error
		want string
	}{
		{os.NewSyscallError("socket", syscall.EMFILE), "starved"},
		{os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), "starved"},
		{os.NewSyscallError("connect", syscall.ECONNREFUSED), "undialed"},
	} {
		sender.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: example.err}
		}
		result := sender.Send(top, Trip{Request: &Request{Method: "GET", Target: "/", Host: "h", Attempt: "a"}, Address: "127.0.0.1:1", Left: clock.Second})
		if result.Fate != Unsent || result.Cause != example.want {
			t.Errorf("%v: %v, %s, not %s", example.err, result.Fate, result.Cause, example.want)
		}
	}
}

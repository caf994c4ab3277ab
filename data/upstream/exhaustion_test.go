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

// TestClient_localExhaustion has a connection not come up for a reason
// of this machine's own.
func TestClient_localExhaustion(t *testing.T) {
	top := scope.New(scope.Options{Clock: clock.NewFake()})
	sender := NewClient(Options{Clock: top.Clock, Dialing: httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}, IdleTimeout: clock.Second, MaxIdlePerHost: 1})
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
		result := sender.Send(top, Attempt{Request: &Request{Method: "GET", Target: "/", Host: "h", AttemptID: "a"}, Address: "127.0.0.1:1", TimeLeft: clock.Second})
		if result.Outcome != Unsent || result.Cause != example.want {
			t.Errorf("%v: %v, %s, not %s", example.err, result.Outcome, result.Cause, example.want)
		}
	}
}

package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
)

// TestClient_localExhaustion checks that dial errors for lack of local resources are
// distinguished from those that are caused by the runner.
func TestClient_localExhaustion(t *testing.T) {
	client := NewClient(Options{Clock: clock.NewFake(), Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, IdleTimeout: time.Second, MaxIdlePerHost: 1})
	for _, tc := range []struct {
		err  error
		want string
	}{
		{os.NewSyscallError("socket", syscall.EMFILE), "starved"},
		{os.NewSyscallError("connect", syscall.EADDRNOTAVAIL), "starved"},
		{os.NewSyscallError("connect", syscall.ECONNREFUSED), "undialed"},
	} {
		client.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: tc.err}
		}
		result := client.Send(context.Background(), Attempt{Request: &Request{Method: "GET", Target: "/", Host: "h", AttemptID: "a"}, Address: "127.0.0.1:1", TimeLeft: time.Second})
		if result.Outcome != Unsent || result.Cause != tc.want {
			t.Errorf("%v: outcome is %v with cause %s, want unsent with cause %s", tc.err, result.Outcome, result.Cause, tc.want)
		}
	}
}

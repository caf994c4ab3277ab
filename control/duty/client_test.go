package duty

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

// heldSession returns a session that holds the usage part under a fence. Its clock advances
// only when a test does so.
func heldSession(fake *clock.Fake, fence int64, waitMS int64) *Session {
	session := NewSession(SessionOptions{
		Clock: fake, Wall: func() time.Time { return time.Unix(0, int64(fake.Now())) }, Address: "a", TTL: time.Second, MaxDrift: time.Millisecond,
		Eligible: func() bool { return true }, AssignerCandidates: func() []ids.Address { return []ids.Address{"b"} },
		Send: func(context.Context, ids.Address, SessionRequest) (SessionResponse, error) {
			return SessionResponse{Assigning: true, Epoch: 1, Grants: []Grant{{Part: UsagePart, Fence: fence, WaitMS: waitMS}}}, nil
		},
	})
	session.Renew(context.Background())
	return session
}

func newTestClient(session *Session, server *httptest.Server, wrap func(net.Conn) net.Conn) *Client {
	return NewClient(ClientOptions{
		Clock: clock.NewMonotonic(), Session: session, Node: "edge-1", Address: ids.Address(strings.TrimPrefix(server.URL, "http://")),
		Timeout: 5 * time.Second, CheckInterval: time.Millisecond,
		NewHTTP: func(guard func(net.Conn) net.Conn) *http.Client {
			return httpcall.NewClient(httpcall.ClientOptions{MaxIdlePerHost: -1, Dialer: httpcall.Dialer{
				Timeout: time.Second, UserTimeout: time.Second, Wrap: func(conn net.Conn) net.Conn { return guard(wrap(conn)) },
			}})
		},
	})
}

func unchanged(conn net.Conn) net.Conn { return conn }

func TestClient_sendsHolderAndFence(t *testing.T) {
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		got = req
		body, _ = io.ReadAll(req.Body)
	}))
	defer server.Close()
	fake := clock.NewFake()
	client := newTestClient(heldSession(fake, 7, 0), server, unchanged)
	status, err := client.Call(context.Background(), UsagePart, 7, Call{Path: "/usage", Body: []byte("{}")})
	if err != nil || status != http.StatusOK {
		t.Fatal(status, err)
	}
	if got.Method != http.MethodPost || got.URL.Path != "/usage" || string(body) != "{}" ||
		got.Header.Get(holderHeader) != "edge-1" || got.Header.Get(fenceHeader) != "7" {
		t.Errorf("%s %s %s with %v", got.Method, got.URL, body, got.Header)
	}
}

// TestClient_sendsNothingUnlessHeld makes calls while the part is held under another fence,
// before calls are allowed, after the session has expired, and with a session that expires
// between the check and the first byte. No call may reach the platform.
func TestClient_sendsNothingUnlessHeld(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	for name, tc := range map[string]struct {
		fence, waitMS int64
		advance       time.Duration
		// connectDelay is how long connecting takes.
		connectDelay time.Duration
	}{
		"another fence":                   {fence: 6},
		"before the hand-over delay ends": {fence: 7, waitMS: 500},
		"expired":                         {fence: 7, advance: 900 * time.Millisecond},
		"expires while the call connects": {fence: 7, connectDelay: time.Minute},
	} {
		fake := clock.NewFake()
		session := heldSession(fake, tc.fence, tc.waitMS)
		fake.Advance(tc.advance)
		client := newTestClient(session, server, func(conn net.Conn) net.Conn {
			fake.Advance(tc.connectDelay)
			return conn
		})
		_, err := client.Call(context.Background(), UsagePart, 7, Call{Path: "/usage"})
		// Once connected, the call may fail because the connection was closed instead.
		if err == nil || (tc.connectDelay == 0 && !errors.Is(err, ErrNotHeld)) {
			t.Errorf("%s: call returned unexpected error %v", name, err)
		}
	}
	if calls.Load() != 0 {
		t.Errorf("%d calls reached the platform, want none", calls.Load())
	}
}

// TestClient_callEndsWithSession lets the session expire while a call waits for its answer.
// The call must fail and its connection must be closed at once.
func TestClient_callEndsWithSession(t *testing.T) {
	fake := clock.NewFake()
	gone := make(chan error, 1)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		_, _ = io.ReadAll(req.Body)
		fake.Advance(time.Minute)
		<-req.Context().Done()
		gone <- req.Context().Err()
	}))
	defer server.Close()
	client := newTestClient(heldSession(fake, 7, 0), server, unchanged)
	if _, err := client.Call(context.Background(), UsagePart, 7, Call{Path: "/usage", Body: []byte("{}")}); err == nil {
		t.Error("call succeeded after its session expired")
	}
	<-gone
}

// TestClient_revokesRefusedFence has the platform refuse a fence. No further call may be sent
// under it, and the next heartbeat must report it as rejected.
func TestClient_revokesRefusedFence(t *testing.T) {
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusConflict)
	}))
	defer server.Close()
	session := heldSession(clock.NewFake(), 7, 0)
	client := newTestClient(session, server, unchanged)
	for range 3 {
		if _, err := client.Call(context.Background(), UsagePart, 7, Call{Path: "/usage"}); err == nil {
			t.Error("call under a refused fence succeeded")
		}
		session.Renew(context.Background())
	}
	if calls.Load() != 1 {
		t.Errorf("%d calls sent under a refused fence, want 1", calls.Load())
	}
	if req := session.request(); len(req.Rejected) != 1 || req.Rejected[0].Fence != 7 || len(req.Active) != 0 {
		t.Errorf("heartbeat does not report the refused fence as rejected: %+v", req)
	}
}

// TestSession_rejectsCallsAfterSuspend advances the wall clock while the monotonic clock stands
// still, as happens when a machine is suspended or its wall clock is set. No call is allowed
// before the next heartbeat.
func TestSession_rejectsCallsAfterSuspend(t *testing.T) {
	fake := clock.NewFake()
	shift := time.Duration(0)
	session := heldSession(fake, 7, 0)
	session.options.Wall = func() time.Time { return time.Unix(0, int64(fake.Now())).Add(shift) }
	if !session.Allowed(UsagePart, 7) {
		t.Fatal("call not allowed for a held part")
	}
	shift = time.Minute
	if session.Allowed(UsagePart, 7) {
		t.Error("call allowed after the machine was suspended")
	}
	session.Renew(context.Background())
	if !session.Allowed(UsagePart, 7) {
		t.Error("call not allowed after the next heartbeat")
	}
}

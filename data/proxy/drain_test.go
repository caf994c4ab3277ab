package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/data/upstreamtest"
)

// triggerListener is a listener whose connections call onTrigger when the trigger
// bytes have arrived, before the server gets them. Further reads block until
// unblocked is closed, so that the server notices a close by the router only after
// the request has reached a runner or after it stops reading.
type triggerListener struct {
	net.Listener
	trigger   string
	onTrigger func()
	unblocked chan struct{}
	once      *sync.Once
}

// unblock closes unblocked, once.
func (c triggerListener) unblock() { c.once.Do(func() { close(c.unblocked) }) }

// triggerConn is a connection of a triggerListener.
type triggerConn struct {
	net.Conn
	listener  triggerListener
	triggered atomic.Bool
}

func (c triggerListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &triggerConn{Conn: conn, listener: c}, err
}

func (c *triggerConn) Read(buffer []byte) (int, error) {
	if c.triggered.Load() {
		<-c.listener.unblocked
		return 0, net.ErrClosed
	}
	size, err := c.Conn.Read(buffer)
	if bytes.Contains(buffer[:size], []byte(c.listener.trigger)) {
		c.triggered.Store(true)
		c.listener.onTrigger()
	}
	return size, err
}

// SetReadDeadline unblocks a blocked Read if the deadline is in the past.
func (c *triggerConn) SetReadDeadline(until time.Time) error {
	if c.triggered.Load() && !until.IsZero() && until.Before(time.Now()) {
		c.listener.unblock()
	}
	return c.Conn.SetReadDeadline(until)
}

// TestDrain_requestRacingCloseIsNotForwarded starts draining at the moment a
// request arrives on an idle connection. A connection that is closed then could
// not deliver the response, so the request must either get one or reach no runner.
func TestDrain_requestRacingCloseIsNotForwarded(t *testing.T) {
	listener := triggerListener{trigger: "/once/second", unblocked: make(chan struct{}), once: &sync.Once{}}
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"), upstreamtest.Before(listener.unblock, upstreamtest.Respond(200, "s", "x")))
	p := newTestProxy(t, 0, runner)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Config: NewServer(p.proxy)}
	listener.Listener, listener.onTrigger = inner, func() { startDraining(p) }
	server.Listener = NewListener(p.proxy, listener)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader, responses := bufio.NewReader(conn), 0
	for _, name := range []string{"first", "second"} {
		fmt.Fprintf(conn, "GET /once/%s HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: %s\r\nOnyxwell-Time-Left-Ms: 4000\r\n\r\n", name, "v1")
		if resp, err := http.ReadResponse(reader, nil); err == nil {
			_ = resp.Body.Close()
			responses++
		}
	}
	// Close returns after the server has finished with the connection.
	server.Close()
	if responses != countRequests(runner) || responses == 0 {
		t.Errorf("%d requests reached the runner, %d got a response", countRequests(runner), responses)
	}
}

// startDraining takes the first steps of a router that drains.
func startDraining(p *testProxy) {
	p.proxy.Drain(p.clock.Now())
	p.proxy.CloseIdle()
}

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

// crossingListener is a listener whose connections do something when certain bytes have
// arrived and nobody has read them yet. That they were closed shows only once
// the request has reached a runner, or nobody reads on.
type crossingListener struct {
	net.Listener
	trigger   string
	onTrigger func()
	over      chan struct{}
	once      *sync.Once
}

func (c crossingListener) end() { c.once.Do(func() { close(c.over) }) }

type crossingConn struct {
	net.Conn
	listener  crossingListener
	triggered atomic.Bool
}

func (c crossingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &crossingConn{Conn: conn, listener: c}, err
}

func (c *crossingConn) Read(buffer []byte) (int, error) {
	if c.triggered.Load() {
		<-c.listener.over
		return 0, net.ErrClosed
	}
	size, err := c.Conn.Read(buffer)
	if bytes.Contains(buffer[:size], []byte(c.listener.trigger)) {
		c.triggered.Store(true)
		c.listener.onTrigger()
	}
	return size, err
}

// SetReadDeadline ends the read that waits, as one in the past does.
func (c *crossingConn) SetReadDeadline(until time.Time) error {
	if c.triggered.Load() && !until.IsZero() && until.Before(time.Now()) {
		c.listener.end()
	}
	return c.Conn.SetReadDeadline(until)
}

// TestDrain_requestCrossingCloseIsNotForwarded has a router begin to leave at the
// moment at which a request arrives on a kept connection: it is answered, or it
// reaches no runner.
func TestDrain_requestCrossingCloseIsNotForwarded(t *testing.T) {
	link := crossingListener{trigger: "/once/second", over: make(chan struct{}), once: &sync.Once{}}
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"), upstreamtest.Before(link.end, upstreamtest.Respond(200, "s", "x")))
	house := newTestProxy(t, 0, runner)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Config: NewServer(house.proxy)}
	link.Listener, link.onTrigger = plain, func() { startDraining(house) }
	server.Listener = NewListener(house.proxy, link)
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader, answers := bufio.NewReader(conn), 0
	for _, name := range []string{"first", "second"} {
		fmt.Fprintf(conn, "GET /once/%s HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: %s\r\nOnyxwell-Time-Left-Ms: 4000\r\n\r\n", name, "v1")
		if response, err := http.ReadResponse(reader, nil); err == nil {
			_ = response.Body.Close()
			answers++
		}
	}
	// The connection's end comes after all that the router does with it.
	server.Close()
	if answers != countRequests(runner) || answers == 0 {
		t.Errorf("%d requests reached the runner, %d were answered", countRequests(runner), answers)
	}
}

// startDraining does what a router does first when it leaves.
func startDraining(house *testProxy) {
	house.proxy.Drain(house.clock.Now())
	house.proxy.CloseIdle()
}

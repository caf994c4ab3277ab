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

// crossed is a listener whose connections do something when certain bytes have
// arrived and nobody has read them yet. That they were closed shows only once
// the request has reached a runner, or nobody reads on.
type crossed struct {
	net.Listener
	bytes string
	act   func()
	over  chan struct{}
	once  *sync.Once
}

func (c crossed) end() { c.once.Do(func() { close(c.over) }) }

type crossedConn struct {
	net.Conn
	crossed crossed
	acted   atomic.Bool
}

func (c crossed) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &crossedConn{Conn: conn, crossed: c}, err
}

func (c *crossedConn) Read(buffer []byte) (int, error) {
	if c.acted.Load() {
		<-c.crossed.over
		return 0, net.ErrClosed
	}
	size, err := c.Conn.Read(buffer)
	if bytes.Contains(buffer[:size], []byte(c.crossed.bytes)) {
		c.acted.Store(true)
		c.crossed.act()
	}
	return size, err
}

// SetReadDeadline ends the read that waits, as one in the past does.
func (c *crossedConn) SetReadDeadline(until time.Time) error {
	if c.acted.Load() && !until.IsZero() && until.Before(time.Now()) {
		c.crossed.end()
	}
	return c.Conn.SetReadDeadline(until)
}

// TestRequestThatCrossesTheCloseIsNotPassedOn has a router begin to leave at the
// moment at which a request arrives on a kept connection: it is answered, or it
// reaches no runner.
func TestRequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	link := crossed{bytes: "/once/second", over: make(chan struct{}), once: &sync.Once{}}
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"), upstreamtest.Before(link.end, upstreamtest.Respond(200, "s", "x")))
	house := newHouse(t, 0, runner)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Config: NewServer(house.front)}
	link.Listener, link.act = plain, func() { beginToLeave(house) }
	server.Listener = Door(house.front, link)
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
	if answers != arrivals(runner) || answers == 0 {
		t.Errorf("%d requests reached the runner, %d were answered", arrivals(runner), answers)
	}
}

// beginToLeave does what a router does first when it leaves.
func beginToLeave(house *house) {
	house.front.Leave(house.clock.Now())
	house.front.Rest()
}

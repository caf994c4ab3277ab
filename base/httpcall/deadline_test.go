package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// deadlineListener accepts connections that report each read deadline that is
// set on them, as the time left; 0 is none.
type deadlineListener struct {
	net.Listener
	deadlines chan time.Duration
}

type deadlineConn struct {
	net.Conn
	deadlines chan time.Duration
}

func (d deadlineListener) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	return deadlineConn{Conn: conn, deadlines: d.deadlines}, err
}

func (d deadlineConn) SetReadDeadline(until time.Time) error {
	left := time.Duration(0)
	if !until.IsZero() {
		left = time.Until(until)
	}
	d.deadlines <- left
	return d.Conn.SetReadDeadline(until)
}

// A client sends a header and one byte of the body: the rest has a read deadline
// once the header is read.
func TestMux_bodyHasReadDeadline(t *testing.T) {
	deadlines := make(chan time.Duration, 16)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux(clock.NewMonotonic(), 1<<20)
	Handle(mux, http.MethodPut, "/settings", func(context.Context, empty) (empty, error) { return empty{}, nil })
	server := &httptest.Server{Listener: deadlineListener{Listener: listener, deadlines: deadlines}, Config: NewServer(mux, 5*time.Second, 60*time.Second)}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "PUT /settings HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	const reset = "header deadline reset"
	for _, event := range []string{"header", reset, "body"} {
		select {
		case left := <-deadlines:
			if event != reset && (left <= 0 || left > 30*time.Second) {
				t.Errorf("%s: read deadline in %v", event, left)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("%s: no read deadline is set", event)
		}
	}
	fmt.Fprintf(conn, "%099d", 0)
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v", resp, err)
	}
}

package httpcall

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"onyxwell/base/scope"
)

// deadlineListener is a connection that tells each read deadline that is set.
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

// TestMux_bodyHasReadDeadline sends a head and one byte: once the head is
// read, there is a time by which the body must be there.
func TestMux_bodyHasReadDeadline(t *testing.T) {
	set := make(chan time.Duration, 16)
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	table := NewMux(scope.New(scope.Options{}), 1<<20)
	Handle(table, http.MethodPut, "/settings", func(scope.Scope, empty) (empty, error) { return empty{}, nil })
	server := &httptest.Server{Listener: deadlineListener{Listener: plain, deadlines: set}, Config: NewServer(table, 5*time.Second, 60*time.Second)}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "PUT /settings HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	// The head's own deadline, and its end.
	for _, what := range []string{"a head", "its end", "a body"} {
		select {
		case left := <-set:
			if what != "its end" && (left <= 0 || left > 30*time.Second) {
				t.Errorf("%s is waited for for %v", what, left)
			}
		case <-time.After(2 * time.Second):
			t.Fatalf("%s is waited for for ever", what)
		}
	}
	fmt.Fprintf(conn, "%099d", 0)
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("%v %v", response, err)
	}
}

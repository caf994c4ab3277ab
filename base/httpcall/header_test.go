package httpcall

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/base/clock"
)

// headerCount is a request that counts the lines of its header.
type headerCount struct{ lines int }

func (h *headerCount) Decode(incoming Incoming) error {
	for _, values := range incoming.Request.Header {
		h.lines += len(values)
	}
	return nil
}

// TestNewServer_boundsHeaders guards against headers of 1 MB in short lines, a hundred of
// which took more than the memory of a controller once they were parsed.
func TestNewServer_boundsHeaders(t *testing.T) {
	const (
		line     = "a:b\r\n"
		maxLines = 4096
	)
	var mostLines atomic.Int64
	mux := NewMux(clock.NewMonotonic(), 1<<10)
	Handle(mux, http.MethodGet, "/lookup", func(_ context.Context, req headerCount) (empty, error) {
		mostLines.Store(max(mostLines.Load(), int64(req.lines)))
		return empty{}, nil
	})
	server := &httptest.Server{Listener: listenOnLoopback(t), Config: NewServer(mux, 5*time.Second, 60*time.Second)}
	server.Start()
	t.Cleanup(server.Close)
	for _, c := range []struct {
		name   string
		header string
		want   int
	}{
		{"few lines", strings.Repeat(line, 20), http.StatusOK},
		{"a long line", "Cookie: " + strings.Repeat("x", 12<<10) + "\r\n", http.StatusOK},
		{"many lines", strings.Repeat(line, 900<<10/len(line)), http.StatusRequestHeaderFieldsTooLarge},
		{"a line of 900 KiB", "Cookie: " + strings.Repeat("x", 900<<10) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		// The server may answer and close before it has read the rest.
		go func() { _, _ = fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: h\r\n%s\r\n", c.header) }()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		if resp.StatusCode != c.want {
			t.Errorf("%s: status %d, want %d", c.name, resp.StatusCode, c.want)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
	}
	if got := mostLines.Load(); got > maxLines {
		t.Errorf("a handler got a header of %d lines, at most %d may be parsed", got, maxLines)
	}
}

func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"onyxwell/data/upstreamtest"
)

// TestProxy_slowBodyTimesOut sends a head and a part of the body: the client must
// get a 408 after the idle timeout, and no runner the request.
func TestProxy_slowBodyTimesOut(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.setConfig(2, strings.Replace(configDocument, `"idle_ms":15000`, `"idle_ms":1`, 1))
	conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\nContent-Length: 5\r\n\r\nha")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusRequestTimeout || !resp.Close || countRequests(runner) != 0 {
		t.Fatalf("status %d, %d requests reached the runner", resp.StatusCode, countRequests(runner))
	}
}

// TestProxy_truncatedBodyReachesNoRunner ends a request in the middle of its body.
func TestProxy_truncatedBodyReachesNoRunner(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\nContent-Length: 5\r\n\r\nha")
	_ = conn.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || countRequests(runner) != 0 {
		t.Fatalf("status %d, want 400; %d requests reached the runner", resp.StatusCode, countRequests(runner))
	}
}

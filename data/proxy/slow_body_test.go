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

// TestProxy_slowBodyTimesOut sends a head and a part of the body: the client gets
// 408 once the idle time-out is over, and no runner gets the request.
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
		t.Fatalf("%d, %d arrivals", resp.StatusCode, countRequests(runner))
	}
}

// TestProxy_truncatedBodyReachesNoRunner breaks off in the middle of a body.
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
		t.Fatalf("%d, %d arrivals", resp.StatusCode, countRequests(runner))
	}
}

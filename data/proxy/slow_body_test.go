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

// TestProxy_slowBodyTimesOut sends a head and no body: the visitor is told
// so once the spec's time is over, and no runner hears of it.
func TestProxy_slowBodyTimesOut(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newTestProxy(t, 10, runner)
	house.setConfig(2, strings.Replace(configDocument, `"idle_ms":15000`, `"idle_ms":1`, 1))
	link, err := net.Dial("tcp", house.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	_, _ = io.WriteString(link, "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\nContent-Length: 5\r\n\r\nha")
	response, err := http.ReadResponse(bufio.NewReader(link), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout || !response.Close || countRequests(runner) != 0 {
		t.Fatalf("%d, %d arrivals", response.StatusCode, countRequests(runner))
	}
}

// TestProxy_truncatedBodyReachesNoRunner breaks off in the middle of a body.
func TestProxy_truncatedBodyReachesNoRunner(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	house := newTestProxy(t, 10, runner)
	link, err := net.Dial("tcp", house.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(link, "POST /safe/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\nContent-Length: 5\r\n\r\nha")
	_ = link.(*net.TCPConn).CloseWrite()
	response, err := http.ReadResponse(bufio.NewReader(link), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	defer response.Body.Close()
	if response.StatusCode != http.StatusBadRequest || countRequests(runner) != 0 {
		t.Fatalf("%d, %d arrivals", response.StatusCode, countRequests(runner))
	}
}

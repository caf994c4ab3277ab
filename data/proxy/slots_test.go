package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"onyxwell/base/settings"
	"onyxwell/data/upstreamtest"
)

// TestConnSlots_leaveDescriptorsForRunners connects more clients than there are
// slots. Without a bound, client connections would use the file descriptors that
// attempts at runners need. All requests must be served, and connections must be
// closed after their responses while few slots are free.
func TestConnSlots_leaveDescriptorsForRunners(t *testing.T) {
	p := newTestProxyWithSettings(t, &settings.Settings{Limits: settings.Limits{OpenFiles: 208}}, 0, upstreamtest.Start(t, upstreamtest.Respond(200, "s", "ok")))
	const slots, clients = 4, 7
	type result struct {
		closes bool
		err    error
	}
	results := make(chan result, clients)
	for range clients {
		conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\n\r\n")
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			results <- result{closes: err == nil && resp.Close, err: err}
		}()
	}
	closing := 0
	for range clients {
		result := <-results
		if result.err != nil {
			t.Fatal(result.err)
		}
		if result.closes {
			closing++
		}
	}
	if closing < clients-slots {
		t.Errorf("%d of %d responses close their connections to free slots for waiting clients", closing, clients)
	}
}

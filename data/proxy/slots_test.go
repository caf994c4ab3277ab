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

// TestConnSlots_leaveDescriptorsForRunners has more clients come than a router has
// descriptors for: some are kept waiting, none takes those that requests to
// runners need, and connections are not kept while it is crowded.
func TestConnSlots_leaveDescriptorsForRunners(t *testing.T) {
	house := newTestProxyWithSettings(t, &settings.Settings{Limits: settings.Limits{OpenFiles: 208}}, 0, upstreamtest.Start(t, upstreamtest.Respond(200, "s", "ok")))
	const most, clients = 4, 7
	type got struct {
		closing bool
		err     error
	}
	answers := make(chan got, clients)
	for range clients {
		conn, err := net.Dial("tcp", house.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\n\r\n")
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			answers <- got{closing: err == nil && response.Close, err: err}
		}()
	}
	closing := 0
	for range clients {
		answer := <-answers
		if answer.err != nil {
			t.Fatal(answer.err)
		}
		if answer.closing {
			closing++
		}
	}
	if closing < clients-most {
		t.Errorf("%d of %d answers end their connections, so that others get their turn", closing, clients)
	}
}

package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"onyxwell/base/settings"
	"onyxwell/data/upstreamtest"
)

// deadlineListener is a listener whose connections send each read deadline that is
// set to the channel set, as the time left until then.
type deadlineListener struct {
	net.Listener
	set chan time.Duration
}

func (d deadlineListener) Accept() (net.Conn, error) {
	conn, err := d.Listener.Accept()
	return deadlineConn{Conn: conn, set: d.set}, err
}

type deadlineConn struct {
	net.Conn
	set chan time.Duration
}

func (d deadlineConn) SetReadDeadline(until time.Time) error {
	if !until.IsZero() {
		d.set <- time.Until(until)
	}
	return d.Conn.SetReadDeadline(until)
}

// configWithLimits returns configDocument with these timeouts in milliseconds.
func configWithLimits(headerTimeoutMS int, idleTimeoutMS int) string {
	return strings.NewReplacer(`"header_wait_ms":3000`, fmt.Sprintf(`"header_wait_ms":%d`, headerTimeoutMS),
		`"idle_ms":15000`, fmt.Sprintf(`"idle_ms":%d`, idleTimeoutMS)).Replace(configDocument)
}

// TestConnDeadlines_followNewConfig publishes a configuration with longer timeouts
// after the server was created, whose own timeouts are fixed: request heads and
// idle connections must get the new ones.
func TestConnDeadlines_followNewConfig(t *testing.T) {
	p := newTestProxy(t, 0, upstreamtest.Start(t, upstreamtest.Respond(200, "s", "ok")))
	p.setConfig(2, configWithLimits(1000, 1500))
	set := make(chan time.Duration, 64)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &httptest.Server{Listener: NewListener(p.proxy, deadlineListener{Listener: inner, set: set}), Config: NewServer(p.proxy)}
	server.Start()
	t.Cleanup(server.Close)
	p.setConfig(3, configWithLimits(60000, 90000))
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if head := <-set; head < 50*time.Second {
		t.Errorf("head timeout is %v, want about 60 s", head)
	}
	fmt.Fprintf(conn, "GET /safe/1 HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	// The last deadline set is the idle timeout.
	idle := time.Duration(0)
	for idle < 70*time.Second {
		select {
		case idle = <-set:
		case <-time.After(2 * time.Second):
			t.Fatalf("idle timeout is %v, want about 90 s", idle)
		}
	}
}

// TestBodyQuota_boundsBodiesTogether has clients withhold the ends of bodies that
// are each within the limits but together exceed the router's memory: requests
// that do not fit must be rejected, and small ones still be served.
func TestBodyQuota_boundsBodiesTogether(t *testing.T) {
	p := newTestProxyWithSettings(t, &settings.Settings{Limits: settings.Limits{MemoryMB: 8}}, 0, upstreamtest.Start(t, upstreamtest.Respond(200, "s", "ok")))
	p.setConfig(2, strings.Replace(configDocument, `"max_body_bytes":100`, `"max_body_bytes":4194304`, 1))
	const size, clients = 1 << 20, 24
	answers := make(chan string, clients)
	for range clients {
		conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			fmt.Fprintf(conn, "POST /safe/1 HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: v1\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
		}()
		go func() {
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				answers <- err.Error()
				return
			}
			answers <- resp.Status + " " + resp.Header.Get("Retry-After")
		}()
	}
	if got := <-answers; !strings.HasPrefix(got, "503 Service Unavailable 0.") {
		t.Errorf("the first request beyond the quota gets %q", got)
	}
	// A body of which little has arrived uses memory from the pool for small bodies,
	// even if it will be rejected. So wait for all responses but that to the one
	// request whose body fits.
	for range clients - 2 {
		<-answers
	}
	if got := p.do("/safe/2", "small"); got.status != 200 {
		t.Errorf("a small request next to large ones gets %d %v", got.status, got.err)
	}
}

// TestBodyQuota_relaysLargeResponseUnbuffered relays a response that is larger than
// the remaining memory: the client must get it completely, without buffering.
func TestBodyQuota_relaysLargeResponseUnbuffered(t *testing.T) {
	text := strings.Repeat("y", 200<<10)
	p := newTestProxyWithSettings(t, &settings.Settings{Limits: settings.Limits{MemoryMB: 8}}, 0, upstreamtest.Start(t, upstreamtest.Respond(200, "s", text), upstreamtest.Respond(200, "s", text)))
	full := p.proxy.bodyQuota.NewBody()
	defer full.Release()
	if err := full.Read(strings.NewReader(strings.Repeat("z", 1500<<10)), 1500<<10, 1500<<10); err != nil {
		t.Fatal(err)
	}
	if got := p.do("/safe/1", ""); got.status != 200 || got.body != text || got.err != nil {
		t.Errorf("%d, %d bytes, %v", got.status, len(got.body), got.err)
	}
}

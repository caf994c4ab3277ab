package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/data/upstreamtest"
)

// bodyEnd marks the end of a benchmark request for serveEcho.
const bodyEnd = "END!"

// startEchoRunner starts a runner of minimal cost: it responds to each request
// with the attempt id and a fixed body.
func startEchoRunner(b *testing.B) ids.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(conn)
		}
	}()
	return ids.Address(listener.Addr().String())
}

// serveEcho responds to the requests of one connection.
func serveEcho(conn net.Conn) {
	defer conn.Close()
	buf, filled, name := make([]byte, 16<<10), 0, []byte("Onyxwell-Attempt-Id: ")
	body := strings.Repeat("x", 500)
	for {
		n, err := conn.Read(buf[filled:])
		if err != nil {
			return
		}
		if filled += n; !bytes.HasSuffix(buf[:filled], []byte(bodyEnd)) {
			continue
		}
		at := bytes.Index(buf[:filled], name) + len(name)
		id, _, _ := bytes.Cut(buf[at:filled], []byte("\r\n"))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: %s\r\nOnyxwell-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		filled = 0
	}
}

// cpuTime returns the CPU time of the process in nanoseconds.
func cpuTime() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return float64(usage.Utime.Nano() + usage.Stime.Nano())
}

// bench runs parallel clients against a proxy with one echo runner. The reported
// CPU time includes that of the clients and the runner.
func bench(b *testing.B, client func(p *testProxy, pb *testing.PB) error) {
	p := newTestProxy(b, 10, upstreamtest.Start(b, upstreamtest.HangUp()))
	p.runners[0] = discovery.Runner{ID: "i-1", Service: "desk", Address: startEchoRunner(b), Zone: "n", Capacity: 1000}
	p.publishRunners()
	before := cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		if err := client(p, pb); err != nil {
			b.Error(err)
		}
	})
	b.StopTimer()
	b.ReportMetric((cpuTime()-before)/float64(b.N), "processor-ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

var benchBody = strings.Repeat("b", 80) + bodyEnd

// BenchmarkRouter measures requests from the proxy's handler to a runner and back.
func BenchmarkRouter(b *testing.B) {
	bench(b, func(p *testProxy, pb *testing.PB) error {
		for i := 0; pb.Next(); i++ {
			req := httptest.NewRequest("POST", "/once/x", strings.NewReader(benchBody))
			req.Host = "shop.example"
			req.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%x-%p", i, pb))
			req.Header.Set("Onyxwell-Time-Left-Ms", "4000")
			resp := httptest.NewRecorder()
			p.proxy.ServeHTTP(resp, req)
			if n, _ := io.Copy(io.Discard, resp.Body); resp.Code != http.StatusOK || n != 500 {
				return fmt.Errorf("%d, %d bytes", resp.Code, n)
			}
		}
		return nil
	})
}

// BenchmarkListener measures requests from client connections to a runner and back.
func BenchmarkListener(b *testing.B) {
	bench(b, func(p *testProxy, pb *testing.PB) error {
		conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for i := 0; pb.Next(); i++ {
			_, _ = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: %x-%p\r\nOnyxwell-Time-Left-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
				i, pb, len(benchBody), benchBody)
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			if n, _ := io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK || n != 500 {
				return fmt.Errorf("%d, %d bytes", resp.StatusCode, n)
			}
		}
		return nil
	})
}

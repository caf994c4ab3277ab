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

const bodyEnd = "END!"

// startEchoRunner is a runner that does next to nothing: it answers on kept connections
// what it finds the id of.
func startEchoRunner(b *testing.B) ids.Address {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go serveEcho(link)
		}
	}()
	return ids.Address(listener.Addr().String())
}

func serveEcho(link net.Conn) {
	defer link.Close()
	buffer, filled, name := make([]byte, 16<<10), 0, []byte("Onyxwell-Attempt-Id: ")
	body := strings.Repeat("x", 500)
	for {
		size, err := link.Read(buffer[filled:])
		if err != nil {
			return
		}
		if filled += size; !bytes.HasSuffix(buffer[:filled], []byte(bodyEnd)) {
			continue
		}
		at := bytes.Index(buffer[:filled], name) + len(name)
		id, _, _ := bytes.Cut(buffer[at:filled], []byte("\r\n"))
		_, _ = fmt.Fprintf(link, "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: %s\r\nOnyxwell-Server-Seal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		filled = 0
	}
}

func cpuTime() float64 {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return float64(used.Utime.Nano() + used.Stime.Nano())
}

// bench has a router with one quick runner; what it gives must be used by
// parallel visitors, whose processor time counts with the router's.
func bench(b *testing.B, visitor func(house *testProxy, each *testing.PB) error) {
	house := newTestProxy(b, 10, upstreamtest.Start(b, upstreamtest.HangUp()))
	house.runners[0] = discovery.Runner{ID: "i-1", Service: "desk", Address: startEchoRunner(b), Zone: "n", Capacity: 1000}
	house.publishRunners()
	before := cpuTime()
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(each *testing.PB) {
		if err := visitor(house, each); err != nil {
			b.Error(err)
		}
	})
	b.StopTimer()
	b.ReportMetric((cpuTime()-before)/float64(b.N), "processor-ns/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

var benchBody = strings.Repeat("b", 80) + bodyEnd

// BenchmarkRouter takes requests from the front's handler to a runner and back.
func BenchmarkRouter(b *testing.B) {
	bench(b, func(house *testProxy, each *testing.PB) error {
		for number := 0; each.Next(); number++ {
			request := httptest.NewRequest("POST", "/once/x", strings.NewReader(benchBody))
			request.Host = "shop.example"
			request.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%x-%p", number, each))
			request.Header.Set("Onyxwell-Time-Left-Ms", "4000")
			answer := httptest.NewRecorder()
			house.proxy.ServeHTTP(answer, request)
			if size, _ := io.Copy(io.Discard, answer.Body); answer.Code != http.StatusOK || size != 500 {
				return fmt.Errorf("%d, %d bytes", answer.Code, size)
			}
		}
		return nil
	})
}

// BenchmarkListener takes them from visitors' kept connections.
func BenchmarkListener(b *testing.B) {
	bench(b, func(house *testProxy, each *testing.PB) error {
		link, err := net.Dial("tcp", house.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		defer link.Close()
		reader := bufio.NewReader(link)
		for number := 0; each.Next(); number++ {
			_, _ = fmt.Fprintf(link, "POST /once/x HTTP/1.1\r\nHost: shop.example\r\nOnyxwell-Attempt-Id: %x-%p\r\nOnyxwell-Time-Left-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s",
				number, each, len(benchBody), benchBody)
			answer, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			if size, _ := io.Copy(io.Discard, answer.Body); answer.StatusCode != http.StatusOK || size != 500 {
				return fmt.Errorf("%d, %d bytes", answer.StatusCode, size)
			}
		}
		return nil
	})
}

// Package upstreamtest plays runners for tests: each connection is answered by the
// steps of a script, byte for byte, without any waiting.
package upstreamtest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"onyxwell/base/ids"
)

// Seen is a request as the runner got it.
type Seen struct {
	Method  string
	Target  string
	Host    string
	Header  http.Header
	Body    string
	Attempt string
}

// Step answers one request: it writes bytes and tells whether the connection
// stays open.
type Step func(seen Seen, writer io.Writer) (open bool)

// Runner is a scripted runner.
type Runner struct {
	Address ids.Address
	mu      sync.Mutex
	steps   []Step
	seen    []Seen
	links   int
}

// Start starts a runner on the loopback that answers the first request with
// the first step, and so on; the last step answers all that follow.
func Start(t testing.TB, steps ...Step) *Runner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	made := &Runner{Address: ids.Address(listener.Addr().String()), steps: steps}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			link, err := listener.Accept()
			if err != nil {
				return
			}
			go made.serve(link)
		}
	}()
	return made
}

// Seen gives the requests that arrived, in their order.
func (r *Runner) Seen() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.seen...)
}

// Links tells how many connections were made to the runner.
func (r *Runner) Links() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links
}

func (r *Runner) serve(link net.Conn) {
	defer link.Close()
	r.mu.Lock()
	r.links++
	r.mu.Unlock()
	reader := bufio.NewReader(link)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		seen := Seen{
			Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header,
			Body: string(body), Attempt: request.Header.Get("Onyxwell-Attempt-Id"),
		}
		if !r.next(seen)(seen, link) {
			return
		}
	}
}

func (r *Runner) next(seen Seen) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = append(r.seen, seen)
	return r.steps[min(len(r.seen), len(r.steps))-1]
}

// Raw writes text in which {id} stands for the request's attempt id.
func Raw(text string, open bool) Step {
	return func(seen Seen, writer io.Writer) bool {
		_, _ = io.WriteString(writer, strings.ReplaceAll(text, "{id}", seen.Attempt))
		return open
	}
}

// Plain answers with a status, a seal and a body.
func Plain(status int, seal string, body string) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, seal, len(body), body), true)
}

// After does something once the request is there, before it is answered.
func After(act func(), step Step) Step {
	return func(seen Seen, writer io.Writer) bool {
		act()
		return step(seen, writer)
	}
}

// Refuse turns a request away without running it.
func Refuse(status int) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status), true)
}

// Events answers with a stream of events from one id to another; a stream that
// is not whole breaks off after the last.
func Events(seal string, first int, last int, whole bool) Step {
	text := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for number := first; number <= last; number++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", number, number)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	if whole {
		text += "0\r\n\r\n"
	}
	return Raw(text, whole)
}

// Hangup closes the connection without an answer.
func Hangup() Step { return Raw("", false) }

// Reset writes text as Raw does and resets the connection.
func Reset(text string) Step {
	return func(seen Seen, writer io.Writer) bool {
		Raw(text, false)(seen, writer)
		if link, known := writer.(*net.TCPConn); known {
			_ = link.SetLinger(0)
		}
		return false
	}
}

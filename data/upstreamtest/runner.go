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

// Request is a request as the runner got it.
type Request struct {
	Method    string
	Target    string
	Host      string
	Header    http.Header
	Body      string
	AttemptID string
}

// Step answers one request: it writes bytes and tells whether the connection
// stays open.
type Step func(seen Request, writer io.Writer) (open bool)

// Runner is a scripted runner.
type Runner struct {
	Address   ids.Address
	mu        sync.Mutex
	steps     []Step
	requests  []Request
	connCount int
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

// Requests gives the requests that arrived, in their order.
func (r *Runner) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Request(nil), r.requests...)
}

// ConnCount tells how many connections were made to the runner.
func (r *Runner) ConnCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connCount
}

func (r *Runner) serve(link net.Conn) {
	defer link.Close()
	r.mu.Lock()
	r.connCount++
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
		seen := Request{
			Method: request.Method, Target: request.RequestURI, Host: request.Host, Header: request.Header,
			Body: string(body), AttemptID: request.Header.Get("Onyxwell-Attempt-Id"),
		}
		if !r.nextStep(seen)(seen, link) {
			return
		}
	}
}

func (r *Runner) nextStep(seen Request) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, seen)
	return r.steps[min(len(r.requests), len(r.steps))-1]
}

// Raw writes text in which {id} stands for the request's attempt id.
func Raw(text string, open bool) Step {
	return func(seen Request, writer io.Writer) bool {
		_, _ = io.WriteString(writer, strings.ReplaceAll(text, "{id}", seen.AttemptID))
		return open
	}
}

// Respond answers with a status, a seal and a body.
func Respond(status int, seal string, body string) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, seal, len(body), body), true)
}

// Before does something once the request is there, before it is answered.
func Before(act func(), step Step) Step {
	return func(seen Request, writer io.Writer) bool {
		act()
		return step(seen, writer)
	}
}

// Reject turns a request away without running it.
func Reject(status int) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status), true)
}

// EventStream answers with a stream of events from one id to another; a stream that
// is not whole breaks off after the last.
func EventStream(seal string, first int, last int, whole bool) Step {
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

// HangUp closes the connection without an answer.
func HangUp() Step { return Raw("", false) }

// Reset writes text as Raw does and resets the connection.
func Reset(text string) Step {
	return func(seen Request, writer io.Writer) bool {
		Raw(text, false)(seen, writer)
		if link, known := writer.(*net.TCPConn); known {
			_ = link.SetLinger(0)
		}
		return false
	}
}

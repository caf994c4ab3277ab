// Package upstreamtest provides scripted runners for tests. Each request is answered
// by the next step of a script, which determines every byte of the response, without
// any delay.
package upstreamtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"

	"onyxwell/base/ids"
)

// Request is a request as a runner received it.
type Request struct {
	Method string
	// Target is the request target as it was sent.
	Target    string
	Host      string
	Header    http.Header
	Body      string
	AttemptID string
}

// Runner is a scripted runner. It is safe for concurrent use.
type Runner struct {
	Address ids.Address

	// goroutines tracks the goroutines that accept and serve connections.
	goroutines sync.WaitGroup
	mu         sync.Mutex
	steps      []Step
	requests   []Request
	conns      map[net.Conn]bool
	connCount  int
	stopped    bool
}

// Start starts a runner on the loopback interface. The first step answers the first
// request, and so on; the last step also answers all further requests. The runner
// stops at the end of the test.
func Start(t testing.TB, steps ...Step) *Runner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Runner{Address: ids.Address(listener.Addr().String()), steps: steps, conns: map[net.Conn]bool{}}
	r.goroutines.Add(1)
	go r.accept(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		r.closeConns()
		r.goroutines.Wait()
	})
	return r
}

// Requests returns the requests received so far, in order of arrival.
func (r *Runner) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.requests)
}

// ConnCount returns the number of connections that were opened to the runner,
// including closed ones.
func (r *Runner) ConnCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connCount
}

func (r *Runner) accept(listener net.Listener) {
	defer r.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.goroutines.Add(1)
		go r.serve(conn)
	}
}

// track adds a connection. It reports false if the runner has been stopped.
func (r *Runner) track(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = true
	r.connCount++
	return !r.stopped
}

func (r *Runner) untrack(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

// closeConns stops the runner: it closes the open connections, and those accepted
// later are closed at once.
func (r *Runner) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for conn := range r.conns {
		_ = conn.Close()
	}
}

// serve answers the requests on a connection until a step or the client closes it.
func (r *Runner) serve(conn net.Conn) {
	defer r.goroutines.Done()
	defer conn.Close()
	defer r.untrack(conn)
	if !r.track(conn) {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		httpReq, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(httpReq.Body)
		if err != nil {
			return
		}
		req := Request{
			Method: httpReq.Method, Target: httpReq.RequestURI, Host: httpReq.Host, Header: httpReq.Header,
			Body: string(body), AttemptID: httpReq.Header.Get("Onyxwell-Attempt-Id"),
		}
		if !r.nextStep(req)(req, conn) {
			return
		}
	}
}

// nextStep records a request and returns the step that answers it.
func (r *Runner) nextStep(req Request) Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
	return r.steps[min(len(r.requests), len(r.steps))-1]
}

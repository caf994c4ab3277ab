package experiment

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/response"
	"onyxwell/control/discovery"
	"onyxwell/data/upstream"
	"onyxwell/emulator/client"
)

// defects are what can be wrong with a defective router.
type defects struct {
	matchByOrder   bool // a response is taken for that of the pending request, whatever its attempt
	resend         bool // a request that may have run is sent again
	falseRejection bool // a request that has run is rejected
	reuseDirty     bool // a connection is reused with its response still to come
	cutAsWhole     bool // an incomplete response is passed on as a complete one
	noTarget       bool // a request does not name the runner that it is for
	changeTarget   bool // a request's target is changed
	dropSeal       bool // a response's seal is dropped
	reuseAddress   bool // an attempt goes again to an address over a kept connection
	abandonBody    bool // the rest of a body is not sent after an early response
	trustRejection bool // a rejection is passed on without the header that proves it
	passKey        bool // the client's key is passed on
	trustClaim     bool // a client's own word for its tenant is passed on
	serveStrangers bool // a request without a tenant's key is served
}

const (
	attemptsPerRequest = 3
	// exchangeTimeout is how long the router waits for a response. With reuseDirty it is
	// dirtyTimeout, so that responses come late.
	exchangeTimeout = 200 * time.Millisecond
	dirtyTimeout    = 3 * time.Millisecond
	// earlyResponseWait is how long an early response is waited for before the rest of
	// a body is sent.
	earlyResponseWait = 10 * time.Millisecond
)

// defectiveRouter is a small router that is correct but for its defects. It shows
// that an experiment finds them, and finds nothing where there are none.
type defectiveRouter struct {
	defects   defects
	clock     clock.Clock
	endpoints atomic.Pointer[discovery.List]
	next      atomic.Int64

	mu   sync.Mutex
	idle map[string][]*idleConn // by address
}

type idleConn struct {
	net.Conn
	reader *bufio.Reader
}

// withDefects returns a RouterFactory.
func withDefects(defects defects) RouterFactory {
	return func(_ context.Context, _ []byte, options Options) Router {
		router := &defectiveRouter{defects: defects, clock: options.Clock, idle: map[string][]*idleConn{}}
		return Router{Handler: router, SetEndpoints: func(list discovery.List) { router.endpoints.Store(&list) }}
	}
}

// acquire returns a connection to an address. It is a new one where the attempt
// went to the address before: a late response to its first run, with its own
// attempt id, may come on a kept one.
func (d *defectiveRouter) acquire(address string, tried map[string]bool) (*idleConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := tried[address] && !d.defects.reuseAddress
	tried[address] = true
	if idle := d.idle[address]; len(idle) > 0 && !fresh {
		d.idle[address] = idle[1:]
		return idle[0], nil
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (d *defectiveRouter) release(address string, conn *idleConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle[address] = append(d.idle[address], conn)
}

// ServeHTTP forwards a request, and retries it while that can't run it twice.
func (d *defectiveRouter) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	path := strings.Split(req.URL.Path, "/")
	service, kind := path[1], path[2]
	if d.tenantOf(req) == "" && !d.defects.serveStrangers {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	idempotent, mayHaveRun := kind == "safe" || kind == "resumable" || d.defects.resend, false
	tried := map[string]bool{}
	for range attemptsPerRequest {
		resp, text, sent := d.attempt(req, service, body, tried)
		if resp != nil {
			d.relay(w, resp, text)
			return
		}
		if mayHaveRun = mayHaveRun || sent; mayHaveRun && !idempotent {
			break
		}
	}
	status := http.StatusServiceUnavailable
	if mayHaveRun && !d.defects.falseRejection {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// tenantOf returns the tenant that holds a request's key, "" for none.
func (d *defectiveRouter) tenantOf(req *http.Request) string {
	if claim := req.Header.Get(upstream.TenantHeader); claim != "" && d.defects.trustClaim {
		return claim
	}
	for _, tenant := range client.Tenants() {
		if slices.Contains(tenant.APIKeys, req.Header.Get(upstream.APIKeyHeader)) {
			return tenant.Name
		}
	}
	return ""
}

func (d *defectiveRouter) relay(w http.ResponseWriter, resp *http.Response, text []byte) {
	for _, name := range []string{upstream.AttemptIDHeader, upstream.SealHeader} {
		if value := resp.Header.Get(name); value != "" && !(d.defects.dropSeal && name == upstream.SealHeader) {
			w.Header().Set(name, value)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(text)
}

// pick returns the next runner of a service, or nil.
func (d *defectiveRouter) pick(service string) *discovery.Runner {
	var runners []discovery.Runner
	for _, runner := range d.endpoints.Load().Runners {
		if string(runner.Service) == service {
			runners = append(runners, runner)
		}
	}
	if len(runners) == 0 {
		return nil
	}
	return &runners[int(d.next.Add(1))%len(runners)]
}

// attempt sends a request to a runner. It returns a nil response where there is
// none to pass on, and whether the request may have run.
func (d *defectiveRouter) attempt(req *http.Request, service string, body []byte, tried map[string]bool) (*http.Response, []byte, bool) {
	runner := d.pick(service)
	if runner == nil {
		return nil, nil, false
	}
	address := string(runner.Address)
	conn, err := d.acquire(address, tried)
	if err != nil {
		return nil, nil, false
	}
	timeout := exchangeTimeout
	if d.defects.reuseDirty {
		timeout = dirtyTimeout
	}
	type result struct {
		resp *http.Response
		text []byte
		err  error
	}
	results := make(chan result, 1)
	go func() {
		resp, text, err := d.exchange(conn, req, string(runner.ID), body)
		results <- result{resp, text, err}
	}()
	select {
	case <-d.clock.After(timeout):
		if d.defects.reuseDirty {
			// The response that is still to come is left in the connection.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			<-results
			_ = conn.SetReadDeadline(time.Time{})
			d.release(address, conn)
		} else {
			_ = conn.Close()
		}
		return nil, nil, true
	case result := <-results:
		rejected := result.resp != nil && result.resp.Header.Get(response.NotRunHeader) != ""
		if result.err == nil && !result.resp.Close && (d.defects.matchByOrder || conn.reader.Buffered() == 0) {
			d.release(address, conn)
		} else {
			_ = conn.Close()
		}
		if result.err != nil || rejected {
			return nil, nil, !rejected
		}
		return result.resp, result.text, true
	}
}

// write sends a request. With abandonBody it leaves out the rest of a body once a
// response has begun.
func (d *defectiveRouter) write(conn *idleConn, head string, body []byte) error {
	half := len(body)
	if d.defects.abandonBody {
		half /= 2
	}
	_, err := conn.Write(append([]byte(head), body[:half]...))
	if err != nil || half == len(body) {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(earlyResponseWait))
	_, notEarly := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if notEarly != nil {
		_, err = conn.Write(body[half:])
	}
	return err
}

// exchange sends a request and reads its response. A response that a router must
// not pass on is an error.
func (d *defectiveRouter) exchange(conn *idleConn, req *http.Request, runnerID string, body []byte) (*http.Response, []byte, error) {
	if err := d.write(conn, d.head(req, runnerID, len(body)), body); err != nil {
		return nil, nil, err
	}
	resp, err := http.ReadResponse(conn.reader, req)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(conn.reader, req)
	}
	if err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(resp.Body)
	if !d.accepts(resp, req.Header.Get(upstream.AttemptIDHeader)) {
		return nil, nil, fmt.Errorf("no answer to this request")
	}
	if err != nil && !d.defects.cutAsWhole {
		return nil, nil, err
	}
	return resp, text, nil
}

func (d *defectiveRouter) head(req *http.Request, runnerID string, bodySize int) string {
	target := req.RequestURI
	if d.defects.changeTarget {
		target = strings.Replace(target, "?of=", "?for=", 1)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", req.Method, target, req.Host, upstream.AttemptIDHeader, req.Header.Get(upstream.AttemptIDHeader))
	if !d.defects.noTarget {
		head += fmt.Sprintf("%s: %s\r\n", upstream.TargetRunnerHeader, runnerID)
	}
	if d.defects.passKey {
		head += fmt.Sprintf("%s: %s\r\n", upstream.APIKeyHeader, req.Header.Get(upstream.APIKeyHeader))
	}
	if tenant := d.tenantOf(req); tenant != "" {
		head += fmt.Sprintf("%s: %s\r\n", upstream.TenantHeader, tenant)
	}
	if lastEventID := req.Header.Get(upstream.LastEventIDHeader); lastEventID != "" {
		head += fmt.Sprintf("%s: %s\r\n", upstream.LastEventIDHeader, lastEventID)
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, bodySize)
}

// accepts reports whether a response is one to an attempt that may be passed on.
func (d *defectiveRouter) accepts(resp *http.Response, attempt string) bool {
	if !d.defects.matchByOrder && !d.defects.reuseDirty && resp.Header.Get(upstream.AttemptIDHeader) != attempt {
		return false
	}
	if resp.StatusCode == http.StatusOK && (resp.Header.Get(upstream.SealHeader) == "" || resp.Header.Get("Content-Encoding") != "") {
		return false
	}
	rejection := resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusRequestTimeout
	return !rejection || resp.Header.Get(response.NotRunHeader) != "" || d.defects.trustRejection
}

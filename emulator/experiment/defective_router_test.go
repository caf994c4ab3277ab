package experiment

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/data/upstream"
)

// defects are what can be wrong with a naive router.
type defects struct {
	matchByOrder, resend, falseRejection, reuseDirty, cutAsWhole, noTarget, changeTarget, dropSeal, reuseAddress, abandonBody, trustRejection bool
}

// defectiveRouter is a small router of its own, right but for its errs: it shows that
// the experiment finds them, and that it finds nothing where nothing is wrong.
type defectiveRouter struct {
	defects   defects
	top       scope.Scope
	endpoints atomic.Pointer[discovery.List]
	next      atomic.Int64
	mu        sync.Mutex
	idle      map[string][]*idleConn
}

type idleConn struct {
	net.Conn
	reader *bufio.Reader
}

func withDefects(errs defects) RouterFactory {
	return func(top scope.Scope, _ []byte, _ Options) Router {
		made := &defectiveRouter{defects: errs, top: top, idle: map[string][]*idleConn{}}
		return Router{Handler: made, SetEndpoints: func(list discovery.List) { made.endpoints.Store(&list) }}
	}
}

// acquire gives a kept connection, but none to an address where the attempt went
// before: a late answer to its first run may come there, under its own id.
func (d *defectiveRouter) acquire(address string, went map[string]bool) (*idleConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh := went[address] && !d.defects.reuseAddress
	went[address] = true
	if kept := d.idle[address]; len(kept) > 0 && !fresh {
		d.idle[address] = kept[1:]
		return kept[0], nil
	}
	opened, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

func (d *defectiveRouter) release(address string, conn *idleConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.idle[address] = append(d.idle[address], conn)
}

// ServeHTTP carries one request.
func (d *defectiveRouter) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(request.URL.Path, "/")
	repeats, ran := parts[2] == "safe" || parts[2] == "resumable" || d.defects.resend, false
	went := map[string]bool{}
	for range 3 {
		response, text, sent := d.attempt(request, parts[1], body, went)
		if response != nil {
			d.relay(writer, response, text)
			return
		}
		if ran = ran || sent; ran && !repeats {
			break
		}
	}
	status := http.StatusServiceUnavailable
	if ran && !d.defects.falseRejection {
		status = http.StatusBadGateway
	}
	writer.WriteHeader(status)
}

func (d *defectiveRouter) relay(writer http.ResponseWriter, response *http.Response, text []byte) {
	for _, name := range []string{upstream.AttemptIDHeader, upstream.SealHeader} {
		if value := response.Header.Get(name); value != "" && !(d.defects.dropSeal && name == upstream.SealHeader) {
			writer.Header().Set(name, value)
		}
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(text)
}

// attempt sends a request to a runner; it tells whether it may have run there.
func (d *defectiveRouter) attempt(request *http.Request, service string, body []byte, went map[string]bool) (*http.Response, []byte, bool) {
	var open []discovery.Runner
	for _, runner := range d.endpoints.Load().Runners {
		if string(runner.Service) == service {
			open = append(open, runner)
		}
	}
	if len(open) == 0 {
		return nil, nil, false
	}
	runner := open[int(d.next.Add(1))%len(open)]
	address := string(runner.Address)
	conn, err := d.acquire(address, went)
	if err != nil {
		return nil, nil, false
	}
	span := 200 * clock.Millisecond
	if d.defects.reuseDirty {
		span = 3 * clock.Millisecond
	}
	type told struct {
		response *http.Response
		text     []byte
		err      error
	}
	heard := make(chan told, 1)
	go func() {
		response, text, err := d.exchange(conn, request, string(runner.ID), body)
		heard <- told{response, text, err}
	}()
	select {
	case <-d.top.Clock.After(span):
		if d.defects.reuseDirty {
			// The answer that is still to come is left in the connection.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			<-heard
			_ = conn.SetReadDeadline(time.Time{})
			d.release(address, conn)
		} else {
			_ = conn.Close()
		}
		return nil, nil, true
	case answer := <-heard:
		refused := answer.response != nil && answer.response.Header.Get("Onyxwell-Not-Run") != ""
		if answer.err == nil && !answer.response.Close && (d.defects.matchByOrder || conn.reader.Buffered() == 0) {
			d.release(address, conn)
		} else {
			_ = conn.Close()
		}
		if answer.err != nil || refused {
			return nil, nil, !refused
		}
		return answer.response, answer.text, true
	}
}

// write sends a request; where that fails, it leaves the rest of a body once an answer
// has begun, and goes on with the connection.
func (d *defectiveRouter) write(conn *idleConn, heads string, body []byte) error {
	half := len(body)
	if d.defects.abandonBody {
		half /= 2
	}
	_, err := conn.Write(append([]byte(heads), body[:half]...))
	if err != nil || half == len(body) {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(time.Second / 100))
	_, early := conn.reader.Peek(1)
	_ = conn.SetReadDeadline(time.Time{})
	if early != nil {
		_, err = conn.Write(body[half:])
	}
	return err
}

func (d *defectiveRouter) exchange(conn *idleConn, request *http.Request, id string, body []byte) (*http.Response, []byte, error) {
	target, attempt := request.RequestURI, request.Header.Get(upstream.AttemptIDHeader)
	if d.defects.changeTarget {
		target = strings.Replace(target, "?of=", "?for=", 1)
	}
	heads := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", request.Method, target, request.Host, upstream.AttemptIDHeader, attempt)
	if !d.defects.noTarget {
		heads += fmt.Sprintf("%s: %s\r\n", upstream.TargetHeader, id)
	}
	if after := request.Header.Get(upstream.LastEventIDHeader); after != "" {
		heads += fmt.Sprintf("%s: %s\r\n", upstream.LastEventIDHeader, after)
	}
	if err := d.write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", heads, len(body)), body); err != nil {
		return nil, nil, err
	}
	response, err := http.ReadResponse(conn.reader, request)
	for err == nil && response.StatusCode < 200 {
		response, err = http.ReadResponse(conn.reader, request)
	}
	if err != nil {
		return nil, nil, err
	}
	text, err := io.ReadAll(response.Body)
	wrong := !d.defects.matchByOrder && !d.defects.reuseDirty && response.Header.Get(upstream.AttemptIDHeader) != attempt
	refused := response.Header.Get("Onyxwell-Not-Run") != ""
	lies := response.StatusCode == 429 || response.StatusCode == 503 || response.StatusCode == 408
	bare := response.StatusCode == 200 && (response.Header.Get(upstream.SealHeader) == "" || response.Header.Get("Content-Encoding") != "")
	if wrong || bare || (lies && !refused && !d.defects.trustRejection) {
		return nil, nil, fmt.Errorf("no answer to this request")
	}
	if err != nil && !d.defects.cutAsWhole {
		return nil, nil, err
	}
	return response, text, nil
}

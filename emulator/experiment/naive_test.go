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

// errs are what can be wrong with a naive router.
type errs struct {
	byOrder, resend, promise, dirty, cutAsWhole, noTarget, otherPath, noSeal, again, abandon, believe bool
}

// naive is a small router of its own, right but for its errs: it shows that
// the experiment finds them, and that it finds nothing where nothing is wrong.
type naive struct {
	errs errs
	top  scope.Scope
	list atomic.Pointer[discovery.List]
	turn atomic.Int64
	mu   sync.Mutex
	kept map[string][]*keptConn
}

type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

func planted(errs errs) Build {
	return func(top scope.Scope, _ []byte, _ Options) Router {
		made := &naive{errs: errs, top: top, kept: map[string][]*keptConn{}}
		return Router{Handler: made, List: func(list discovery.List) { made.list.Store(&list) }}
	}
}

// take gives a kept connection, but none to an address where the attempt went
// before: a late answer to its first run may come there, under its own id.
func (n *naive) take(address string, went map[string]bool) (*keptConn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	fresh := went[address] && !n.errs.again
	went[address] = true
	if kept := n.kept[address]; len(kept) > 0 && !fresh {
		n.kept[address] = kept[1:]
		return kept[0], nil
	}
	opened, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &keptConn{Conn: opened, reader: bufio.NewReader(opened)}, nil
}

func (n *naive) keep(address string, conn *keptConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.kept[address] = append(n.kept[address], conn)
}

// ServeHTTP carries one request.
func (n *naive) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	parts := strings.Split(request.URL.Path, "/")
	repeats, ran := parts[2] == "safe" || parts[2] == "resumable" || n.errs.resend, false
	went := map[string]bool{}
	for range 3 {
		response, text, sent := n.try(request, parts[1], body, went)
		if response != nil {
			n.pass(writer, response, text)
			return
		}
		if ran = ran || sent; ran && !repeats {
			break
		}
	}
	status := http.StatusServiceUnavailable
	if ran && !n.errs.promise {
		status = http.StatusBadGateway
	}
	writer.WriteHeader(status)
}

func (n *naive) pass(writer http.ResponseWriter, response *http.Response, text []byte) {
	for _, name := range []string{upstream.AttemptIDHeader, upstream.SealHeader} {
		if value := response.Header.Get(name); value != "" && !(n.errs.noSeal && name == upstream.SealHeader) {
			writer.Header().Set(name, value)
		}
	}
	writer.WriteHeader(response.StatusCode)
	_, _ = writer.Write(text)
}

// try sends a request to a runner; it tells whether it may have run there.
func (n *naive) try(request *http.Request, service string, body []byte, went map[string]bool) (*http.Response, []byte, bool) {
	var open []discovery.Runner
	for _, runner := range n.list.Load().Runners {
		if string(runner.Service) == service {
			open = append(open, runner)
		}
	}
	if len(open) == 0 {
		return nil, nil, false
	}
	runner := open[int(n.turn.Add(1))%len(open)]
	address := string(runner.Address)
	conn, err := n.take(address, went)
	if err != nil {
		return nil, nil, false
	}
	span := 200 * clock.Millisecond
	if n.errs.dirty {
		span = 3 * clock.Millisecond
	}
	type told struct {
		response *http.Response
		text     []byte
		err      error
	}
	heard := make(chan told, 1)
	go func() {
		response, text, err := n.exchange(conn, request, string(runner.ID), body)
		heard <- told{response, text, err}
	}()
	select {
	case <-n.top.Clock.After(span):
		if n.errs.dirty {
			// The answer that is still to come is left in the connection.
			_ = conn.SetReadDeadline(time.Unix(1, 0))
			<-heard
			_ = conn.SetReadDeadline(time.Time{})
			n.keep(address, conn)
		} else {
			_ = conn.Close()
		}
		return nil, nil, true
	case answer := <-heard:
		refused := answer.response != nil && answer.response.Header.Get("Onyxwell-Not-Run") != ""
		if answer.err == nil && !answer.response.Close && (n.errs.byOrder || conn.reader.Buffered() == 0) {
			n.keep(address, conn)
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
func (n *naive) write(conn *keptConn, heads string, body []byte) error {
	half := len(body)
	if n.errs.abandon {
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

func (n *naive) exchange(conn *keptConn, request *http.Request, id string, body []byte) (*http.Response, []byte, error) {
	target, attempt := request.RequestURI, request.Header.Get(upstream.AttemptIDHeader)
	if n.errs.otherPath {
		target = strings.Replace(target, "?of=", "?for=", 1)
	}
	heads := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", request.Method, target, request.Host, upstream.AttemptIDHeader, attempt)
	if !n.errs.noTarget {
		heads += fmt.Sprintf("%s: %s\r\n", upstream.TargetHeader, id)
	}
	if after := request.Header.Get(upstream.LastEventIDHeader); after != "" {
		heads += fmt.Sprintf("%s: %s\r\n", upstream.LastEventIDHeader, after)
	}
	if err := n.write(conn, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", heads, len(body)), body); err != nil {
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
	wrong := !n.errs.byOrder && !n.errs.dirty && response.Header.Get(upstream.AttemptIDHeader) != attempt
	refused := response.Header.Get("Onyxwell-Not-Run") != ""
	lies := response.StatusCode == 429 || response.StatusCode == 503 || response.StatusCode == 408
	bare := response.StatusCode == 200 && (response.Header.Get(upstream.SealHeader) == "" || response.Header.Get("Content-Encoding") != "")
	if wrong || bare || (lies && !refused && !n.errs.believe) {
		return nil, nil, fmt.Errorf("no answer to this request")
	}
	if err != nil && !n.errs.cutAsWhole {
		return nil, nil, err
	}
	return response, text, nil
}

package simulation

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

var (
	errDead        = errors.New("simulation: the process is dead")
	errConnReset   = errors.New("simulation: connection reset")
	errDiskRefused = errors.New("simulation: the disk refuses")
)

// message is a call on its way over a link, and its answer on the way back.
type message struct {
	sender   *process // nil for those outside
	from     string
	to       ids.Address
	path     string
	request  *http.Request
	body     []byte
	response chan reply
	// abandoned says that the asker waits no longer.
	abandoned bool
	// left says that the asker has gone on, with an answer or without; leaving
	// is done when it does.
	mu             sync.Mutex
	callerDone     bool
	callerDoneHook func()
}

type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// Serve keeps a handler at an address until the scope ends.
func (p *process) Serve(ctx scope.Scope, address ids.Address, handler http.Handler, _ *httpcall.Traffic) error {
	world := p.machine.cluster
	world.afterQuiet(0, func() { p.handlers[address] = handler })
	<-ctx.Done()
	world.afterQuiet(0, func() { delete(p.handlers, address) })
	return nil
}

// Client makes a client whose calls go over the simulated links.
func (p *process) Client(pooling httpcall.ClientOptions) *http.Client {
	return &http.Client{
		Transport:     roundTripper{process: p, dialer: pooling.Dialer},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// roundTripper gives up on what is silent as connections do.
type roundTripper struct {
	process *process
	dialer  httpcall.Dialer
}

// RoundTrip carries a call and its answer.
func (r roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	life, world := r.process, r.process.machine.cluster
	reset := make(chan struct{}, 2)
	end := func() { reset <- struct{}{} }
	silence := life.machine.timer(r.dialer.UserTimeout, end)
	defer world.cancel(silence)
	world.afterQuiet(0, func() {
		if target, _ := world.resolve(ids.Address(request.URL.Host)); target != nil && (target.poweredOff || target.removed) {
			life.machine.timer(r.dialer.Timeout, end)
		}
	})
	return world.roundTrip(life, life.machine.name, request, reset)
}

// roundTrip sends a call from a place and waits for its answer, or until the
// connection is reset.
func (c *Cluster) roundTrip(sender *process, from string, request *http.Request, reset <-chan struct{}) (*http.Response, error) {
	if sender != nil && sender.isDead() {
		return nil, errDead
	}
	sent := &message{
		sender: sender, from: from, to: ids.Address(request.URL.Host), path: request.URL.Path, request: request, body: readBody(request),
		response: make(chan reply, 1),
	}
	defer sent.notifyCallerDone()
	c.count("messages")
	var dead chan struct{}
	if sender != nil {
		dead = sender.dead
	}
	if forged, done := c.interceptRequest(sent); done {
		return forged.httpResponse(request), forged.err
	}
	c.after(c.latency(from, sent.to), func() { c.deliverRequest(sent) })
	select {
	case got := <-sent.response:
		if got.err != nil {
			return nil, got.err
		}
		return got.httpResponse(request), nil
	case <-request.Context().Done():
		c.afterQuiet(0, func() { sent.abandoned = true })
		return nil, request.Context().Err()
	case <-reset:
		c.afterQuiet(0, func() { sent.abandoned = true })
		return nil, errConnReset
	case <-dead:
		return nil, errDead
	}
}

func (r reply) httpResponse(request *http.Request) *http.Response {
	if r.err != nil {
		return nil
	}
	return &http.Response{
		StatusCode: r.status, Header: r.header, Body: io.NopCloser(bytes.NewReader(r.body)), ContentLength: int64(len(r.body)),
		Request: request, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// deliverRequest brings a call to its machine; what a cut holds up comes when it heals,
// also when its asker has given up since.
func (c *Cluster) deliverRequest(sent *message) {
	target, standing := c.resolve(sent.to)
	if standing == platformHost {
		c.answerPlatform(sent)
		return
	}
	if target == nil || target.poweredOff || target.removed {
		return
	}
	if link := c.link(sent.from, target.name); link.cut {
		link.queued = append(link.queued, func() { c.deliverRequest(sent) })
		return
	}
	target.deliver(func() { c.serveRequest(target, sent) })
}

func (c *Cluster) serveRequest(target *Machine, sent *message) {
	here := target.process
	var handler http.Handler
	if here != nil {
		handler = here.handlers[sent.to]
	}
	if handler == nil {
		c.sendReply(target, sent, reply{err: errConnReset})
		return
	}
	if sent.abandoned && c.drawOneIn("given "+sent.path, 2) {
		// The asker's reset came before the call was read.
		return
	}
	sent.markRead()
	inner, end := context.WithCancel(context.Background())
	sent.setCallerDoneHook(func() {
		c.after(c.latency(sent.from, sent.to), func() { target.deliver(end) })
	})
	request := sent.incomingRequest(inner)
	go func() {
		growStack(0)
		written := &responseRecorder{header: http.Header{}}
		handler.ServeHTTP(written, request)
		sent.setCallerDoneHook(nil)
		end()
		got := reply{status: written.status(), header: written.header, body: written.body}
		if here.isDead() {
			got = reply{err: errConnReset}
		}
		c.afterQuiet(0, func() { c.sendReply(target, sent, got) })
	}()
}

// sendReply carries an answer to whoever asked.
func (c *Cluster) sendReply(target *Machine, sent *message, got reply) {
	got = c.interceptReply(target, sent, got)
	sent.recordReply(got, c.now())
	if c.losesReply(target, sent) {
		c.count("answers lost")
		return
	}
	c.after(c.latency(target.name, sent.to), func() {
		link := c.link(target.name, sent.from)
		if link.cut {
			link.queued = append(link.queued, func() { c.deliverReply(sent, got) })
			return
		}
		c.deliverReply(sent, got)
	})
}

func (c *Cluster) deliverReply(sent *message, got reply) {
	if sent.sender == nil {
		sent.response <- got
		return
	}
	sent.sender.machine.deliver(func() { sent.response <- got })
}

func hostOf(address ids.Address) string {
	host, _, _ := strings.Cut(string(address), ":")
	return host
}

// latency is how long a way takes: by how far apart the places are, with some
// spread, and now and then as long as a lost packet takes to be sent again.
func (c *Cluster) latency(from string, to ids.Address) clock.Span {
	target, _ := c.resolve(to)
	span := c.baseLatency(from, target)
	span += c.drawBetween("latency "+from+string(to), 0, span/4+clock.Millisecond)
	if c.drawOneIn("packet "+from+string(to), 200) {
		span += 200 * clock.Millisecond
	}
	return span
}

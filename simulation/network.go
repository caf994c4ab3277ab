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
	errDead    = errors.New("simulation: the process is dead")
	errReset   = errors.New("simulation: connection reset")
	errRefused = errors.New("simulation: the disk refuses")
)

// message is a call on its way over a link, and its answer on the way back.
type message struct {
	sender  *life // nil for those outside
	from    string
	to      ids.Address
	path    string
	request *http.Request
	body    []byte
	answer  chan answered
	// given says that the asker waits no longer.
	given bool
	// left says that the asker has gone on, with an answer or without; leaving
	// is done when it does.
	mu      sync.Mutex
	left    bool
	leaving func()
}

type answered struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// Serve keeps a handler at an address until the scope ends.
func (l *life) Serve(ctx scope.Scope, address ids.Address, handler http.Handler, _ *httpcall.Traffic) error {
	world := l.machine.world
	world.quietly(0, func() { l.handlers[address] = handler })
	<-ctx.Done()
	world.quietly(0, func() { delete(l.handlers, address) })
	return nil
}

// Client makes a client whose calls go over the simulated links.
func (l *life) Client(pooling httpcall.ClientOptions) *http.Client {
	return &http.Client{
		Transport:     dialer{life: l, dialing: pooling.Dialer},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// dialer gives up on what is silent as connections do.
type dialer struct {
	life    *life
	dialing httpcall.Dialer
}

// RoundTrip carries a call and its answer.
func (d dialer) RoundTrip(request *http.Request) (*http.Response, error) {
	life, world := d.life, d.life.machine.world
	reset := make(chan struct{}, 2)
	end := func() { reset <- struct{}{} }
	silence := life.machine.timer(d.dialing.UserTimeout, end)
	defer world.forget(silence)
	world.quietly(0, func() {
		if target, _ := world.at(ids.Address(request.URL.Host)); target != nil && (target.dark || target.gone) {
			life.machine.timer(d.dialing.Timeout, end)
		}
	})
	return world.carry(life, life.machine.name, request, reset)
}

// carry sends a call from a place and waits for its answer, or until the
// connection is reset.
func (w *World) carry(sender *life, from string, request *http.Request, reset <-chan struct{}) (*http.Response, error) {
	if sender != nil && sender.over() {
		return nil, errDead
	}
	sent := &message{
		sender: sender, from: from, to: ids.Address(request.URL.Host), path: request.URL.Path, request: request, body: bodyOf(request),
		answer: make(chan answered, 1),
	}
	defer sent.leave()
	w.count("messages")
	var dead chan struct{}
	if sender != nil {
		dead = sender.dead
	}
	if forged, done := w.tamper(sent); done {
		return forged.response(request), forged.err
	}
	w.after(w.latency(from, sent.to), func() { w.arrive(sent) })
	select {
	case got := <-sent.answer:
		if got.err != nil {
			return nil, got.err
		}
		return got.response(request), nil
	case <-request.Context().Done():
		w.quietly(0, func() { sent.given = true })
		return nil, request.Context().Err()
	case <-reset:
		w.quietly(0, func() { sent.given = true })
		return nil, errReset
	case <-dead:
		return nil, errDead
	}
}

func (a answered) response(request *http.Request) *http.Response {
	if a.err != nil {
		return nil
	}
	return &http.Response{
		StatusCode: a.status, Header: a.header, Body: io.NopCloser(bytes.NewReader(a.body)), ContentLength: int64(len(a.body)),
		Request: request, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// arrive brings a call to its machine; what a cut holds up comes when it heals,
// also when its asker has given up since.
func (w *World) arrive(sent *message) {
	target, standing := w.at(sent.to)
	if standing == platform {
		w.platform(sent)
		return
	}
	if target == nil || target.dark || target.gone {
		return
	}
	if link := w.link(sent.from, target.name); link.cut {
		link.held = append(link.held, func() { w.arrive(sent) })
		return
	}
	target.deliver(func() { w.serve(target, sent) })
}

func (w *World) serve(target *Machine, sent *message) {
	here := target.life
	var handler http.Handler
	if here != nil {
		handler = here.handlers[sent.to]
	}
	if handler == nil {
		w.back(target, sent, answered{err: errReset})
		return
	}
	if sent.given && w.once("given "+sent.path, 2) {
		// The asker's reset came before the call was read.
		return
	}
	sent.arrives()
	inner, end := context.WithCancel(context.Background())
	sent.onLeave(func() {
		w.after(w.latency(sent.from, sent.to), func() { target.deliver(end) })
	})
	request := sent.arrived(inner)
	go func() {
		deepen(0)
		written := &recorder{header: http.Header{}}
		handler.ServeHTTP(written, request)
		sent.onLeave(nil)
		end()
		got := answered{status: written.status(), header: written.header, body: written.body}
		if here.over() {
			got = answered{err: errReset}
		}
		w.quietly(0, func() { w.back(target, sent, got) })
	}()
}

// back carries an answer to whoever asked.
func (w *World) back(target *Machine, sent *message, got answered) {
	got = w.twist(target, sent, got)
	sent.told(got, w.now())
	if w.answerLost(target, sent) {
		w.count("answers lost")
		return
	}
	w.after(w.latency(target.name, sent.to), func() {
		link := w.link(target.name, sent.from)
		if link.cut {
			link.held = append(link.held, func() { w.hand(sent, got) })
			return
		}
		w.hand(sent, got)
	})
}

func (w *World) hand(sent *message, got answered) {
	if sent.sender == nil {
		sent.answer <- got
		return
	}
	sent.sender.machine.deliver(func() { sent.answer <- got })
}

func hostOf(address ids.Address) string {
	host, _, _ := strings.Cut(string(address), ":")
	return host
}

// latency is how long a way takes: by how far apart the places are, with some
// spread, and now and then as long as a lost packet takes to be sent again.
func (w *World) latency(from string, to ids.Address) clock.Span {
	target, _ := w.at(to)
	span := w.distance(from, target)
	span += w.between("latency "+from+string(to), 0, span/4+clock.Millisecond)
	if w.once("packet "+from+string(to), 200) {
		span += 200 * clock.Millisecond
	}
	return span
}

package simulation

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

// Errors that simulated processes see.
var (
	errDead        = errors.New("simulation: the process is dead")
	errConnReset   = errors.New("simulation: connection reset")
	errDiskRefused = errors.New("simulation: the disk refuses")
)

// Serve implements daemon.Network.
func (p *process) Serve(ctx context.Context, address ids.Address, handler http.Handler, _ *httpcall.Traffic) error {
	cluster := p.machine.cluster
	cluster.afterQuiet(0, func() { p.handlers[address] = handler })
	<-ctx.Done()
	cluster.afterQuiet(0, func() { delete(p.handlers, address) })
	return nil
}

// Client implements daemon.Network.
func (p *process) Client(options httpcall.ClientOptions) *http.Client {
	return &http.Client{
		Transport:     roundTripper{process: p, dialer: options.Dialer},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// roundTripper carries the calls of a process. It resets a connection on which
// nothing is heard, as the dialer's time-outs have TCP do.
type roundTripper struct {
	process *process
	dialer  httpcall.Dialer
}

// RoundTrip implements http.RoundTripper.
func (r roundTripper) RoundTrip(req *http.Request) (*http.Response, error) {
	machine, cluster := r.process.machine, r.process.machine.cluster
	reset := make(chan struct{}, 2)
	resetConn := func() { reset <- struct{}{} }
	userTimeout := machine.timer(r.dialer.UserTimeout, resetConn)
	defer cluster.cancel(userTimeout)
	cluster.afterQuiet(0, func() {
		if target := cluster.resolve(ids.Address(req.URL.Host)); target != nil && (target.poweredOff || target.removed) {
			machine.timer(r.dialer.Timeout, resetConn)
		}
	})
	return cluster.roundTrip(r.process, machine.name, req, reset)
}

// roundTrip sends a call from a host and waits for its reply, or until the call
// ends, the connection is reset or the sender is killed. Clients have no process.
func (c *Cluster) roundTrip(sender *process, from string, req *http.Request, reset <-chan struct{}) (*http.Response, error) {
	if sender != nil && sender.isDead() {
		return nil, errDead
	}
	sent := &message{
		sender: sender, from: from, to: ids.Address(req.URL.Host), path: req.URL.Path, request: req, body: readBody(req),
		response: make(chan reply, 1),
	}
	defer sent.notifyCallerDone()
	c.count("messages")
	var senderDead chan struct{}
	if sender != nil {
		senderDead = sender.dead
	}
	if forged, ok := c.interceptRequest(sent); ok {
		return forged.httpResponse(req), forged.err
	}
	c.after(c.latency(from, sent.to), func() { c.deliverRequest(sent) })
	select {
	case resp := <-sent.response:
		return resp.httpResponse(req), resp.err
	case <-req.Context().Done():
		c.afterQuiet(0, func() { sent.abandoned = true })
		return nil, req.Context().Err()
	case <-reset:
		c.afterQuiet(0, func() { sent.abandoned = true })
		return nil, errConnReset
	case <-senderDead:
		return nil, errDead
	}
}

// httpResponse returns the reply as the caller sees it; nil with an error.
func (r reply) httpResponse(req *http.Request) *http.Response {
	if r.err != nil {
		return nil
	}
	return &http.Response{
		StatusCode: r.status, Header: r.header, Body: io.NopCloser(bytes.NewReader(r.body)), ContentLength: int64(len(r.body)),
		Request: req, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// deliverRequest brings a call to its machine. A call on a link that is cut
// arrives when that heals, though its caller may have given up by then.
func (c *Cluster) deliverRequest(sent *message) {
	if sent.to == platformAddress {
		c.answerPlatform(sent)
		return
	}
	target := c.resolve(sent.to)
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
	process := target.process
	var handler http.Handler
	if process != nil {
		handler = process.handlers[sent.to]
	}
	if handler == nil {
		c.sendReply(target, sent, reply{err: errConnReset})
		return
	}
	if sent.abandoned && c.drawOneIn("given "+sent.path, 2) {
		// The caller's reset came before the call was read.
		return
	}
	sent.markReceived()
	ctx, cancel := context.WithCancel(context.Background())
	sent.setCallerDoneHook(func() {
		c.after(c.latency(sent.from, sent.to), func() { target.deliver(cancel) })
	})
	req := sent.incomingRequest(ctx)
	go func() {
		growStack(0)
		recorder := &responseRecorder{header: http.Header{}}
		handler.ServeHTTP(recorder, req)
		sent.setCallerDoneHook(nil)
		cancel()
		resp := recorder.reply()
		if process.isDead() {
			resp = reply{err: errConnReset}
		}
		c.afterQuiet(0, func() { c.sendReply(target, sent, resp) })
	}()
}

// sendReply sends a reply back over the link.
func (c *Cluster) sendReply(target *Machine, sent *message, resp reply) {
	resp = c.interceptReply(target, sent, resp)
	sent.recordReply(resp, c.now())
	if c.losesReply(target, sent) {
		c.count("answers lost")
		return
	}
	c.after(c.latency(target.name, sent.to), func() {
		link := c.link(target.name, sent.from)
		if link.cut {
			link.queued = append(link.queued, func() { c.deliverReply(sent, resp) })
			return
		}
		c.deliverReply(sent, resp)
	})
}

func (c *Cluster) deliverReply(sent *message, resp reply) {
	if sent.sender == nil {
		sent.response <- resp
		return
	}
	sent.sender.machine.deliver(func() { sent.response <- resp })
}

// losesReply draws whether a reply to a client is lost.
func (c *Cluster) losesReply(target *Machine, sent *message) bool {
	return sent.sender == nil && c.replyLossRate > 0 && c.drawFraction("answer lost "+target.name) < c.replyLossRate
}

package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"onyxwell/base/clock"
	"onyxwell/emulator/piece"
)

const (
	readBufferSize = 4096
	// idleDelay is how long a connection is idle before unsolicited bytes come.
	idleDelay = 2 * time.Millisecond
	// maxResetBytes bounds how much of a body is read before ResetUnread.
	maxResetBytes = 64
)

// serverConn is a connection from a client. It serves one request at a time.
type serverConn struct {
	runner *Runner
	tcp    *net.TCPConn
	reader *bufio.Reader
	// lateBytes are written before the next response, idleBytes before the next
	// request has come.
	lateBytes []byte
	idleBytes []byte
}

func newServerConn(runner *Runner, tcp *net.TCPConn) *serverConn {
	return &serverConn{runner: runner, tcp: tcp, reader: bufio.NewReaderSize(tcp, readBufferSize)}
}

// reset closes the connection with a RST.
func (c *serverConn) reset() {
	_ = c.tcp.SetLinger(0)
	_ = c.tcp.Close()
}

// discardInput reads and discards until the client closes the connection, at most
// for MaxSilence.
func (c *serverConn) discardInput() {
	ctx, cancel := c.runner.withTimeout(c.runner.settings.MaxSilence)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, c.reader)
}

// serve serves requests until one of them ends the connection.
func (c *serverConn) serve() {
	defer c.runner.unregister(c)
	defer c.tcp.Close()
	for c.awaitRequest() {
		req, err := http.ReadRequest(c.reader)
		if err != nil || !c.handle(req) {
			return
		}
	}
}

// dropStrayBytes drops what an earlier fault left with the connection, once the
// runner's faults are stopped.
func (c *serverConn) dropStrayBytes() {
	if c.runner.faultsStopped.Load() {
		c.lateBytes, c.idleBytes = nil, nil
	}
}

// awaitRequest waits for the next request's first byte. It returns false where the
// connection ended or was idle for too long.
func (c *serverConn) awaitRequest() bool {
	c.dropStrayBytes()
	if c.idleBytes != nil {
		clock.Wait(c.runner.ctx, c.runner.clock, idleDelay)
		_, _ = c.tcp.Write(c.idleBytes)
		c.idleBytes = nil
	}
	ctx, cancel := c.runner.withTimeout(c.runner.settings.IdleTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.Close() })
	_, err := c.reader.Peek(1)
	return stop() && err == nil
}

// handle serves a request and reports whether the connection stays open.
func (c *serverConn) handle(httpReq *http.Request) bool {
	c.dropStrayBytes()
	req := c.runner.newRequest(httpReq)
	if endpoint := c.runner.ownEndpoint(req); endpoint != nil {
		resp, err := endpoint(httpReq)
		if err == nil {
			_, err = c.tcp.Write(resp)
		}
		return err == nil && !httpReq.Close
	}
	if req.draw.has(ResetUnread) {
		c.runner.countFaults([]string{ResetUnread})
		_, _ = io.CopyN(io.Discard, httpReq.Body, int64(req.draw.IntN(maxResetBytes)))
		c.reset()
		return false
	}
	if req.respondsEarly() {
		return c.respond(req) && c.readLateBody(req) && !httpReq.Close
	}
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return false
	}
	req.body = body
	return c.respond(req) && !httpReq.Close
}

// readLateBody reads the body of a request that has its response already. It
// reports whether the body was complete.
func (c *serverConn) readLateBody(req *inboundRequest) bool {
	body, err := io.ReadAll(req.http.Body)
	if err != nil {
		return false
	}
	if c.runner.options.OnLateBody != nil && req.attemptID != "" {
		c.runner.options.OnLateBody(req.attemptID, piece.Hash(string(body)))
	}
	return true
}

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
func (s *serverConn) reset() {
	_ = s.tcp.SetLinger(0)
	_ = s.tcp.Close()
}

// discardInput reads and discards until the client closes the connection, at most
// for MaxSilence.
func (s *serverConn) discardInput() {
	ctx, cancel := s.runner.withTimeout(s.runner.settings.MaxSilence)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.tcp.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, s.reader)
}

// serve serves requests until one of them ends the connection.
func (s *serverConn) serve() {
	defer s.runner.unregister(s)
	defer s.tcp.Close()
	for s.awaitRequest() {
		req, err := http.ReadRequest(s.reader)
		if err != nil || !s.handle(req) {
			return
		}
	}
}

// dropStrayBytes drops what an earlier fault left with the connection, once the
// runner's faults are stopped.
func (s *serverConn) dropStrayBytes() {
	if s.runner.faultsStopped.Load() {
		s.lateBytes, s.idleBytes = nil, nil
	}
}

// awaitRequest waits for the next request's first byte. It returns false where the
// connection ended or was idle for too long.
func (s *serverConn) awaitRequest() bool {
	s.dropStrayBytes()
	if s.idleBytes != nil {
		clock.Wait(s.runner.ctx, s.runner.clock, idleDelay)
		_, _ = s.tcp.Write(s.idleBytes)
		s.idleBytes = nil
	}
	ctx, cancel := s.runner.withTimeout(s.runner.settings.IdleTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.tcp.Close() })
	_, err := s.reader.Peek(1)
	return stop() && err == nil
}

// handle serves a request and reports whether the connection stays open.
func (s *serverConn) handle(httpReq *http.Request) bool {
	s.dropStrayBytes()
	req := s.runner.newRequest(httpReq)
	if endpoint := s.runner.ownEndpoint(req); endpoint != nil {
		resp, err := endpoint(httpReq)
		if err == nil {
			_, err = s.tcp.Write(resp)
		}
		return err == nil && !httpReq.Close
	}
	if req.draw.has(ResetUnread) {
		s.runner.countFaults([]string{ResetUnread})
		_, _ = io.CopyN(io.Discard, httpReq.Body, int64(req.draw.IntN(maxResetBytes)))
		s.reset()
		return false
	}
	if req.respondsEarly() {
		return s.respond(req) && s.readLateBody(req) && !httpReq.Close
	}
	body, err := io.ReadAll(httpReq.Body)
	if err != nil {
		return false
	}
	req.body = body
	return s.respond(req) && !httpReq.Close
}

// readLateBody reads the body of a request that has its response already. It
// reports whether the body was complete.
func (s *serverConn) readLateBody(req *inboundRequest) bool {
	body, err := io.ReadAll(req.http.Body)
	if err != nil {
		return false
	}
	if s.runner.options.OnLateBody != nil && req.attemptID != "" {
		s.runner.options.OnLateBody(req.attemptID, piece.Hash(string(body)))
	}
	return true
}

package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

// serverConn is one connection; it serves one request at a time.
type serverConn struct {
	runner *Runner
	tcp    *net.TCPConn
	reader *bufio.Reader
	// lateBytes is written before the next answer, idle while no request is there.
	lateBytes []byte
	idleBytes []byte
}

func newServerConn(runner *Runner, conn *net.TCPConn) *serverConn {
	return &serverConn{runner: runner, tcp: conn, reader: bufio.NewReaderSize(conn, 4096)}
}

func (s *serverConn) reset() {
	_ = s.tcp.SetLinger(0)
	_ = s.tcp.Close()
}

// discardInput reads what comes and heeds none of it, until the caller closes.
func (s *serverConn) discardInput(span clock.Span) {
	limited, release := s.runner.options.Scope.WithTimeout(span)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = s.tcp.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, s.reader)
}

// idleDelay is how long a connection is idle before loose bytes come.
const idleDelay = 2 * clock.Millisecond

// awaitRequest waits for the next request's first byte.
func (s *serverConn) awaitRequest() bool {
	if s.idleBytes != nil {
		s.runner.options.Scope.Wait(idleDelay)
		_, _ = s.tcp.Write(s.idleBytes)
		s.idleBytes = nil
	}
	limited, release := s.runner.options.Scope.WithTimeout(s.runner.settings.IdleTimeout)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = s.tcp.Close() })
	_, err := s.reader.Peek(1)
	return stop() && err == nil
}

func (s *serverConn) serve() {
	defer s.runner.unregister(s)
	defer s.tcp.Close()
	for s.awaitRequest() {
		request, err := http.ReadRequest(s.reader)
		if err != nil {
			return
		}
		if !s.handle(request) {
			return
		}
	}
}

// handle serves one request and tells whether the connection goes on.
func (s *serverConn) handle(request *http.Request) bool {
	attempt := request.Header.Get(upstream.AttemptIDHeader)
	own := map[string]func(*http.Request) ([]byte, error){
		s.runner.settings.HealthPath: s.runner.serveHealth,
		"/report":                    s.runner.serveReport,
	}[request.URL.Path]
	if own != nil && attempt == "" && request.Method == http.MethodGet {
		told, err := own(request)
		if err == nil {
			_, err = s.tcp.Write(told)
		}
		return err == nil && !request.Close
	}
	drawn := s.runner.settings.Faults.draw(s.runner.settings.Seed, s.runner.settings.ID, attempt)
	if drawn.faults[ResetUnread] {
		s.runner.countFaults([]string{ResetUnread})
		_, _ = io.CopyN(io.Discard, request.Body, int64(drawn.IntN(64)))
		s.reset()
		return false
	}
	asked := inboundRequest{request: request, attemptID: attempt, faults: drawn, timeout: timeLeft(request)}
	early := drawn.faults[EarlyAnswer]
	if !early {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return false
		}
		asked.body = body
	}
	open := s.serveRequest(asked, early)
	if open && early {
		body, err := io.ReadAll(request.Body)
		open = err == nil
		if open && s.runner.options.OnLateBody != nil && attempt != "" {
			s.runner.options.OnLateBody(attempt, piece.Hash(string(body)))
		}
	}
	return open && !request.Close
}

// timeLeft is how long the client waits; what says nothing waits for a minute.
func timeLeft(request *http.Request) clock.Span {
	left, err := strconv.ParseFloat(request.Header.Get(upstream.TimeLeftHeader), 64)
	if err != nil || left <= 0 {
		return 60 * clock.Second
	}
	return settings.Milliseconds(left)
}

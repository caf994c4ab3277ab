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

// link is one connection; it serves one request at a time.
type link struct {
	runner *Runner
	conn   *net.TCPConn
	reader *bufio.Reader
	// late is written before the next answer, idle while no request is there.
	late []byte
	idle []byte
}

func newLink(runner *Runner, conn *net.TCPConn) *link {
	return &link{runner: runner, conn: conn, reader: bufio.NewReaderSize(conn, 4096)}
}

func (l *link) reset() {
	_ = l.conn.SetLinger(0)
	_ = l.conn.Close()
}

// drain reads what comes and heeds none of it, until the caller closes.
func (l *link) drain(span clock.Span) {
	limited, release := l.runner.options.Scope.WithTimeout(span)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = l.conn.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, l.reader)
}

// pause is how long a connection is idle before loose bytes come.
const pause = 2 * clock.Millisecond

// await waits for the next request's first byte.
func (l *link) await() bool {
	if l.idle != nil {
		l.runner.options.Scope.Wait(pause)
		_, _ = l.conn.Write(l.idle)
		l.idle = nil
	}
	limited, release := l.runner.options.Scope.WithTimeout(l.runner.settings.KeepIdle)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = l.conn.Close() })
	_, err := l.reader.Peek(1)
	return stop() && err == nil
}

func (l *link) serve() {
	defer l.runner.leave(l)
	defer l.conn.Close()
	for l.await() {
		request, err := http.ReadRequest(l.reader)
		if err != nil {
			return
		}
		if !l.answer(request) {
			return
		}
	}
}

// answer serves one request and tells whether the connection goes on.
func (l *link) answer(request *http.Request) bool {
	attempt := request.Header.Get(upstream.AttemptIDHeader)
	own := map[string]func(*http.Request) ([]byte, error){
		l.runner.settings.Health: l.runner.health,
		"/report":                l.runner.report,
	}[request.URL.Path]
	if own != nil && attempt == "" && request.Method == http.MethodGet {
		told, err := own(request)
		if err == nil {
			_, err = l.conn.Write(told)
		}
		return err == nil && !request.Close
	}
	drawn := l.runner.settings.Mix.draw(l.runner.settings.Seed, l.runner.settings.ID, attempt)
	if drawn.met[ResetUnread] {
		l.runner.count([]string{ResetUnread})
		_, _ = io.CopyN(io.Discard, request.Body, int64(drawn.IntN(64)))
		l.reset()
		return false
	}
	asked := asking{request: request, attempt: attempt, drawn: drawn, limit: timeLeft(request)}
	early := drawn.met[EarlyAnswer]
	if !early {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return false
		}
		asked.body = body
	}
	open := l.play(asked, early)
	if open && early {
		body, err := io.ReadAll(request.Body)
		open = err == nil
		if open && l.runner.options.Rest != nil && attempt != "" {
			l.runner.options.Rest(attempt, piece.Hash(string(body)))
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

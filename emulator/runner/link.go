package runner

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/data/forward"
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

func (link *link) reset() {
	_ = link.conn.SetLinger(0)
	_ = link.conn.Close()
}

// drain reads what comes and heeds none of it, until the caller closes.
func (link *link) drain(span clock.Span) {
	limited, release := link.runner.options.Scope.WithLimit(span)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = link.conn.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, link.reader)
}

// pause is how long a connection is idle before loose bytes come.
const pause = 2 * clock.Millisecond

// await waits for the next request's first byte.
func (link *link) await() bool {
	if link.idle != nil {
		link.runner.options.Scope.Wait(pause)
		_, _ = link.conn.Write(link.idle)
		link.idle = nil
	}
	limited, release := link.runner.options.Scope.WithLimit(link.runner.settings.KeepIdle)
	defer release()
	stop := context.AfterFunc(limited, func() { _ = link.conn.Close() })
	_, err := link.reader.Peek(1)
	return stop() && err == nil
}

func (link *link) serve() {
	defer link.runner.leave(link)
	defer link.conn.Close()
	for link.await() {
		request, err := http.ReadRequest(link.reader)
		if err != nil {
			return
		}
		if !link.answer(request) {
			return
		}
	}
}

// answer serves one request and tells whether the connection goes on.
func (link *link) answer(request *http.Request) bool {
	attempt := request.Header.Get(forward.AttemptHeader)
	own := map[string]func(*http.Request) ([]byte, error){
		link.runner.settings.Health: link.runner.health,
		"/report":                   link.runner.report,
	}[request.URL.Path]
	if own != nil && attempt == "" && request.Method == http.MethodGet {
		told, err := own(request)
		if err == nil {
			_, err = link.conn.Write(told)
		}
		return err == nil && !request.Close
	}
	drawn := link.runner.settings.Mix.draw(link.runner.settings.Seed, link.runner.settings.ID, attempt)
	if drawn.met[ResetUnread] {
		link.runner.count([]string{ResetUnread})
		_, _ = io.CopyN(io.Discard, request.Body, int64(drawn.IntN(64)))
		link.reset()
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
	open := link.play(asked, early)
	if open && early {
		body, err := io.ReadAll(request.Body)
		open = err == nil
		if open && link.runner.options.Rest != nil && attempt != "" {
			link.runner.options.Rest(attempt, piece.Hash(string(body)))
		}
	}
	return open && !request.Close
}

// timeLeft is how long the client waits; what says nothing waits for a minute.
func timeLeft(request *http.Request) clock.Span {
	left, err := strconv.ParseFloat(request.Header.Get(forward.LeftHeader), 64)
	if err != nil || left <= 0 {
		return 60 * clock.Second
	}
	return boot.Milliseconds(left)
}

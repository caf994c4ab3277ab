package simulation

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"

	"onyxwell/base/ids"
)

// message is a call on its way over a link, and its reply on the way back.
type message struct {
	// sender is nil for calls of clients.
	sender   *process
	from     string
	to       ids.Address
	path     string
	request  *http.Request
	body     []byte
	response chan reply
	// abandoned says that the caller no longer waits. It changes in events.
	abandoned bool

	// mu guards what follows: callerDone says that the caller has gone on, with a
	// reply or without, which runs the callerDoneHook.
	mu             sync.Mutex
	callerDone     bool
	callerDoneHook func()
}

// reply is a response on its way, or the failure of the connection.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// incomingRequest returns the request as the handler sees it.
func (m *message) incomingRequest(ctx context.Context) *http.Request {
	url := *m.request.URL
	req := &http.Request{
		Method: m.request.Method, URL: &url, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: m.request.Header.Clone(), Body: io.NopCloser(bytes.NewReader(m.body)), ContentLength: int64(len(m.body)),
		Host: string(m.to), RemoteAddr: "192.0.2.1:1234", RequestURI: url.RequestURI(),
	}
	return req.WithContext(ctx)
}

// readBody reads the body of an outgoing request.
func readBody(req *http.Request) []byte {
	if req.Body == nil {
		return nil
	}
	defer req.Body.Close()
	var body bytes.Buffer
	body.Grow(int(max(0, req.ContentLength)) + bytes.MinRead)
	_, _ = body.ReadFrom(req.Body)
	return body.Bytes()
}

// notifyCallerDone runs the hook, now or as soon as there is one.
func (m *message) notifyCallerDone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerDone = true
	if m.callerDoneHook != nil {
		go m.callerDoneHook()
	}
}

// setCallerDoneHook sets what runs when the caller goes on; nil for nothing.
func (m *message) setCallerDoneHook(hook func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerDoneHook = hook
	if m.callerDone && hook != nil {
		go hook()
	}
}

// responseRecorder is an http.ResponseWriter that keeps what is written.
type responseRecorder struct {
	header http.Header
	status int
	body   []byte
}

// Header implements http.ResponseWriter.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *responseRecorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *responseRecorder) Write(part []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, part...)
	return len(part), nil
}

// reply returns what was written.
func (r *responseRecorder) reply() reply {
	r.WriteHeader(http.StatusOK)
	return reply{status: r.status, header: r.header, body: r.body}
}

// callStackBytes is how deep the stack of a call's goroutine usually gets.
const callStackBytes = 6 << 10

// growStack has a goroutine's stack grow at once, while there is little to copy,
// instead of by halves in the middle of its work.
//
//go:noinline
func growStack(index int) byte {
	var space [callStackBytes]byte
	return space[index%callStackBytes]
}

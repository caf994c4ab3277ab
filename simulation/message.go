package simulation

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// incomingRequest is the request as the one who serves it sees it.
func (m *message) incomingRequest(inner context.Context) *http.Request {
	place := *m.request.URL
	made := &http.Request{
		Method: m.request.Method, URL: &place, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: m.request.Header.Clone(), Body: io.NopCloser(bytes.NewReader(m.body)), ContentLength: int64(len(m.body)),
		Host: string(m.to), RemoteAddr: "192.0.2.1:1234", RequestURI: place.RequestURI(),
	}
	return made.WithContext(inner)
}

// readBody reads what a call carries.
func readBody(request *http.Request) []byte {
	if request.Body == nil {
		return nil
	}
	defer request.Body.Close()
	var body bytes.Buffer
	body.Grow(int(max(0, request.ContentLength)) + bytes.MinRead)
	_, _ = body.ReadFrom(request.Body)
	return body.Bytes()
}

// notifyCallerDone has what waits for the asker's leaving happen.
func (m *message) notifyCallerDone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerDone = true
	if m.callerDoneHook != nil {
		go m.callerDoneHook()
	}
}

// setCallerDoneHook has something happen when the asker goes on; nil takes it back.
func (m *message) setCallerDoneHook(act func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callerDoneHook = act
	if m.callerDone && act != nil {
		go act()
	}
}

// responseRecorder keeps what a handler answers.
type responseRecorder struct {
	header http.Header
	code   int
	body   []byte
}

// Header gives the header that is sent.
func (r *responseRecorder) Header() http.Header { return r.header }

// WriteHeader keeps the first status.
func (r *responseRecorder) WriteHeader(status int) {
	if r.code == 0 {
		r.code = status
	}
}

// Write keeps a part of the body.
func (r *responseRecorder) Write(part []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, part...)
	return len(part), nil
}

func (r *responseRecorder) status() int {
	if r.code == 0 {
		return http.StatusOK
	}
	return r.code
}

// callStackBytes is how deep the stack of a call's goroutine gets as a rule.
const callStackBytes = 6 << 10

// growStack has a goroutine's stack grow at once, while there is little to copy,
// and not by halves in the middle of its work.
//
//go:noinline
func growStack(index int) byte {
	var space [callStackBytes]byte
	return space[index%callStackBytes]
}

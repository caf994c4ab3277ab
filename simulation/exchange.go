package simulation

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// arrived is the request as the one who serves it sees it.
func (m *message) arrived(inner context.Context) *http.Request {
	place := *m.request.URL
	made := &http.Request{
		Method: m.request.Method, URL: &place, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: m.request.Header.Clone(), Body: io.NopCloser(bytes.NewReader(m.body)), ContentLength: int64(len(m.body)),
		Host: string(m.to), RemoteAddr: "192.0.2.1:1234", RequestURI: place.RequestURI(),
	}
	return made.WithContext(inner)
}

// bodyOf reads what a call carries.
func bodyOf(request *http.Request) []byte {
	if request.Body == nil {
		return nil
	}
	defer request.Body.Close()
	var body bytes.Buffer
	body.Grow(int(max(0, request.ContentLength)) + bytes.MinRead)
	_, _ = body.ReadFrom(request.Body)
	return body.Bytes()
}

// leave has what waits for the asker's leaving happen.
func (m *message) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left = true
	if m.leaving != nil {
		go m.leaving()
	}
}

// onLeave has something happen when the asker goes on; nil takes it back.
func (m *message) onLeave(act func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = act
	if m.left && act != nil {
		go act()
	}
}

// recorder keeps what a handler answers.
type recorder struct {
	header http.Header
	code   int
	body   []byte
}

// Header gives the header that is sent.
func (r *recorder) Header() http.Header { return r.header }

// WriteHeader keeps the first status.
func (r *recorder) WriteHeader(status int) {
	if r.code == 0 {
		r.code = status
	}
}

// Write keeps a part of the body.
func (r *recorder) Write(part []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.body = append(r.body, part...)
	return len(part), nil
}

func (r *recorder) status() int {
	if r.code == 0 {
		return http.StatusOK
	}
	return r.code
}

// room is how deep the stack of a call's goroutine gets as a rule.
const room = 6 << 10

// deepen has a goroutine's stack grow at once, while there is little to copy,
// and not by halves in the middle of its work.
//
//go:noinline
func deepen(index int) byte {
	var space [room]byte
	return space[index%room]
}

package httpcall

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
)

// Incoming is a call as it arrived: its tail is what follows a path that ends
// with a slash in the table.
type Incoming struct {
	Request *http.Request
	Tail    string
	Body    []byte
}

// RequestReader is read from a call.
type RequestReader interface{ Read(incoming Incoming) error }

// Responder makes the reply to a call.
type Responder interface{ Reply() response.Response }

// Gate stands before the calls of a table: it looks at each body before it is
// read, and is told of each call that was refused unread.
type Gate interface {
	Enter(body []byte) ([]byte, error)
	Rejected(inner scope.Scope, sender string, err error)
}

// Mux holds the calls that a daemon serves.
type Mux struct {
	Scope     scope.Scope
	BodyLimit int64
	// Gate may be left out.
	Gate Gate
	// Bodies bounds what bodies take together; it may be left out, and several
	// tables may share it.
	Bodies *memquota.Quota
	// Metrics count the calls; they may be left out.
	Metrics  *telemetry.Metrics
	handlers map[string]func(scope.Scope, Incoming) response.Response
}

// NewMux makes an empty table.
func NewMux(top scope.Scope, bodyLimit int64) *Mux {
	return &Mux{Scope: top, BodyLimit: bodyLimit, handlers: map[string]func(scope.Scope, Incoming) response.Response{}}
}

// Handle adds a pair of question and answer to the table. A path that ends
// with a slash takes all that begins with it.
func Handle[Asked any, Pointer interface {
	*Asked
	RequestReader
}, Told Responder](table *Mux, method string, path string, serve func(scope.Scope, Asked) (Told, error)) {
	table.handlers[method+" "+path] = func(ctx scope.Scope, incoming Incoming) response.Response {
		var asked Asked
		if err := Pointer(&asked).Read(incoming); err != nil {
			return table.reject(incoming.Request, err)
		}
		told, err := serve(ctx, asked)
		if err != nil {
			return response.FromError(err)
		}
		return told.Reply()
	}
}

// ServeHTTP finds the call in the table and answers it.
func (m *Mux) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	serve, tail := m.handlers[request.Method+" "+path], ""
	if serve == nil {
		cut := strings.LastIndexByte(path, '/') + 1
		serve, tail = m.handlers[request.Method+" "+path[:cut]], path[cut:]
	}
	if serve == nil {
		m.reject(request, errkind.Errorf(errkind.UnknownCall, "%s %s", request.Method, path)).Send(writer)
		return
	}
	held := m.Bodies.NewBody()
	defer held.Release()
	if err := m.readBody(writer, request, held); err != nil {
		m.reject(request, bodyError(err)).Send(writer)
		return
	}
	body, err := held.Bytes, error(nil)
	if m.Gate != nil {
		if body, err = m.Gate.Enter(body); err != nil {
			m.reject(request, err).Send(writer)
			return
		}
	}
	ctx := m.Scope.WithContext(request.Context())
	begin := ctx.Now()
	answer := serve(ctx, Incoming{Request: request, Tail: tail, Body: body})
	m.Metrics.Call(request.Method+" "+path[:len(path)-len(tail)], strconv.Itoa(answer.Status), ctx.Now().Since(begin))
	answer.Send(writer)
}

// bodyTimeout is how long a body may take from the end of its head: some times as
// long as the largest one takes on the slowest link.
const bodyTimeout = 10 * clock.Second

// readBody takes a call's body in.
func (m *Mux) readBody(writer http.ResponseWriter, request *http.Request, held *memquota.Body) error {
	if request.ContentLength == 0 {
		return nil
	}
	response.SetReadTimeout(writer, bodyTimeout)
	defer response.SetReadTimeout(writer, 0)
	return held.Read(http.MaxBytesReader(writer, request.Body, m.BodyLimit), request.ContentLength, m.BodyLimit)
}

// reject answers a call that was not read.
func (m *Mux) reject(request *http.Request, err error) response.Response {
	if m.Gate != nil {
		sender, _, _ := net.SplitHostPort(request.RemoteAddr)
		m.Gate.Rejected(m.Scope, sender, err)
	}
	return response.FromError(err)
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.Errorf(errkind.BodyTooLarge, "body: over %d bytes", large.Limit)
	}
	if errors.Is(err, memquota.ErrFull) {
		return errkind.Errorf(errkind.OutOfMemory, "")
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return errkind.Errorf(errkind.RequestTimeout, "body: not there within %v", bodyTimeout)
	}
	return errkind.Errorf(errkind.BadRequest, "body: it is not whole")
}

// NewServer makes an HTTP server for a handler with bounds on slow callers.
func NewServer(handler http.Handler, headWait clock.Span, idle clock.Span) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headWait, IdleTimeout: idle}
}

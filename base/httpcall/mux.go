package httpcall

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/telemetry"
)

// Incoming is a call as it was received, its body complete.
type Incoming struct {
	Request *http.Request
	// Tail is what follows the path that the handler is registered for, where that
	// ends with a slash.
	Tail string
	Body []byte
}

// RequestReader is a typed request that can be decoded.
type RequestReader interface {
	// Decode decodes the call into the receiver. An error rejects the call.
	Decode(incoming Incoming) error
}

// Responder is a typed response that can be encoded.
type Responder interface {
	// Response encodes the response.
	Response() response.Response
}

// Gate inspects calls before their handlers run.
type Gate interface {
	// Enter inspects a body and returns the one that is decoded in its place. An
	// error rejects the call.
	Enter(body []byte) ([]byte, error)
	// Rejected is called for each call that is rejected before its handler runs,
	// with the IP of the sender.
	Rejected(sender string, err error)
}

// handler serves a call whose body was read.
type handler func(ctx context.Context, incoming Incoming) response.Response

// registration is a handler with the largest body of its calls in bytes.
type registration struct {
	serve     handler
	bodyLimit int64
}

// Mux dispatches calls to handlers by method and path. Handlers are registered
// before it serves; it is safe for concurrent calls from then on.
type Mux struct {
	// Clock measures the calls for Metrics.
	Clock clock.Clock
	// BodyLimit is the largest body in bytes.
	BodyLimit int64
	// Gate may be nil.
	Gate Gate
	// Bodies bounds the memory of the bodies of all calls together. It may be nil,
	// and several muxes may share it.
	Bodies *memquota.Quota
	// Metrics count the calls; nil counts nothing.
	Metrics *telemetry.Metrics
	// Log is told of calls without a handler. It may be nil.
	Log      *log.Logger
	handlers map[string]registration
	unknown  unknownCalls
}

// NewMux returns a mux without handlers; see Mux for the arguments.
func NewMux(source clock.Clock, bodyLimit int64) *Mux {
	return &Mux{Clock: source, BodyLimit: bodyLimit, handlers: map[string]registration{}}
}

// Handle registers a handler for a method and a path. A path that ends with a
// slash matches every path with one more element; an exact match goes first. An
// error of serve is answered by response.FromError.
func Handle[Request any, Pointer interface {
	*Request
	RequestReader
}, Response Responder](mux *Mux, method string, path string, serve func(context.Context, Request) (Response, error)) {
	HandleLimited[Request, Pointer](mux, method, path, mux.BodyLimit, serve)
}

// HandleLimited is Handle for calls whose bodies have at most bodyLimit bytes, or BodyLimit
// if that is less.
func HandleLimited[Request any, Pointer interface {
	*Request
	RequestReader
}, Response Responder](mux *Mux, method string, path string, bodyLimit int64, serve func(context.Context, Request) (Response, error)) {
	handle := func(ctx context.Context, incoming Incoming) response.Response {
		var req Request
		if err := Pointer(&req).Decode(incoming); err != nil {
			return mux.reject(incoming.Request, err)
		}
		resp, err := serve(ctx, req)
		if err != nil {
			return response.FromError(err)
		}
		return resp.Response()
	}
	mux.handlers[method+" "+path] = registration{serve: handle, bodyLimit: min(bodyLimit, mux.BodyLimit)}
}

// find returns the registration for a call and the tail of the path, or false if no
// handler serves it.
func (m *Mux) find(method string, path string) (found registration, tail string, ok bool) {
	if found, ok := m.handlers[method+" "+path]; ok {
		return found, "", true
	}
	prefix := strings.LastIndexByte(path, '/') + 1
	found, ok = m.handlers[method+" "+path[:prefix]]
	return found, path[prefix:], ok
}

// ServeHTTP reads the body of a call and answers it through its handler.
func (m *Mux) ServeHTTP(writer http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	found, tail, ok := m.find(req.Method, path)
	if !ok {
		m.reportUnknown(req)
		m.reject(req, errkind.Errorf(errkind.UnknownCall, "%s %s", req.Method, path)).Send(writer)
		return
	}
	buffer := m.Bodies.NewBody()
	defer buffer.Release()
	if err := m.readBody(writer, req, buffer, found.bodyLimit); err != nil {
		m.reject(req, bodyError(err)).Send(writer)
		return
	}
	body := buffer.Bytes
	if m.Gate != nil {
		var err error
		if body, err = m.Gate.Enter(body); err != nil {
			m.reject(req, err).Send(writer)
			return
		}
	}
	start := m.Clock.Now()
	resp := found.serve(req.Context(), Incoming{Request: req, Tail: tail, Body: body})
	m.Metrics.ObserveCall(req.Method+" "+path[:len(path)-len(tail)], strconv.Itoa(resp.Status), m.Clock.Now().Since(start))
	resp.Send(writer)
}

// bodyTimeout bounds the time from the end of a call's header to the end of its
// body: several times what the largest body takes on the slowest link.
const bodyTimeout = 10 * time.Second

// readBody reads a call's body of at most limit bytes into the buffer.
func (m *Mux) readBody(writer http.ResponseWriter, req *http.Request, buffer *memquota.Body, limit int64) error {
	if req.ContentLength == 0 {
		return nil
	}
	response.SetReadTimeout(writer, bodyTimeout)
	defer response.SetReadTimeout(writer, 0)
	return buffer.Read(http.MaxBytesReader(writer, req.Body, limit), req.ContentLength, limit)
}

// reject answers a call whose handler does not run, and reports it to the gate.
func (m *Mux) reject(req *http.Request, err error) response.Response {
	if m.Gate != nil {
		sender, _, _ := net.SplitHostPort(req.RemoteAddr)
		m.Gate.Rejected(sender, err)
	}
	return response.FromError(err)
}

// bodyError gives an error of reading a body its kind.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.Errorf(errkind.BodyTooLarge, "body: over %d bytes", tooLarge.Limit)
	}
	if errors.Is(err, memquota.ErrFull) {
		return errkind.Errorf(errkind.OutOfMemory, "")
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return errkind.Errorf(errkind.RequestTimeout, "body: not there within %v", bodyTimeout)
	}
	return errkind.Errorf(errkind.BadRequest, "body: it is not whole")
}

// maxHeaderBytes is the largest header of a call in bytes; net/http takes 4 KiB more.
// Parsed, a header of many short lines takes some twenty times its bytes.
const maxHeaderBytes = 16 << 10

// NewServer returns a server that closes a connection whose header takes longer
// than headerTimeout, or that is unused for longer than idleTimeout. It answers a
// header of over maxHeaderBytes with status 431.
func NewServer(handler http.Handler, headerTimeout time.Duration, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

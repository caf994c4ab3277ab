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

// Question is read from a call.
type Question interface{ Read(incoming Incoming) error }

// Answer makes the reply to a call.
type Answer interface{ Reply() response.Reply }

// Gate stands before the calls of a table: it looks at each body before it is
// read, and is told of each call that was refused unread.
type Gate interface {
	Enter(body []byte) ([]byte, error)
	Refused(inner scope.Scope, sender string, err error)
}

// Table holds the calls that a daemon serves.
type Table struct {
	Scope     scope.Scope
	BodyLimit int64
	// Gate may be left out.
	Gate Gate
	// Bodies bounds what bodies take together; it may be left out, and several
	// tables may share it.
	Bodies *memquota.Quota
	// Metrics count the calls; they may be left out.
	Metrics *telemetry.Metrics
	exact   map[string]func(scope.Scope, Incoming) response.Reply
}

// NewTable makes an empty table.
func NewTable(top scope.Scope, bodyLimit int64) *Table {
	return &Table{Scope: top, BodyLimit: bodyLimit, exact: map[string]func(scope.Scope, Incoming) response.Reply{}}
}

// Handle adds a pair of question and answer to the table. A path that ends
// with a slash takes all that begins with it.
func Handle[Asked any, Pointer interface {
	*Asked
	Question
}, Told Answer](table *Table, method string, path string, serve func(scope.Scope, Asked) (Told, error)) {
	table.exact[method+" "+path] = func(ctx scope.Scope, incoming Incoming) response.Reply {
		var asked Asked
		if err := Pointer(&asked).Read(incoming); err != nil {
			return table.refuse(incoming.Request, err)
		}
		told, err := serve(ctx, asked)
		if err != nil {
			return response.Failure(err)
		}
		return told.Reply()
	}
}

// ServeHTTP finds the call in the table and answers it.
func (t *Table) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	path := request.URL.Path
	serve, tail := t.exact[request.Method+" "+path], ""
	if serve == nil {
		cut := strings.LastIndexByte(path, '/') + 1
		serve, tail = t.exact[request.Method+" "+path[:cut]], path[cut:]
	}
	if serve == nil {
		t.refuse(request, errkind.Of(errkind.UnknownCall, "%s %s", request.Method, path)).Send(writer)
		return
	}
	held := t.Bodies.Hold()
	defer held.Release()
	if err := t.read(writer, request, held); err != nil {
		t.refuse(request, bodyFault(err)).Send(writer)
		return
	}
	body, err := held.Bytes, error(nil)
	if t.Gate != nil {
		if body, err = t.Gate.Enter(body); err != nil {
			t.refuse(request, err).Send(writer)
			return
		}
	}
	ctx := t.Scope.Under(request.Context())
	begin := ctx.Now()
	answer := serve(ctx, Incoming{Request: request, Tail: tail, Body: body})
	t.Metrics.Call(request.Method+" "+path[:len(path)-len(tail)], strconv.Itoa(answer.Status), ctx.Now().Since(begin))
	answer.Send(writer)
}

// bodyWait is how long a body may take from the end of its head: some times as
// long as the largest one takes on the slowest link.
const bodyWait = 10 * clock.Second

// read takes a call's body in.
func (t *Table) read(writer http.ResponseWriter, request *http.Request, held *memquota.Body) error {
	if request.ContentLength == 0 {
		return nil
	}
	response.ReadWithin(writer, bodyWait)
	defer response.ReadWithin(writer, 0)
	return held.Read(http.MaxBytesReader(writer, request.Body, t.BodyLimit), request.ContentLength, t.BodyLimit)
}

// refuse answers a call that was not read.
func (t *Table) refuse(request *http.Request, err error) response.Reply {
	if t.Gate != nil {
		sender, _, _ := net.SplitHostPort(request.RemoteAddr)
		t.Gate.Refused(t.Scope, sender, err)
	}
	return response.Failure(err)
}

func bodyFault(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return errkind.Of(errkind.BodyTooLarge, "body: over %d bytes", large.Limit)
	}
	if errors.Is(err, memquota.ErrFull) {
		return errkind.Of(errkind.NoMemory, "")
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return errkind.Of(errkind.TooSlow, "body: not there within %v", bodyWait)
	}
	return errkind.Of(errkind.BadRequest, "body: it is not whole")
}

// Server makes an HTTP server for a handler with bounds on slow callers.
func Server(handler http.Handler, headWait clock.Span, idle clock.Span) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headWait, IdleTimeout: idle}
}

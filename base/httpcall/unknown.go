package httpcall

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/excerpt"
)

const (
	// unknownCall is the call by which Metrics count those without a handler.
	unknownCall = "unknown"
	// maxUnknownCalls is how many kinds of such calls are logged.
	maxUnknownCalls = 32
	// maxLoggedName is the length, in bytes, to which a method and an element of a path are
	// cut before they are logged and remembered.
	maxLoggedName = 64
)

// callKind is a kind of calls without a handler: a method and the first element of a
// path, both cut.
type callKind struct{ method, element string }

// callKindOf returns the kind of a call. It keeps nothing of the request in memory.
func callKindOf(req *http.Request) callKind {
	element, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	return callKind{method: excerpt.Of(req.Method, maxLoggedName), element: excerpt.Of(element, maxLoggedName)}
}

// unknownCalls are the kinds of calls without a handler that were logged.
type unknownCalls struct {
	mu     sync.Mutex
	logged map[callKind]bool
}

// reportUnknown counts a call that no handler serves, and logs the first of its kind.
func (m *Mux) reportUnknown(req *http.Request) {
	m.Metrics.ObserveCall(unknownCall, strconv.Itoa(errkind.UnknownCall.Response().Status), 0)
	if m.Log == nil {
		return
	}
	if kind := callKindOf(req); m.unknown.first(kind) {
		m.Log.Warn().Str("part", "calls").Str("method", kind.method).Str("path", "/"+kind.element).Msg("call without a handler")
	}
}

// first reports whether a kind of call is seen for the first time.
func (u *unknownCalls) first(kind callKind) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[kind] || len(u.logged) >= maxUnknownCalls {
		return false
	}
	if u.logged == nil {
		u.logged = map[callKind]bool{}
	}
	u.logged[kind] = true
	return true
}

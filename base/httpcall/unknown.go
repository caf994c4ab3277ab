package httpcall

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"onyxwell/base/errkind"
)

const (
	// unknownCall is the call by which Metrics count those without a handler.
	unknownCall = "unknown"
	// maxUnknownCalls is how many kinds of such calls are logged.
	maxUnknownCalls = 32
)

// unknownCalls are the kinds of calls without a handler that were logged: a method
// and the first element of a path.
type unknownCalls struct {
	mu     sync.Mutex
	logged map[string]bool
}

// reportUnknown counts a call that no handler serves, and logs the first of its kind.
func (m *Mux) reportUnknown(req *http.Request) {
	m.Metrics.ObserveCall(unknownCall, strconv.Itoa(errkind.UnknownCall.Response().Status), 0)
	element, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	if m.Log != nil && m.unknown.first(req.Method+" /"+element) {
		m.Log.Warn().Str("part", "calls").Str("method", req.Method).Str("path", "/"+element).Msg("call without a handler")
	}
}

// first reports whether a kind of call is seen for the first time.
func (u *unknownCalls) first(kind string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.logged[kind] || len(u.logged) >= maxUnknownCalls {
		return false
	}
	if u.logged == nil {
		u.logged = map[string]bool{}
	}
	u.logged[kind] = true
	return true
}

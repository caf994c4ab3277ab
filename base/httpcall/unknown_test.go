package httpcall

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/invariant"
	"onyxwell/base/logtest"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
)

// TestMux_reportsUnknownCalls sends calls that no handler serves: all are counted, and
// the first of each kind is logged.
func TestMux_reportsUnknownCalls(t *testing.T) {
	mux, text := NewMux(clock.NewFake(), 1<<10), &logtest.Buffer{}
	mux.Log, mux.Metrics = scope.NewLogger("warn", text), telemetry.New(&invariant.Monitor{})
	for _, path := range []string{"/books/a", "/books/b", "/pens"} {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest("POST", path, strings.NewReader("x")))
		if recorder.Code != 404 {
			t.Fatalf("%s: %d", path, recorder.Code)
		}
	}
	if got := text.String(); strings.Count(got, "call without a handler") != 2 || !strings.Contains(got, `"path":"/books"`) {
		t.Errorf("logged: %s", got)
	}
	recorder := httptest.NewRecorder()
	mux.Metrics.Handler("/m").ServeHTTP(recorder, httptest.NewRequest("GET", "/m", nil))
	if want := `onyxwell_calls_total{call="unknown",status="404"} 3`; !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("no %s in the metrics", want)
	}
}

// TestMux_unknownCallsAreLoggedShort guards against calls that fill log and memory: paths
// and methods of 900,000 letters were logged and kept whole.
func TestMux_unknownCallsAreLoggedShort(t *testing.T) {
	const maxLineBytes = 512
	mux, text := NewMux(clock.NewFake(), 1<<10), &logtest.Buffer{}
	mux.Log = scope.NewLogger("warn", text)
	long := strings.Repeat("u", 900_000)
	for number := range 2 * maxUnknownCalls {
		req := httptest.NewRequest("GET", fmt.Sprintf("/%d%s/x", number, long), nil)
		if number%2 == 1 {
			req = httptest.NewRequest(fmt.Sprintf("M%d%s", number, long), "/books", nil)
		}
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, req)
		if recorder.Code != 404 || recorder.Body.Len() > 5000 {
			t.Fatalf("status %d, %d bytes answered", recorder.Code, recorder.Body.Len())
		}
	}
	kept := 0
	for kind := range mux.unknown.logged {
		kept += len(kind.method) + len(kind.element)
	}
	if limit := maxUnknownCalls * maxLineBytes; kept > limit || len(text.String()) > limit {
		t.Errorf("%d bytes are kept and %d logged of %d calls, want at most %d", kept, len(text.String()), 2*maxUnknownCalls, limit)
	}
}

package httpcall

import (
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

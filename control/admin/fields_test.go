package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/control/state/command"
)

// TestObjectFields_keepsOnlyNamed guards against bodies that take many times their bytes
// once they are decoded: every field that a caller sent was kept in a table.
func TestObjectFields_keepsOnlyNamed(t *testing.T) {
	var body strings.Builder
	body.WriteString(`{"id":"a"`)
	for number := range 10_000 {
		fmt.Fprintf(&body, `,"%d":[%d,{"id":"b"}]`, number, number)
	}
	body.WriteString(`,"changed_by":1}`)
	fields, err := objectFields([]byte(body.String()), "id", "changed_by")
	if err != nil || len(fields) != 2 || string(fields["id"]) != `"a"` || string(fields["changed_by"]) != "1" {
		t.Errorf("%d fields, error %v, want the two that are named", len(fields), err)
	}
}

// TestObjectFields_agreesWithUnmarshal compares the fields of random texts, few of which are
// JSON objects, with those that json.Unmarshal finds.
func TestObjectFields_agreesWithUnmarshal(t *testing.T) {
	pieces := []string{"{", "}", "[", "]", ",", ":", `"id"`, `"x"`, `"\u0069d"`, "1", "null", "tru", "true", " ", "\n", `"id":`, `"x":1,`, `{"id":1}`, "\x00", "\""}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 12).Draw(t, "pieces"), "")
		if rapid.Bool().Draw(t, "object") {
			text = "{" + text + "}"
		}
		var want map[string]json.RawMessage
		valid := json.Unmarshal([]byte(text), &want) == nil && want != nil
		got, err := objectFields([]byte(text), "id")
		if (err == nil) != valid {
			t.Fatalf("%q: error %v, valid %v", text, err, valid)
		}
		if valid && string(got["id"]) != string(want["id"]) {
			t.Fatalf("%q: id is %s, want %s", text, got["id"], want["id"])
		}
	})
}

// TestServe_boundsBodiesOfOrders guards against orders and adds whose bodies have the size
// of a whole configuration.
func TestServe_boundsBodiesOfOrders(t *testing.T) {
	mux := httpcall.NewMux(clock.NewFake(), 16<<20)
	ServeCounters(mux, &fakeCounters{})
	ServeRollouts(mux, &fakeRollouts{})
	ServeParts(mux, nil)
	Serve(mux, Options{})
	body := `{"x":"` + strings.Repeat("x", maxOrderBytes) + `"}`
	for _, call := range []string{"POST /tallies/t3", "POST /rollouts", "POST /parts", "POST /empty/hall", "DELETE /empty/hall"} {
		method, path, _ := strings.Cut(call, " ")
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		if recorder.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("%s with %d bytes: status %d, want 413", call, len(body), recorder.Code)
		}
	}
}

// TestCompactVersion_decodesNoLists guards against versions that are lists of many numbers,
// which took many times their bytes before they were rejected.
func TestCompactVersion_decodesNoLists(t *testing.T) {
	long := json.RawMessage("[" + strings.Repeat("7,", 100_000) + "7]")
	const maxAllocations = 100
	allocations := testing.AllocsPerRun(1, func() {
		if version, err := compactVersion(long); err == nil {
			t.Errorf("a list is taken for version %s", version)
		}
	})
	if allocations > maxAllocations {
		t.Errorf("%v allocations for a list, want at most %d", allocations, maxAllocations)
	}
}

// noDispatcher fails the test if a command reaches it.
type noDispatcher struct{ t *testing.T }

func (n noDispatcher) Dispatch(context.Context, command.Command) ([]byte, error) {
	n.t.Error("a command was dispatched")
	return nil, nil
}

// TestServe_boundsDecodedChanges guards against changes of the configuration that take many
// times their bytes once they are decoded, at the controller that they are sent to.
func TestServe_boundsDecodedChanges(t *testing.T) {
	mux := httpcall.NewMux(clock.NewFake(), 1<<20)
	Serve(mux, Options{Dispatcher: noDispatcher{t}, MaxDecodedBytes: 100_000})
	for method, body := range map[string]string{
		"PUT":   `{"config_version":6,"routes":[` + strings.Repeat("{},", 1000) + `{}]}`,
		"PATCH": `{"config_version":6,"changes":{"x":[` + strings.Repeat("0,", 10_000) + `0]}}`,
	} {
		req := httptest.NewRequest(method, "/settings", strings.NewReader(body))
		req.Header.Set("If-Match", "5")
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, req)
		if recorder.Code != http.StatusRequestEntityTooLarge {
			t.Errorf("%s: status %d, want 413", method, recorder.Code)
		}
	}
}

package admin

import (
	"context"
	"fmt"
	"math/big"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
)

// fakeCounters records adds, and returns the same total for every counter.
type fakeCounters struct{ adds []string }

func (r *fakeCounters) Add(_ context.Context, counter string, id string, amount int64) error {
	r.adds = append(r.adds, fmt.Sprint(counter, " ", id, " ", amount))
	return nil
}

func (r *fakeCounters) Total(string) (*big.Int, error) {
	total, _ := new(big.Int).SetString("36893488147419103228", 10)
	return total, nil
}

// TestServeCounters_validatesAdds sends valid and invalid adds. An invalid one must be
// answered with status 400 and the name of the field, and must add nothing. The total, read
// at the end, must be returned exactly although it exceeds 64 bits.
func TestServeCounters_validatesAdds(t *testing.T) {
	counters := &fakeCounters{}
	mux := httpcall.NewMux(clock.NewFake(), 1<<16)
	ServeCounters(mux, counters)
	call := func(method string, path string, body string) (int, string) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
		return recorder.Code, recorder.Body.String()
	}
	for _, test := range []struct{ path, body, add, field string }{
		{path: "/tallies/t3", body: `{"id":"5c0e","changed_by":4}`, add: "t3 5c0e 4"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":-9223372036854775808,"more":[1]}`, add: "t3 x -9223372036854775808"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":4.0}`, add: "t3 x 4"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":1e3}`, add: "t3 x 1000"},
		{path: "/tallies/a%20b", body: `{"id":"x","changed_by":0}`, add: "a b x 0"},
		{path: "/tallies/t3", body: `[]`, field: "body"},
		{path: "/tallies/t3", body: `null`, field: "body"},
		{path: "/tallies/t3", body: ``, field: "body"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":1`, field: "body"},
		{path: "/tallies/t3", body: `{"changed_by":1}`, field: "id"},
		{path: "/tallies/t3", body: `{"id":"","changed_by":1}`, field: "id"},
		{path: "/tallies/t3", body: `{"id":null,"changed_by":1}`, field: "id"},
		{path: "/tallies/t3", body: `{"id":7,"changed_by":1}`, field: "id"},
		{path: "/tallies/t3", body: `{"id":"x"}`, field: "changed_by"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":null}`, field: "changed_by"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":"1"}`, field: "changed_by"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":1.5}`, field: "changed_by"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":9223372036854775808}`, field: "changed_by"},
		{path: "/tallies/t3", body: `{"id":"x","changed_by":1e400}`, field: "changed_by"},
		{path: "/tallies/", body: `{"id":"x","changed_by":1}`, field: "path"},
		{path: "/tallies/" + strings.Repeat("n", maxCounterName+1), body: `{"id":"x","changed_by":1}`, field: "path"},
	} {
		counters.adds = nil
		status, body := call(http.MethodPost, test.path, test.body)
		switch {
		case test.field == "" && (status != http.StatusOK || len(counters.adds) != 1 || counters.adds[0] != test.add):
			t.Errorf("%s %s: got status %d, body %s, adds %q", test.path, test.body, status, body, counters.adds)
		case test.field != "" && (status != http.StatusBadRequest || len(counters.adds) != 0 || !strings.Contains(body, `"detail":"`+test.field+":")):
			t.Errorf("%s %s: got status %d, body %s, adds %q", test.path, test.body, status, body, counters.adds)
		}
	}
	if status, body := call(http.MethodGet, "/tallies/t3", ""); status != http.StatusOK || body != `{"total":36893488147419103228}` {
		t.Errorf("read: got status %d, body %s", status, body)
	}
}

package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
)

// fakeRollouts records the orders that it accepts, and returns a fixed record or error.
type fakeRollouts struct {
	orders []rollout.Order
	record rollout.Record
	err    error
}

func (f *fakeRollouts) OrderRollout(_ context.Context, order rollout.Order) error {
	if f.err == nil {
		f.orders = append(f.orders, order)
	}
	return f.err
}

func (f *fakeRollouts) ReadRollout(context.Context, ids.Service) (rollout.Record, error) {
	return f.record, f.err
}

func callRollouts(rollouts *fakeRollouts, method, path, body string) *httptest.ResponseRecorder {
	mux := httpcall.NewMux(clock.NewFake(), 1<<20)
	ServeRollouts(mux, rollouts)
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

func TestServeRollouts_validatesOrders(t *testing.T) {
	cases := []struct {
		name, body, wantBody string
		status               int
	}{
		{"valid", `{"service":"readers","target_version":"v2","over_s":12}`, "", 200},
		{"number as version", `{"service":"readers","target_version":3,"over_s":1.5}`, "", 200},
		{"invalid JSON", `{"service"`, "body", 400},
		{"not an object", `[1]`, "body", 400},
		{"no service", `{"target_version":"v2","over_s":12}`, "service", 400},
		{"service of another type", `{"service":7,"target_version":"v2","over_s":12}`, "service", 400},
		{"no version", `{"service":"readers","over_s":12}`, "target_version", 400},
		{"empty version", `{"service":"readers","target_version":"","over_s":12}`, "target_version", 400},
		{"version of another type", `{"service":"readers","target_version":["v2"],"over_s":12}`, "target_version", 400},
		{"version too long", `{"service":"readers","target_version":"` + strings.Repeat("v", maxVersionLength) + `","over_s":12}`, "target_version", 400},
		{"no term", `{"service":"readers","target_version":"v2"}`, "over_s", 400},
		{"term of another type", `{"service":"readers","target_version":"v2","over_s":"12"}`, "over_s", 400},
		{"negative term", `{"service":"readers","target_version":"v2","over_s":-1}`, "over_s", 400},
		{"term too short", `{"service":"readers","target_version":"v2","over_s":0.5}`, "over_s", 400},
		{"term too long", `{"service":"readers","target_version":"v2","over_s":1e9}`, "over_s", 400},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			rollouts := &fakeRollouts{}
			recorder := callRollouts(rollouts, http.MethodPost, "/rollouts", test.body)
			if recorder.Code != test.status || !strings.Contains(recorder.Body.String(), test.wantBody) {
				t.Fatalf("got status %d, body %s", recorder.Code, recorder.Body)
			}
			if stored := len(rollouts.orders) > 0; stored != (test.status == 200) {
				t.Errorf("stored orders: %v", rollouts.orders)
			}
		})
	}
}

func TestServeRollouts_mapsErrorsToStatus(t *testing.T) {
	for kind, status := range map[errkind.Kind]int{errkind.UnknownService: 404, errkind.RolloutConflict: 409, errkind.NoQuorum: 503} {
		recorder := callRollouts(&fakeRollouts{err: errkind.Errorf(kind, "")}, http.MethodPost, "/rollouts", `{"service":"readers","target_version":"v2","over_s":12}`)
		if recorder.Code != status {
			t.Errorf("error kind %s: got status %d", kind, recorder.Code)
		}
	}
}

func TestServeRollouts_returnsCondition(t *testing.T) {
	rollouts := &fakeRollouts{}
	if recorder := callRollouts(rollouts, http.MethodGet, "/rollouts/readers", ""); recorder.Code != 404 {
		t.Errorf("service without an order: got status %d, want 404", recorder.Code)
	}
	for condition, name := range map[rollout.Condition]string{rollout.InProgress: "serving", rollout.Finished: "finished", rollout.Reverted: "reverted"} {
		rollouts.record = rollout.Record{Order: 1, Target: `"v2"`, Condition: int64(condition)}
		recorder := callRollouts(rollouts, http.MethodGet, "/rollouts/readers", "")
		if want := `{"condition":"` + name + `","target_version":"v2"}`; recorder.Code != 200 || strings.TrimSpace(recorder.Body.String()) != want {
			t.Errorf("got status %d, body %s, want %s", recorder.Code, recorder.Body, want)
		}
	}
}

package soak

import (
	"net/http"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/soak/localcluster"
)

// TestCounterLedger_bounds checks what a total must and may have: what was acknowledged
// must be there, unless its disks may be lost; what was refused by a promise may not.
func TestCounterLedger_bounds(t *testing.T) {
	fakeClock := clock.NewFake()
	ledger := &counterLedger{clock: fakeClock, lastFault: fakeClock.Now()}
	one, two := &localcluster.Process{}, &localcluster.Process{}
	answer := func(id string, amount int64, process *localcluster.Process, statuses ...int) {
		add := &counterAdd{counter: "a", id: id, amount: amount}
		ledger.record(add)
		for _, status := range statuses {
			ledger.opened(add, process)(status)
		}
	}
	expect := func(when string, byOne int64, byAny int64, most int64) {
		t.Helper()
		if got := [3]int64{ledger.ackedBy("a", one), ledger.ackedBy("a", nil), ledger.mostOf("a")}; got != [3]int64{byOne, byAny, most} {
			t.Errorf("%s: %v, not %d, %d, %d", when, got, byOne, byAny, most)
		}
	}
	fakeClock.Advance(time.Minute)
	answer("acknowledged in calm", 1, one, http.StatusServiceUnavailable, http.StatusOK)
	answer("refused", 10, one, http.StatusServiceUnavailable, http.StatusTooManyRequests)
	answer("undecided", 100, one, 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	answer("acknowledged by another", 1000, two, http.StatusOK)
	expect("in calm", 1, 1001, 1101)
	ledger.faultBegins()
	answer("acknowledged in a fault", 10000, one, http.StatusOK)
	expect("in a fault", 10001, 11001, 11101)
	ledger.diskLost()
	expect("after the loss of a disk", 10001, 1001, 11101)
	ledger.faultEnds()
	fakeClock.Advance(localcluster.MergeWithin)
	answer("acknowledged in calm again", 100000, two, http.StatusOK)
	ledger.diskLost()
	expect("after another", 10001, 101001, 111101)
}

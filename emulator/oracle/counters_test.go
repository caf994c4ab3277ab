package oracle

import (
	"net/http"
	"testing"
	"time"
)

// TestCounterLedger_bounds checks what a total must and may have: what was acknowledged
// must be there, unless its disks may be lost; what was refused by a promise may not.
func TestCounterLedger_bounds(t *testing.T) {
	const mergeTime = 3 * time.Second
	now := time.Duration(0)
	ledger := NewCounterLedger(mergeTime, now)
	one, two := new(int), new(int)
	answer := func(id string, amount int64, process any, statuses ...int) {
		add := &CounterAdd{Counter: "a", ID: id, Amount: amount}
		ledger.Record(add)
		for _, status := range statuses {
			ledger.Sent(add)
			ledger.Answered(add, status, CounterAck{At: now, Process: process, Exposed: !ledger.Calm(now)})
		}
	}
	expect := func(when string, byOne int64, byAny int64, most int64) {
		t.Helper()
		if got := [3]int64{ledger.Least("a", one, 0), ledger.Least("a", nil, Always), ledger.Most("a")}; got != [3]int64{byOne, byAny, most} {
			t.Errorf("%s: %v, not %d, %d, %d", when, got, byOne, byAny, most)
		}
	}
	now += time.Minute
	answer("acknowledged in calm", 1, one, http.StatusServiceUnavailable, http.StatusOK)
	answer("refused", 10, one, http.StatusServiceUnavailable, http.StatusTooManyRequests)
	answer("undecided", 100, one, 0, http.StatusServiceUnavailable, http.StatusGatewayTimeout)
	answer("acknowledged by another", 1000, two, http.StatusOK)
	expect("in calm", 1, 1001, 1101)
	ledger.FaultBegins(now)
	answer("acknowledged in a fault", 10000, one, http.StatusOK)
	expect("in a fault", 10001, 11001, 11101)
	ledger.DiskLost()
	expect("after the loss of a disk", 10001, 1001, 11101)
	ledger.FaultEnds(now)
	now += mergeTime
	answer("acknowledged in calm again", 100000, two, http.StatusOK)
	ledger.DiskLost()
	expect("after another", 10001, 101001, 111101)
	if got := ledger.Least("a", nil, now); got != 1001 {
		t.Errorf("%d were acknowledged before the last add", got)
	}
}

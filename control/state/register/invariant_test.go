package register

import (
	"testing"

	"onyxwell/base/ids"
	"onyxwell/base/invariant"
)

// TestAcceptor_reportsLoweredPromise lowers a promised epoch: the monitor must count
// one violation.
func TestAcceptor_reportsLoweredPromise(t *testing.T) {
	acceptor, err := NewAcceptor("a", nil)
	if err != nil {
		t.Fatal(err)
	}
	acceptor.Monitor = &invariant.Monitor{Tolerant: true}
	for _, number := range []int64{4, 5, 3} {
		acceptor.setSlot(Slot{Key: "spec", Promised: ids.Epoch{Number: number}})
	}
	if got := acceptor.Monitor.Count(invariant.PromiseRises); got != 1 {
		t.Errorf("counted %d violations, want 1", got)
	}
}

package lease

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
)

func TestHolder_plantedNonRisingEpochIsCounted(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	holder := NewHolder(Options{Name: "census", Monitor: monitor})
	top := scope.New(scope.Options{Clock: clock.NewFake()})
	for number, epoch := range []int64{4, 5, 5} {
		holder.recordGrant(top, int64(number+1), epoch, clock.Instant(clock.Second))
	}
	if got := monitor.Count(invariant.EpochRises); got != 1 {
		t.Errorf("counted %d", got)
	}
}

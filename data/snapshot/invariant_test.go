package snapshot

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/config"
)

func TestUpdate_reportsConfigVersionDecrease(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	store := NewStore(Options{Clock: clock.NewFake(), Monitor: monitor})
	for _, version := range []ids.Version{4, 5, 3} {
		store.update(func(next *Snapshot) bool {
			next.Config = &config.Config{Version: version}
			return true
		})
	}
	if got := monitor.Count(invariant.VersionRises); got != 1 {
		t.Errorf("got %d violations, want 1", got)
	}
}

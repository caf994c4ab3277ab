package snapshot

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/config"
)

func TestPlantedOlderVersionIsCounted(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	frame := NewFrame(Options{Clock: clock.NewFake(), Monitor: monitor})
	for _, serial := range []ids.Serial{4, 5, 3} {
		frame.swap(func(next *Snapshot) bool {
			next.Spec = &config.Config{Version: serial}
			return true
		})
	}
	if got := monitor.Count(invariant.VersionRises); got != 1 {
		t.Errorf("counted %d", got)
	}
}

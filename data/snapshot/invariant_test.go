package snapshot

import (
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/config"
)

func TestInvariants_countOlderVersion(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	frame := NewStore(Options{Clock: clock.NewFake(), Monitor: monitor})
	for _, serial := range []ids.Serial{4, 5, 3} {
		frame.update(func(next *Snapshot) bool {
			next.Config = &config.Config{Version: serial}
			return true
		})
	}
	if got := monitor.Count(invariant.VersionRises); got != 1 {
		t.Errorf("counted %d", got)
	}
}

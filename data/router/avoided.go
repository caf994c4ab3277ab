package router

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/data/snapshot"
)

// avoidedRunners tracks the runners that get requests only if no other can take them,
// because they are ejected or quarantined. The zero value is ready to use.
type avoidedRunners struct {
	runners map[ids.RunnerID]bool
	// quarantined holds the quarantined runners of the plan in snapshot.
	quarantined map[ids.RunnerID]bool
	snapshot    *snapshot.Snapshot
}

// update returns the runners that are no longer avoided since the last call.
func (a *avoidedRunners) update(current *snapshot.Snapshot, now clock.Instant) map[ids.RunnerID]bool {
	if a.snapshot != current {
		a.snapshot, a.quarantined = current, quarantinedRunners(current)
	}
	avoided := map[ids.RunnerID]bool{}
	for id := range a.quarantined {
		avoided[id] = true
	}
	for id := range current.EjectedUntil {
		if current.Avoided(id, now) {
			avoided[id] = true
		}
	}
	released := map[ids.RunnerID]bool{}
	for id := range a.runners {
		if !avoided[id] {
			released[id] = true
		}
	}
	a.runners = avoided
	return released
}

func quarantinedRunners(current *snapshot.Snapshot) map[ids.RunnerID]bool {
	quarantined := map[ids.RunnerID]bool{}
	for id, weight := range current.RunnerWeights {
		if weight.Quarantined {
			quarantined[id] = true
		}
	}
	return quarantined
}

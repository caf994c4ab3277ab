package experiment

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/emulator/runner"
)

const (
	// announceInterval is by how much the routers' endpoints are late at most.
	announceInterval = 20 * time.Millisecond
	// departedRetention is how long an incarnation that has ended stays listed.
	departedRetention = time.Second / 2
)

// endpointTracker keeps the list of endpoints as a platform would: an incarnation
// that has ended stays listed for a while, beside the next one at its address. It
// is not safe for concurrent use.
type endpointTracker struct {
	runners      []*runner.Runner
	incarnations []runner.Incarnation // by index of runners; nil before the first refresh
	departed     []departedRunner
}

type departedRunner struct {
	discovery.Runner
	until clock.Instant
}

// refresh returns the list, and whether it changed since the last refresh.
func (e *endpointTracker) refresh(now clock.Instant) (discovery.List, bool) {
	var list discovery.List
	changed := e.incarnations == nil
	for i, r := range e.runners {
		incarnation := r.Incarnation()
		if len(e.incarnations) <= i {
			e.incarnations = append(e.incarnations, incarnation)
		}
		if old := e.incarnations[i]; old != incarnation {
			e.departed = append(e.departed, departedRunner{Runner: endpointOf(old, r), until: now.Add(departedRetention)})
			e.incarnations[i], changed = incarnation, true
		}
		list.Runners = append(list.Runners, endpointOf(incarnation, r))
	}
	var retained []departedRunner
	for _, departed := range e.departed {
		if now.Before(departed.until) {
			retained = append(retained, departed)
			list.Runners = append(list.Runners, departed.Runner)
		}
	}
	changed = changed || len(retained) != len(e.departed)
	e.departed = retained
	return list, changed
}

func endpointOf(incarnation runner.Incarnation, r *runner.Runner) discovery.Runner {
	return discovery.Runner{
		ID: ids.RunnerID(incarnation.ID), Service: ids.Service(incarnation.Service), Address: ids.Address(r.Address()),
		Zone: zone, Capacity: runnerCapacity,
	}
}

// announceLoop publishes the endpoints whenever they have changed.
func (e *experiment) announceLoop(ctx context.Context, tracker *endpointTracker) {
	for clock.Wait(ctx, e.clock, announceInterval) {
		if list, changed := tracker.refresh(e.clock.Now()); changed {
			e.publish(list)
		}
	}
}

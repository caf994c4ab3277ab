package experiment

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/emulator/runner"
)

// endpointTracker knows which lives the platform shows: one that has ended stays on the
// list for a while, also where its address has a new one.
type endpointTracker struct {
	experiment   *experiment
	incarnations []runner.Incarnation
	departed     []departedRunner
}

type departedRunner struct {
	discovery.Runner
	until clock.Instant
}

const (
	// announceInterval is how old the routers' list of runners is at most, linger how long a
	// life that has ended stays on it.
	announceInterval  = 20 * clock.Millisecond
	departedRetention = clock.Second / 2
)

// refresh gives the list and whether it changed since the last look.
func (e *endpointTracker) refresh(now clock.Instant) (discovery.List, bool) {
	var list discovery.List
	changed := e.incarnations == nil
	for index, played := range e.experiment.runners {
		life := played.Incarnation()
		if len(e.incarnations) <= index {
			e.incarnations = append(e.incarnations, life)
		}
		if old := e.incarnations[index]; old != life {
			e.departed = append(e.departed, departedRunner{Runner: endpointOf(old, played), until: now.Add(departedRetention)})
			e.incarnations[index], changed = life, true
		}
		list.Runners = append(list.Runners, endpointOf(life, played))
	}
	var left []departedRunner
	for _, former := range e.departed {
		if now.Before(former.until) {
			left = append(left, former)
			list.Runners = append(list.Runners, former.Runner)
		}
	}
	changed = changed || len(left) != len(e.departed)
	e.departed = left
	return list, changed
}

func endpointOf(life runner.Incarnation, played *runner.Runner) discovery.Runner {
	return discovery.Runner{
		ID: ids.RunnerID(life.ID), Service: ids.Service(life.Service), Address: ids.Address(played.Address()), Zone: "zone", Capacity: 64,
	}
}

// announceLoop tells the routers of new lives, a little late.
func (e *experiment) announceLoop(ctx scope.Scope, known *endpointTracker) {
	for ctx.Wait(announceInterval) {
		list, changed := known.refresh(ctx.Now())
		if !changed {
			continue
		}
		e.publish(list)
	}
}

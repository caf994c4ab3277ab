package experiment

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/emulator/runner"
)

// lister knows which lives the platform shows: one that has ended stays on the
// list for a while, also where its address has a new one.
type lister struct {
	made   *experiment
	lives  []runner.Life
	former []lingering
}

type lingering struct {
	discovery.Runner
	until clock.Instant
}

const (
	// lag is how old the routers' list of runners is at most, linger how long a
	// life that has ended stays on it.
	lag    = 20 * clock.Millisecond
	linger = clock.Second / 2
)

// look gives the list and whether it changed since the last look.
func (l *lister) look(now clock.Instant) (discovery.List, bool) {
	var list discovery.List
	changed := l.lives == nil
	for index, played := range l.made.runners {
		life := played.Life()
		if len(l.lives) <= index {
			l.lives = append(l.lives, life)
		}
		if old := l.lives[index]; old != life {
			l.former = append(l.former, lingering{Runner: listed(old, played), until: now.Add(linger)})
			l.lives[index], changed = life, true
		}
		list.Runners = append(list.Runners, listed(life, played))
	}
	var left []lingering
	for _, former := range l.former {
		if now.Before(former.until) {
			left = append(left, former)
			list.Runners = append(list.Runners, former.Runner)
		}
	}
	changed = changed || len(left) != len(l.former)
	l.former = left
	return list, changed
}

func listed(life runner.Life, played *runner.Runner) discovery.Runner {
	return discovery.Runner{
		ID: ids.RunnerID(life.ID), Service: ids.Service(life.Service), Address: ids.Address(played.Address()), Zone: "zone", Capacity: 64,
	}
}

// announce tells the routers of new lives, a little late.
func (e *experiment) announce(ctx scope.Scope, known *lister) {
	for ctx.Wait(lag) {
		list, changed := known.look(ctx.Now())
		if !changed {
			continue
		}
		e.tell(list)
	}
}

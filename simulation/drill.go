package simulation

import (
	"fmt"
	"slices"

	"onyxwell/base/clock"
)

// drills are the kinds of loss that a run may play again and again. The steps of
// one follow each other as soon as catch_up_s allows, whole or not.
var drills = []struct {
	name  string
	steps []string
	// losses is how many are lost at a time.
	losses int
}{
	{"kill", []string{"kill"}, 1},
	{"power", []string{"power"}, 1},
	{"wipe", []string{"wipe"}, 1},
	{"spoil", []string{"spoil"}, 1},
	{"term", []string{"term"}, 1},
	{"freeze", []string{"freeze"}, 1},
	{"cut", []string{"cut"}, 1},
	{"cut-in", []string{"cut-in"}, 1},
	{"cut-out", []string{"cut-out"}, 1},
	{"stall", []string{"stall"}, 1},
	{"slow", []string{"slow"}, 1},
	{"full", []string{"full"}, 1},
	{"refuse", []string{"refuse"}, 1},
	{"outage", []string{"outage"}, 1},
	{"replace", []string{"replace"}, 1},
	{"planned", []string{"planned"}, 1},
	{"gone", []string{"gone"}, 1},
	{"replace, replace", []string{"replace", "replace"}, 1},
	{"wipe, replace", []string{"wipe", "replace"}, 1},
	{"two: kill", []string{"kill"}, 2},
	{"two: cut", []string{"cut"}, 2},
	{"two: wipe", []string{"wipe"}, 2},
	{"two: replace", []string{"replace"}, 2},
}

// fromLoss are the losses whose time runs from the loss on: nothing comes back, or
// what takes the place is there beforehand.
var fromLoss = map[string]bool{"planned": true, "gone": true}

// Drills names the kinds of loss that a run may play again and again, in order.
func Drills() []string {
	var names []string
	for _, one := range drills {
		names = append(names, one.name)
	}
	return names
}

// peek is how often a drill looks whether all is whole.
const peek = 10 * clock.Millisecond

// drill is the one kind of loss of a run, and what was measured.
type drill struct {
	steps  []string
	losses int
	// waits are losses that nobody has made up for yet.
	waits []wait
	// step is the next one, due when it or the next round may begin.
	step int
	due  clock.Span
	// away is how many are lost and not back yet.
	away int
	took map[string][]clock.Span
}

// wait is a loss that counts from an instant on.
type wait struct {
	name  string
	since clock.Span
}

// catchUp is how long one that is back counts as lost.
func (w *World) catchUp() clock.Span {
	return clock.Span(w.options.Site.Bounds.CatchUpS * float64(clock.Second))
}

// practise begins the drill of a run that has one.
func (w *World) practise() {
	for _, one := range drills {
		if one.name == w.options.Drill && one.losses <= w.options.Site.Losses {
			w.drill = drill{steps: one.steps, losses: one.losses, took: map[string][]clock.Span{}}
			w.after(0, w.peek)
		}
	}
}

// peek notes whether all is whole, and begins the next loss when it may.
func (w *World) peek() {
	if w.ending || w.violated() {
		return
	}
	w.after(peek, w.peek)
	drill := &w.drill
	if len(drill.waits) > 0 {
		w.endWaits()
	}
	if drill.away > 0 {
		return
	}
	if drill.step == len(drill.steps) && len(drill.waits) == 0 {
		drill.step = 0
		drill.due = max(drill.due, w.now()+w.between("calm", 0, clock.Second))
	}
	if drill.step < len(drill.steps) && w.now() >= drill.due {
		w.lose(drill.steps[drill.step])
	}
}

// endWaits notes how long all losses took that are made up for; one that takes
// too long breaks a promise, and counts with the time until then.
func (w *World) endWaits() {
	drill := &w.drill
	whole, missing := w.sound()
	for _, seat := range w.voters().Members {
		machine := w.hosts[hostOf(seat.Address)]
		if whole && (machine == nil || machine.leaves || machine.gone) {
			whole, missing = false, fmt.Sprintf("%s has a seat and leaves", seat.Address)
		}
	}
	first := drill.waits[0]
	late := w.now()-first.since > settling
	if !whole && !late {
		return
	}
	for _, one := range drill.waits {
		drill.took[one.name] = append(drill.took[one.name], w.now()-one.since)
		w.note("waited", nil, "after", one.name, "seconds", (w.now() - one.since).Seconds(), "whole", whole)
	}
	drill.waits = nil
	if !whole {
		w.violate("%s after %s still: %s", settling, first.name, missing)
	}
}

// lose has some of those that vote lost in some way.
func (w *World) lose(name string) {
	drill, one := &w.drill, troubles[name]
	if name == "gone" {
		one = trouble{begin: goAway}
	}
	targets := w.seated()
	if len(targets) < drill.losses || w.now()+one.high > w.options.Length || (name == "gone" && w.spare() < 1) {
		return
	}
	label := w.options.Drill
	if len(drill.steps) > 1 {
		label = fmt.Sprintf("%s (%d)", label, drill.step+1)
	}
	drill.step++
	for number := range drill.losses {
		at := w.below(fmt.Sprint("victim ", number), len(targets))
		machine := targets[at]
		targets = slices.Delete(targets, at, at+1)
		drill.away++
		w.count("trouble " + name)
		w.note("trouble", machine, "name", name)
		if fromLoss[name] {
			drill.waits = append(drill.waits, wait{name: label, since: w.now()})
		}
		end := one.begin(w, machine)
		w.after(w.between(fmt.Sprint("span ", name, number), one.low, one.high), func() {
			w.note("trouble over", machine, "name", name)
			if end != nil {
				end()
			}
			drill.away--
			drill.due = w.now() + w.catchUp()
			// Where two are lost, time counts from the return of the last.
			if !fromLoss[name] && drill.away == 0 {
				drill.waits = append(drill.waits, wait{name: label, since: w.now()})
			}
		})
	}
}

// seated are the machines that vote and are there.
func (w *World) seated() []*Machine {
	var found []*Machine
	for _, seat := range w.voters().Members {
		machine := w.hosts[hostOf(seat.Address)]
		if machine != nil && machine.life != nil && machine.life.control != nil && !machine.gone && !machine.leaves {
			found = append(found, machine)
		}
	}
	return found
}

// spare is how many controllers there are beyond the seats.
func (w *World) spare() int {
	return len(w.controllers()) - max(3, 2*w.options.Site.Losses+1)
}

// goAway takes a machine away for good, with none in its place.
func goAway(_ *World, machine *Machine) func() {
	machine.losePower()
	machine.gone = true
	return nil
}

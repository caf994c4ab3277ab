package simulation

import "onyxwell/base/clock"

// held brings about what a wipe must not: the first two of three controllers
// hold an order that the third missed, and the second loses its disk. The links
// of the third to the first stay cut.
func held(world *World) (first *Machine, second *Machine, third *Machine) {
	first, second, third = world.machines[0], world.machines[1], world.machines[2]
	world.sleep(clock.Second)
	world.carryOut(world.put(0, 1, false))
	world.order(true)
	world.sleep(clock.Second)
	cutOff(true, true)(world, third)
	world.order(false)
	second.wipe()
	return first, second, third
}

// order empties or refills the first zone.
func (w *World) order(empty bool) {
	did, _ := w.give(w.zone(w.options.Site.Places[0].Zone, empty))
	w.record(did)
}

// join opens the links between two; what they held up is lost with the
// connections.
func (w *World) join(one *Machine, other *Machine) {
	w.link(one.name, other.name).held, w.link(other.name, one.name).held = nil, nil
	w.heal(one.name, other.name)
	w.heal(other.name, one.name)
}

func (w *World) part(one *Machine, other *Machine) {
	w.cut(one.name, other.name)
	w.cut(other.name, one.name)
}

// lookOn looks at the first zone until the run's troubles end.
func (w *World) lookOn(targets ...*Machine) {
	for w.now() < w.options.Length {
		for _, target := range targets {
			w.lookAt(target, w.options.Site.Places[0].Zone)
		}
		w.sleep(50 * clock.Millisecond)
	}
}

// blankBesideOld leaves the wiped disk and the one that missed the order alone
// with each other.
func blankBesideOld(world *World) {
	first, second, third := held(world)
	world.part(first, second)
	world.join(second, third)
	second.comeBack()
	world.lookOn(third)
}

// newBesideOld does so as soon as the wiped disk votes again.
func newBesideOld(world *World) {
	first, second, third := held(world)
	world.join(second, third)
	second.comeBack()
	for !votes(second) && world.now() < world.options.Length {
		world.sleep(2 * clock.Millisecond)
	}
	world.part(first, second)
	world.lookOn(second, third)
}

package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/random"
)

// settling is how long a run goes on after all trouble has ended.
const settling = 25 * clock.Second

// Run plays one run. It needs a test for the bubble of simulated time in which
// everything goes on; the command makes one.
func Run(t *testing.T, options Options) Result {
	var world *World
	synctest.Test(t, func(*testing.T) {
		world = newWorld(options)
		random.SetSource(world.chance)
		defer random.SetSource(nil)
		world.play()
	})
	wrong, unknown := world.history.check()
	world.broken = append(world.broken, wrong...)
	if unknown > 0 {
		world.counted["keys not decided by the checker"] += unknown
	}
	if len(wrong) > 0 {
		for _, line := range world.history.lines() {
			world.note(line, nil)
		}
	}
	return Result{
		Seed: options.Seed, Broken: world.broken, Counts: world.counted, Whole: world.watch.wholeTook, Acks: world.watch.acks, Gap: world.watch.gap,
		Redundancy: world.drill.took, Service: world.serving.Service,
	}
}

func (w *World) play() {
	for _, machine := range w.machines {
		w.after(w.between("first start "+machine.name, 0, 300*clock.Millisecond), func() { machine.start(true) })
	}
	w.until(2 * clock.Second)
	if w.options.script != nil {
		go w.options.script(w)
	} else {
		w.trouble()
	}
	w.until(w.options.Length)
	w.settle()
	w.ending = true
	w.until(w.now() + 16*clock.Second)
	for _, machine := range w.machines {
		machine.gone = true
		machine.die()
	}
	synctest.Wait()
	// All that still waits for some time runs out; nothing is checked any more.
	for w.step(w.now() + 120*clock.Second) {
	}
}

// trouble sets the operators and, later, the troubles going.
func (w *World) trouble() {
	for number := range max(1, w.options.Operators) {
		go w.operate(fmt.Sprint("operator ", number))
	}
	w.until(8 * clock.Second)
	go w.plague()
	w.practise()
	w.measureService()
}

// until goes on to an instant, and checks after each step; a broken promise
// ends the run.
func (w *World) until(end clock.Span) {
	// Time passes also where nothing waits for it.
	w.after(end-w.now(), func() {})
	synctest.Wait()
	for !w.violated() && w.step(end) {
		w.look()
	}
}

// settle ends all trouble; within the time to catch up everything must be whole
// again, an order be acknowledged, and all read the same.
func (w *World) settle() {
	for _, one := range w.links {
		one.cut = false
	}
	for key := range w.links {
		w.heal(key[0], key[1])
	}
	w.ackLost, w.hurry = 0, false
	for _, machine := range w.machines {
		machine.trouble.stalled, machine.trouble.slow, machine.trouble.refuses, machine.trouble.full = false, 0, false, false
		if machine.frozen {
			machine.frozen = false
			machine.wakeUp()
		}
		machine.unstall()
		machine.comeBack()
	}
	begin := w.now()
	w.waitWhole(begin)
	w.until(begin + settling)
	if w.violated() {
		return
	}
	w.final()
}

// waitWhole goes on until all seats are filled and every voter holds all.
func (w *World) waitWhole(begin clock.Span) {
	whole, missing := false, ""
	for w.now()-begin < settling && !whole && !w.violated() {
		w.until(w.now() + 100*clock.Millisecond)
		whole, missing = w.sound()
	}
	if w.violated() {
		return
	}
	if !whole {
		w.violate("%s after all trouble ended, still: %s", settling, missing)
		return
	}
	w.watch.wholeTook = append(w.watch.wholeTook, w.now()-begin)
}

// final reads at every controller and gives one more order.
func (w *World) final() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		did, _ := w.give(w.zone(w.options.Site.Places[0].Zone, true))
		w.record(did)
		if did.outcome != taken {
			w.violate("an order in calm got no acknowledgement")
		}
		for range len(w.controllers()) {
			if _, found := w.readSettings(8 * clock.Second); !found {
				w.violate("GET /settings is not answered in calm")
			}
		}
	}()
	limit := w.now() + 30*clock.Second
	for w.now() < limit && !w.violated() {
		w.until(w.now() + 100*clock.Millisecond)
		select {
		case <-done:
			return
		default:
		}
	}
	if !w.violated() {
		w.violate("the last orders got no answer in calm")
	}
}

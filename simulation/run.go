package simulation

import (
	"fmt"
	"testing"
	"testing/synctest"

	"onyxwell/base/chance"
	"onyxwell/base/clock"
)

// settling is how long a run goes on after all trouble has ended.
const settling = 25 * clock.Second

// Run plays one run. It needs a test for the bubble of simulated time in which
// everything goes on; the command makes one.
func Run(t *testing.T, options Options) Result {
	var world *World
	synctest.Test(t, func(*testing.T) {
		world = newWorld(options)
		chance.Replace(world.chance)
		defer chance.Replace(nil)
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

func (world *World) play() {
	for _, machine := range world.machines {
		world.after(world.between("first start "+machine.name, 0, 300*clock.Millisecond), func() { machine.start(true) })
	}
	world.until(2 * clock.Second)
	if world.options.script != nil {
		go world.options.script(world)
	} else {
		world.trouble()
	}
	world.until(world.options.Length)
	world.settle()
	world.ending = true
	world.until(world.now() + 16*clock.Second)
	for _, machine := range world.machines {
		machine.gone = true
		machine.die()
	}
	synctest.Wait()
	// All that still waits for some time runs out; nothing is checked any more.
	for world.step(world.now() + 120*clock.Second) {
	}
}

// trouble sets the operators and, later, the troubles going.
func (world *World) trouble() {
	for number := range max(1, world.options.Operators) {
		go world.operate(fmt.Sprint("operator ", number))
	}
	world.until(8 * clock.Second)
	go world.plague()
	world.practise()
	world.measureService()
}

// until goes on to an instant, and checks after each step; a broken promise
// ends the run.
func (world *World) until(end clock.Span) {
	// Time passes also where nothing waits for it.
	world.after(end-world.now(), func() {})
	synctest.Wait()
	for !world.violated() && world.step(end) {
		world.look()
	}
}

// settle ends all trouble; within the time to catch up everything must be whole
// again, an order be acknowledged, and all read the same.
func (world *World) settle() {
	for _, one := range world.links {
		one.cut = false
	}
	for key := range world.links {
		world.heal(key[0], key[1])
	}
	world.ackLost, world.hurry = 0, false
	for _, machine := range world.machines {
		machine.trouble.stalled, machine.trouble.slow, machine.trouble.refuses, machine.trouble.full = false, 0, false, false
		if machine.frozen {
			machine.frozen = false
			machine.wakeUp()
		}
		machine.unstall()
		machine.comeBack()
	}
	begin := world.now()
	world.waitWhole(begin)
	world.until(begin + settling)
	if world.violated() {
		return
	}
	world.final()
}

// waitWhole goes on until all seats are filled and every voter holds all.
func (world *World) waitWhole(begin clock.Span) {
	whole, missing := false, ""
	for world.now()-begin < settling && !whole && !world.violated() {
		world.until(world.now() + 100*clock.Millisecond)
		whole, missing = world.sound()
	}
	if world.violated() {
		return
	}
	if !whole {
		world.violate("%s after all trouble ended, still: %s", settling, missing)
		return
	}
	world.watch.wholeTook = append(world.watch.wholeTook, world.now()-begin)
}

// final reads at every controller and gives one more order.
func (world *World) final() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		did, _ := world.give(world.zone(world.options.Site.Places[0].Zone, true))
		world.record(did)
		if did.outcome != taken {
			world.violate("an order in calm got no acknowledgement")
		}
		for range len(world.controllers()) {
			if _, found := world.readSettings(8 * clock.Second); !found {
				world.violate("GET /settings is not answered in calm")
			}
		}
	}()
	limit := world.now() + 30*clock.Second
	for world.now() < limit && !world.violated() {
		world.until(world.now() + 100*clock.Millisecond)
		select {
		case <-done:
			return
		default:
		}
	}
	if !world.violated() {
		world.violate("the last orders got no answer in calm")
	}
}

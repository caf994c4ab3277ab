package simulation

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// strikes are what may befall the owner of the configuration, again and again;
// "quiet" is nothing.
var strikes = map[string]func(world *World, machine *Machine) func(){
	"quiet": nil, "kill": goDown((*Machine).die), "freeze": freeze, "cut": cutOff(true, true),
}

// Strikes names what Options.Service may be.
func Strikes() []string { return sortedKeys(strikes) }

const (
	// glance is how often a run looks for acknowledgements, struck how long the
	// owner is away.
	glance = 5 * clock.Millisecond
	struck = 6 * clock.Second
)

// Service is how orders were taken while a run measured.
type Service struct {
	// Span is how long it measured, Changes how many changes of the
	// configuration were taken meanwhile, Acks how long each order took.
	Span    clock.Span
	Changes int
	Acks    []clock.Span
	// Silences are the longest times without an acknowledgement after each loss
	// of the owner, from the loss or a later acknowledgement on, until the next
	// loss.
	Silences []clock.Span
}

// serving is what a run that measures service remembers.
type serving struct {
	Service
	begin   clock.Span
	acks    int
	changes int
	// hit is when the owner was last lost, due when it may be again.
	hit     clock.Span
	due     clock.Span
	longest clock.Span
}

// measureService begins to measure service in a run that does.
func (world *World) measureService() {
	if _, found := strikes[world.options.Service]; !found {
		return
	}
	world.lock.Lock()
	world.serving = serving{begin: world.now(), acks: len(world.watch.acks), changes: world.counted["change: taken"], due: world.now() + clock.Second}
	world.lock.Unlock()
	world.after(0, world.glance)
}

// glance counts what was acknowledged, and strikes when it may.
func (world *World) glance() {
	serving := &world.serving
	// What comes after a broken promise is no service.
	if world.now() > world.options.Length || world.ending || world.violated() {
		if serving.hit > 0 {
			serving.Silences = append(serving.Silences, serving.longest)
		}
		return
	}
	world.after(glance, world.glance)
	world.lock.Lock()
	heard := world.watch.ackedAt
	serving.Span = world.now() - serving.begin
	serving.Changes = world.counted["change: taken"] - serving.changes
	serving.Acks = world.watch.acks[serving.acks:]
	world.lock.Unlock()
	if serving.hit > 0 {
		serving.longest = max(serving.longest, world.now()-max(heard, serving.hit))
	}
	strike := strikes[world.options.Service]
	if strike == nil || world.now() < serving.due || heard < serving.hit || world.now()+struck+world.catchUp() > world.options.Length {
		return
	}
	machine := world.owner("spec")
	if machine == nil {
		return
	}
	if serving.hit > 0 {
		serving.Silences = append(serving.Silences, serving.longest)
	}
	serving.hit, serving.longest, serving.due = world.now(), 0, world.now()+struck+world.catchUp()
	world.count("owners lost")
	world.note("owner lost", machine)
	end := strike(world, machine)
	world.after(struck, end)
}

// owner is the machine that owns a key, nil where it is not there.
func (world *World) owner(key string) *Machine {
	var newest ids.Epoch
	for _, machine := range world.seated() {
		for _, slot := range machine.life.control.Slots() {
			if slot.Key == key && slot.Promised.Compare(newest) > 0 {
				newest = slot.Promised
			}
		}
	}
	machine := world.hosts[hostOf(ids.Address(newest.Owner))]
	if machine == nil || machine.life == nil || machine.frozen {
		return nil
	}
	return machine
}

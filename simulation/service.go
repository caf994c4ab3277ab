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
func (w *World) measureService() {
	if _, found := strikes[w.options.Service]; !found {
		return
	}
	w.mu.Lock()
	w.serving = serving{begin: w.now(), acks: len(w.watch.acks), changes: w.counted["change: taken"], due: w.now() + clock.Second}
	w.mu.Unlock()
	w.after(0, w.glance)
}

// glance counts what was acknowledged, and strikes when it may.
func (w *World) glance() {
	serving := &w.serving
	// What comes after a broken promise is no service.
	if w.now() > w.options.Length || w.ending || w.violated() {
		if serving.hit > 0 {
			serving.Silences = append(serving.Silences, serving.longest)
		}
		return
	}
	w.after(glance, w.glance)
	w.mu.Lock()
	heard := w.watch.ackedAt
	serving.Span = w.now() - serving.begin
	serving.Changes = w.counted["change: taken"] - serving.changes
	serving.Acks = w.watch.acks[serving.acks:]
	w.mu.Unlock()
	if serving.hit > 0 {
		serving.longest = max(serving.longest, w.now()-max(heard, serving.hit))
	}
	strike := strikes[w.options.Service]
	if strike == nil || w.now() < serving.due || heard < serving.hit || w.now()+struck+w.catchUp() > w.options.Length {
		return
	}
	machine := w.owner("spec")
	if machine == nil {
		return
	}
	if serving.hit > 0 {
		serving.Silences = append(serving.Silences, serving.longest)
	}
	serving.hit, serving.longest, serving.due = w.now(), 0, w.now()+struck+w.catchUp()
	w.count("owners lost")
	w.note("owner lost", machine)
	end := strike(w, machine)
	w.after(struck, end)
}

// owner is the machine that owns a key, nil where it is not there.
func (w *World) owner(key string) *Machine {
	var newest ids.Epoch
	for _, machine := range w.seated() {
		for _, slot := range machine.life.control.Slots() {
			if slot.Key == key && slot.Promised.Compare(newest) > 0 {
				newest = slot.Promised
			}
		}
	}
	machine := w.hosts[hostOf(ids.Address(newest.Owner))]
	if machine == nil || machine.life == nil || machine.frozen {
		return nil
	}
	return machine
}

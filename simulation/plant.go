package simulation

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/state/wal"
)

// plant is a fault put into a run by a test, to show that it is found: it
// meddles with messages, answers, clocks and disks. The programs and the
// command never have one.
type plant struct {
	// Message may change a call, or answer it in the place of its taker; false
	// lets it go on.
	Message func(world *World, sent *message) (answered, bool)
	// Answer may change an answer on its way back.
	Answer func(world *World, target *Machine, sent *message, got answered) answered
	// Begin meddles with what a controller's process finds on its disk.
	Begin func(inner scope.Scope, life *life)
	// Disk stands between a controller and its disk.
	Disk func(disk wal.FS) wal.FS
	// Wiped is told of a disk that was lost.
	Wiped func(machine *Machine)
	// Heard may change an item of news before a router takes it in.
	Heard func(item gossip.Item) gossip.Item
	// Pace is how fast a machine's clock runs; 1 is right.
	Pace func(machine *Machine) float64
}

// tamper lets a planted fault answer a call.
func (w *World) tamper(sent *message) (answered, bool) {
	if w.options.plant.Message == nil {
		return answered{}, false
	}
	return w.options.plant.Message(w, sent)
}

// twist lets a planted fault change an answer.
func (w *World) twist(target *Machine, sent *message, got answered) answered {
	if w.options.plant.Answer == nil || got.err != nil {
		return got
	}
	return w.options.plant.Answer(w, target, sent, got)
}

// mount gives a controller its disk.
func (l *life) mount(ctx scope.Scope) wal.FS {
	planted := l.machine.world.options.plant
	if planted.Begin != nil {
		planted.Begin(ctx, l)
	}
	if planted.Disk == nil {
		return l.machine.disk.Mount()
	}
	return planted.Disk(l.machine.disk.Mount())
}

// slowFrom is when a planted clock begins to run at another pace.
const slowFrom = 4 * clock.Second

// pace is how fast a machine's clock runs.
func (m *Machine) pace() float64 {
	if m.world.options.plant.Pace == nil || m.world.now() < slowFrom {
		return 1
	}
	return m.world.options.plant.Pace(m)
}

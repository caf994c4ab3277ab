package simulation

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/state/wal"
)

// bug is a fault put into a run by a test, to show that it is found: it
// meddles with messages, answers, clocks and disks. The programs and the
// command never have one.
type bug struct {
	// InterceptRequest may change a call, or answer it in the place of its taker; false
	// lets it go on.
	InterceptRequest func(world *Cluster, sent *message) (reply, bool)
	// InterceptReply may change an answer on its way back.
	InterceptReply func(world *Cluster, target *Machine, sent *message, got reply) reply
	// BeforeStart meddles with what a controller's process finds on its disk.
	BeforeStart func(inner scope.Scope, life *process)
	// WrapFS stands between a controller and its disk.
	WrapFS func(disk wal.FS) wal.FS
	// OnWipe is told of a disk that was lost.
	OnWipe func(machine *Machine)
	// InterceptUpdate may change an item of news before a router takes it in.
	InterceptUpdate func(item gossip.Item) gossip.Item
	// ClockRate is how fast a machine's clock runs; 1 is right.
	ClockRate func(machine *Machine) float64
}

// interceptRequest lets a planted fault answer a call.
func (c *Cluster) interceptRequest(sent *message) (reply, bool) {
	if c.options.bug.InterceptRequest == nil {
		return reply{}, false
	}
	return c.options.bug.InterceptRequest(c, sent)
}

// interceptReply lets a planted fault change an answer.
func (c *Cluster) interceptReply(target *Machine, sent *message, got reply) reply {
	if c.options.bug.InterceptReply == nil || got.err != nil {
		return got
	}
	return c.options.bug.InterceptReply(c, target, sent, got)
}

// mountDisk gives a controller its disk.
func (p *process) mountDisk(ctx scope.Scope) wal.FS {
	planted := p.machine.cluster.options.bug
	if planted.BeforeStart != nil {
		planted.BeforeStart(ctx, p)
	}
	if planted.WrapFS == nil {
		return p.machine.disk.Mount()
	}
	return planted.WrapFS(p.machine.disk.Mount())
}

// clockSkewStart is when a planted clock begins to run at another pace.
const clockSkewStart = 4 * clock.Second

// clockRate is how fast a machine's clock runs.
func (m *Machine) clockRate() float64 {
	if m.cluster.options.bug.ClockRate == nil || m.cluster.now() < clockSkewStart {
		return 1
	}
	return m.cluster.options.bug.ClockRate(m)
}

package simulation

import (
	"onyxwell/control/gossip"
	"onyxwell/control/state/wal"
)

// bug is a bug that a test plants in a run, to show that the checks find it: it
// meddles with messages, clocks and disks. The programs and the command never
// have one. Fields that are nil meddle with nothing.
type bug struct {
	// InterceptRequest may change a call, or answer it in place of the receiver:
	// ok says that it did.
	InterceptRequest func(cluster *Cluster, sent *message) (resp reply, ok bool)
	// InterceptReply may change a reply on its way back.
	InterceptReply func(cluster *Cluster, target *Machine, sent *message, resp reply) reply
	// BeforeStart may change a controller's disk before its process opens it.
	BeforeStart func(process *process)
	// WrapFS stands between a controller and its disk.
	WrapFS func(disk wal.FS) wal.FS
	// OnWipe is called after a disk was lost.
	OnWipe func(machine *Machine)
	// InterceptUpdate may change a gossiped item before a router applies it.
	InterceptUpdate func(item gossip.Item) gossip.Item
	// ClockRate is how fast a machine's clock advances; 1 is right.
	ClockRate func(machine *Machine) float64
}

func (c *Cluster) interceptRequest(sent *message) (reply, bool) {
	if c.options.bug.InterceptRequest == nil {
		return reply{}, false
	}
	return c.options.bug.InterceptRequest(c, sent)
}

func (c *Cluster) interceptReply(target *Machine, sent *message, resp reply) reply {
	if c.options.bug.InterceptReply == nil || resp.err != nil {
		return resp
	}
	return c.options.bug.InterceptReply(c, target, sent, resp)
}

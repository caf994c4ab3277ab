package controller

import (
	"context"

	"onyxwell/control/counter"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
)

// HoldsLease reports whether this controller holds the lease of that name now,
// and the epoch of its last grant.
func (c *Controller) HoldsLease(name string) (epoch int64, held bool) {
	for _, holder := range c.leases {
		if holder.Name() == name {
			return holder.Held(c.clock.Now())
		}
	}
	return 0, false
}

// KnowsRouterCount reports whether this controller knows how many routers there may be. One
// that lost its disk does not until its zone's size is published, and as the issuer of
// quotas would grant next to nothing meanwhile.
func (c *Controller) KnowsRouterCount() bool { return c.daemon.Zones.LargestRouterCount() > 0 }

// Voters gives the voter set as this controller knows it.
func (c *Controller) Voters() register.VoterSet { return c.voter.Acceptor.Voters() }

// IsVoter reports whether this controller's disk votes.
func (c *Controller) IsVoter() bool { return c.voter.Voting() }

// Slots gives a copy of every slot on this controller's disk.
func (c *Controller) Slots() []register.Slot {
	return c.voter.Acceptor.Fetch(register.FetchRequest{}).Slots
}

// Counters gives the status of this controller's replica of the counters.
func (c *Controller) Counters() counter.Status { return c.counters.Status() }

// Read reads a key linearizably, as an operator's read does: the value is
// confirmed by a majority of the voters.
func (c *Controller) Read(ctx context.Context, key string) ([]byte, error) {
	return c.commands.Dispatch(ctx, command.Command{Key: key, Verb: command.VerbRead})
}

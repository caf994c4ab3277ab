package controller

import (
	"context"

	"onyxwell/control/counter"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
)

// HoldsLease reports whether this controller holds the lease with that name now,
// and the epoch under which it holds it or held it last.
func (c *Controller) HoldsLease(name string) (epoch int64, held bool) {
	for _, holder := range c.leases {
		if holder.Name() == name {
			return holder.Held(c.clock.Now())
		}
	}
	return 0, false
}

// KnowsRouterCount reports whether this controller knows how many routers there may be. A
// controller that lost its disk does not know it until the size of its zone is published.
// As the quota issuer it would grant next to nothing until then.
func (c *Controller) KnowsRouterCount() bool { return c.daemon.Zones.LargestRouterCount() > 0 }

// Voters returns the voter set as this controller knows it.
func (c *Controller) Voters() register.VoterSet { return c.voter.Acceptor.Voters() }

// IsVoter reports whether this controller currently votes.
func (c *Controller) IsVoter() bool { return c.voter.Voting() }

// Slots returns a copy of every register slot on this controller's disk.
func (c *Controller) Slots() []register.Slot {
	return c.voter.Acceptor.Fetch(register.FetchRequest{}).Slots
}

// Counters returns the status of this controller's replica of the counters.
func (c *Controller) Counters() counter.Status { return c.counters.Status() }

// Read performs a linearizable read of a key, like the admin API: a majority of
// the voters confirms the value.
func (c *Controller) Read(ctx context.Context, key string) ([]byte, error) {
	return c.commands.Dispatch(ctx, command.Command{Key: key, Verb: command.VerbRead})
}

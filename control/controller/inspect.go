package controller

import (
	"onyxwell/base/scope"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
)

// HoldsLease tells whether this controller does a duty now, and under which epoch.
func (c *Controller) HoldsLease(duty string) (int64, bool) {
	for _, holder := range c.leases {
		if holder.Name() == duty {
			return holder.Held(c.daemon.Scope.Now())
		}
	}
	return 0, false
}

// Voters gives the voters as this controller knows them.
func (c *Controller) Voters() register.VoterSet { return c.voter.Acceptor.Voters() }

// IsVoter tells whether this controller's disk votes.
func (c *Controller) IsVoter() bool { return c.voter.Voting() }

// Slots gives all that this controller's disk holds.
func (c *Controller) Slots() []register.Slot {
	return c.voter.Acceptor.Fetch(register.FetchRequest{}).Slots
}

// Read reads a key as an order of the operator does: confirmed by a majority.
func (c *Controller) Read(ctx scope.Scope, key string) ([]byte, error) {
	return c.commands.Dispatch(ctx, command.Command{Key: key, Verb: command.VerbRead})
}

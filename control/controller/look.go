package controller

import (
	"onyxwell/base/scope"
	"onyxwell/control/desk"
	"onyxwell/control/register"
)

// Held tells whether this controller does a duty now, and under which epoch.
func (made *Controller) Held(duty string) (int64, bool) {
	for _, holder := range made.duties {
		if holder.Duty() == duty {
			return holder.Held(made.common.Scope.Now())
		}
	}
	return 0, false
}

// Voters gives the voters as this controller knows them.
func (made *Controller) Voters() register.Voters { return made.own.Acceptor.Voters() }

// Voting tells whether this controller's disk votes.
func (made *Controller) Voting() bool { return made.own.Voting() }

// Slots gives all that this controller's disk holds.
func (made *Controller) Slots() []register.Slot {
	return made.own.Acceptor.Copy(register.CopyAsk{}).Slots
}

// Read reads a key as an order of the operator does: confirmed by a majority.
func (made *Controller) Read(inner scope.Scope, key string) ([]byte, error) {
	return made.front.Do(inner, desk.Order{Key: key, Verb: desk.VerbRead})
}

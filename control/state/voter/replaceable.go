package voter

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// isReplaceable reports whether a voter's place may be taken: it has left, or has
// been removed from the membership for ReplaceAfter and does not answer. A voter
// of which the membership knows only from the disk may just not have been heard of
// yet; one that was heard of in this run (it has an incarnation) waits for half.
// One that no daemon remembers has been gone for longer, which is counted here
// from the first call.
func (v *Voter) isReplaceable(address ids.Address) bool {
	member, ok := v.options.Membership.Find(address)
	if member.State != membership.Left && v.liveness.responsive(address) {
		// A report that it was removed is older than that, or wrong.
		v.mu.Lock()
		delete(v.unknownSince, address)
		v.mu.Unlock()
		return false
	}
	if ok {
		wait := v.options.ReplaceAfter
		if member.State == membership.Left {
			wait = 0
		} else if member.Incarnation > 0 {
			wait /= 2
		}
		return !member.Present() && v.options.Membership.StateAge(address) >= wait
	}
	now := v.clock.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	since, ok := v.unknownSince[address]
	if !ok {
		v.unknownSince[address] = now
	}
	return ok && now.Since(since) > 2*v.options.ReplaceAfter
}

// controllers returns the other controllers that may answer: those that the
// membership has alive, voters that are not replaceable, and the seeds.
func (v *Voter) controllers() []ids.Address {
	seen := map[ids.Address]bool{v.options.Address: true}
	var addresses []ids.Address
	add := func(address ids.Address) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, member := range v.aliveControllers() {
		add(member.Address)
	}
	for _, voter := range v.Acceptor.Voters().Members {
		if !v.isReplaceable(voter.Address) {
			add(voter.Address)
		}
	}
	for _, address := range v.options.Seeds {
		add(address)
	}
	return addresses
}

// aliveControllers returns the members of this daemon's role, itself included,
// that are alive.
func (v *Voter) aliveControllers() []membership.Member {
	role := v.options.Membership.Self().Role
	var alive []membership.Member
	for _, member := range v.options.Membership.Members() {
		if member.Role == role && member.State == membership.Alive {
			alive = append(alive, member)
		}
	}
	return alive
}

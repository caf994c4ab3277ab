package voter

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// isReplaceable reports whether a voter may be replaced: it has left, or it has
// been removed from the membership for ReplaceAfter and does not respond. The
// wait is that long because the membership may know a voter only from disk and
// not have received news of it yet. It is half as long for a voter of which news
// arrived during this run, so that its incarnation is known. A voter that no
// daemon remembers was removed long ago; it is replaceable after twice
// ReplaceAfter, counted from the first call.
func (v *Voter) isReplaceable(address ids.Address) bool {
	member, ok := v.options.Membership.Find(address)
	if member.State != membership.Left && v.liveness.responsive(address) {
		// The response is newer than the report of its removal, or that report is
		// wrong.
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

// controllers returns the other controllers that may respond: those alive in the
// membership, voters that are not replaceable, and the seeds.
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

// aliveControllers returns the members that are alive and have the role of this
// daemon, which is among them.
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

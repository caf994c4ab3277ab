package duty

import (
	"cmp"
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// planMoves returns the records of the parts that get a new holder now. If there are none,
// it revokes one part of a holder that has too many. To keep moves rare, a part moves only if
// its holder is gone or has released it, cannot reach the platform while others can, or has at
// least two parts more than another.
func (a *Assigner) planMoves(now clock.Instant) []PartRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	candidates := a.candidates(now)
	if len(candidates) == 0 {
		return nil
	}
	a.revokeUnreachable(candidates, now)
	load := a.loads()
	var changes []PartRecord
	for _, part := range a.sortedParts() {
		state := a.parts[part]
		if now.Before(state.busyUntil) || !slices.Contains(a.options.Parts, part) {
			continue
		}
		if state.record.Fence == 0 && now.Since(a.epochStartedAt) < a.options.TTL {
			// Before the first assignment of a part, wait for one TTL: other controllers may be
			// starting too.
			continue
		}
		if session := a.sessions[state.record.Holder]; session != nil && state.record.heldBy(session.process) && !state.revoking && session.eligible && now.Before(session.expiry) {
			// The part was just assigned, and its holder has not been notified yet.
			continue
		}
		chosen := a.chooseHolder(part, excluding(candidates, state.avoid), load)
		load[chosen.process.address]++
		changes = append(changes, PartRecord{
			Part: part, Holder: chosen.process.address, Incarnation: chosen.process.incarnation, Fence: state.record.Fence + 1,
		})
	}
	if len(changes) == 0 {
		a.revokeExcess(candidates, load, now)
	}
	return changes
}

// candidates returns the live sessions of eligible controllers, sorted by address: those that
// reach the platform, or all if none does. The caller holds a.mu.
func (a *Assigner) candidates(now clock.Instant) []*assignerSession {
	var all, reaching []*assignerSession
	for _, session := range a.sessions {
		if session.eligible && now.Before(session.expiry) {
			all = append(all, session)
			if !session.platformDown {
				reaching = append(reaching, session)
			}
		}
	}
	if len(reaching) > 0 {
		all = reaching
	}
	slices.SortFunc(all, func(a, b *assignerSession) int { return cmp.Compare(a.process.address, b.process.address) })
	return all
}

// excluding returns the candidates except the one at the address avoid, or all of them if no
// other is left.
func excluding(candidates []*assignerSession, avoid ids.Address) []*assignerSession {
	others := slices.DeleteFunc(slices.Clone(candidates), func(session *assignerSession) bool { return session.process.address == avoid })
	if len(others) == 0 {
		return candidates
	}
	return others
}

// loads returns the number of parts of each holder, without those being revoked. The caller
// holds a.mu.
func (a *Assigner) loads() map[ids.Address]int {
	load := map[ids.Address]int{}
	for _, state := range a.parts {
		if !state.revoking {
			load[state.record.Holder]++
		}
	}
	return load
}

// chooseHolder returns the new holder of a part: the first candidate in the part's zone that
// has less than its even share of the parts, or else the one with the fewest parts.
func (a *Assigner) chooseHolder(part Part, candidates []*assignerSession, load map[ids.Address]int) *assignerSession {
	share := (len(a.options.Parts) + len(candidates) - 1) / len(candidates)
	best := candidates[0]
	for _, candidate := range candidates {
		if candidate.zone == part.Zone() && load[candidate.process.address] < share {
			return candidate
		}
		if load[candidate.process.address] < load[best.process.address] {
			best = candidate
		}
	}
	return best
}

// revokeUnreachable revokes the parts of holders that cannot reach the platform while others
// can. A part that moved within the last two hand-over delays stays. The caller holds a.mu.
func (a *Assigner) revokeUnreachable(candidates []*assignerSession, now clock.Instant) {
	if candidates[0].platformDown {
		return
	}
	for _, state := range a.parts {
		session := a.sessions[state.record.Holder]
		if session != nil && session.platformDown && now.Since(state.movedAt) > 2*a.options.HandOverDelay {
			state.revoking = true
		}
	}
}

// revokeExcess revokes one part of a holder that has at least two more than another,
// preferably a part of a zone other than the holder's. A part that moved within the last two
// hand-over delays stays. The caller holds a.mu.
func (a *Assigner) revokeExcess(candidates []*assignerSession, load map[ids.Address]int, now clock.Instant) {
	least := load[candidates[0].process.address]
	for _, candidate := range candidates {
		least = min(least, load[candidate.process.address])
	}
	var excess *partState
	for _, part := range a.sortedParts() {
		state := a.parts[part]
		if state.revoking {
			// Only one part is revoked at a time.
			return
		}
		settled := now.Since(state.movedAt) > 2*a.options.HandOverDelay
		session := a.sessions[state.record.Holder]
		if !settled || session == nil || load[state.record.Holder] < least+2 {
			continue
		}
		if excess == nil || session.zone != part.Zone() {
			excess = state
		}
	}
	if excess != nil {
		excess.revoking, excess.avoid = true, excess.record.Holder
	}
}

package register

import (
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// pack can't fail: the types are this package's own, and a test packs each.
func pack[Message any](message Message) []byte {
	body, _ := transport.Pack(message)
	return body
}

// seeVoters reads the voters out of the cohort slot.
func (a *Acceptor) seeVoters() {
	if voters, found := votersOf(a.slots[CohortKey]); found {
		a.voters = voters
	}
}

func votersOf(slot Slot) (Voters, bool) {
	if len(slot.Accepted.Value) == 0 {
		return Voters{}, false
	}
	voters, err := transport.Unpack[Voters](slot.Accepted.Value)
	return voters, err == nil
}

// fenced tells whether a message may be acted on. The cohort key is open to
// takers of any generation: their majorities are counted over the old and the
// new voters, so they find the newest.
func (a *Acceptor) fenced(fence Fence, key string) Verdict {
	if a.store == nil || !a.voting() || fence.Incarnation != a.incarnation {
		return Misfenced
	}
	if key != CohortKey && (fence.Generation != a.voters.Generation || fence.Mark != a.voters.Mark()) {
		return Misfenced
	}
	return Granted
}

func (a *Acceptor) voting() bool { return a.votesUnder(a.voters) }

func (a *Acceptor) votesUnder(voters Voters) bool {
	seat, found := voters.seat(a.address)
	return found && a.identified && !seat.Learning && seat.Incarnation == a.incarnation
}

// seat finds the seat at an address.
func (v Voters) seat(address ids.Address) (Seat, bool) {
	for _, seat := range v.Seats {
		if seat.Address == address {
			return seat, true
		}
	}
	return Seat{}, false
}

// Copy gives what the voter's disk holds, and under which voters. What is not on
// the disk yet is not told: whoever learns here counts on it that this voter
// goes on fencing off older generations, and may lose its memory right after.
func (a *Acceptor) Copy(asked CopyAsk) CopyTold {
	a.mu.Lock()
	defer a.mu.Unlock()
	voters, _ := votersOf(a.kept[CohortKey])
	told := CopyTold{
		Incarnation: a.incarnation, Generation: voters.Generation,
		Mark: voters.Mark(), Voting: a.votesUnder(voters),
	}
	if asked.Key == "" {
		told.Slots = sorted(a.kept)
	} else if held, found := a.kept[asked.Key]; found {
		told.Slots = []Slot{held}
	}
	return told
}

// Leave has the voter give its seat to whoever asks for it; it votes until then.
func (a *Acceptor) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// Held gives how all keys stand on the voter's disk.
func (a *Acceptor) Held() HeldTold {
	copied := a.Copy(CopyAsk{})
	told := HeldTold{Incarnation: copied.Incarnation, Generation: copied.Generation, Mark: copied.Mark, Voting: copied.Voting}
	a.mu.Lock()
	told.Leaving = a.leaving
	a.mu.Unlock()
	told.Keys = make([]Held, 0, len(copied.Slots))
	for _, slot := range copied.Slots {
		told.Keys = append(told.Keys, Held{
			Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence,
		})
	}
	return told
}

// Voting tells whether this disk votes now.
func (a *Acceptor) Voting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voting()
}

// Voters gives the voters as this voter knows them.
func (a *Acceptor) Voters() Voters {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voters
}

// Incarnation tells which disk this is.
func (a *Acceptor) Incarnation() ids.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// Identified tells whether the disk has an identity; one without it is blank,
// whatever else stands on it.
func (a *Acceptor) Identified() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identified
}

// Learn takes slots that others hold: the newest value and the highest promise
// of each key. A value older than what was promised is left alone, just as if
// the owner's message had come too late; one who does not vote yet takes all. Without
// an error the disk has all that was taken.
func (a *Acceptor) Learn(slots []Slot) error {
	a.mu.Lock()
	var keys []string
	for _, seen := range slots {
		held := a.slot(seen.Key)
		mended := held
		if seen.Accepted.newer(held.Accepted) && (!a.voting() || seen.Accepted.Epoch.Compare(held.Promised) >= 0) {
			mended.Accepted = seen.Accepted
		}
		if seen.Promised.Compare(held.Promised) > 0 {
			mended.Promised = seen.Promised
		}
		keys = append(keys, seen.Key)
		if !same(mended, held) {
			a.set(mended)
		}
	}
	a.seeVoters()
	a.mu.Unlock()
	return a.keep(keys...)
}

// merge keeps the higher promise and the newer value of two states of a slot;
// records of one key may stand in the journal in either order.
func merge(left Slot, right Slot) Slot {
	if left.Promised.Compare(right.Promised) > 0 {
		right.Promised = left.Promised
	}
	if left.Accepted.newer(right.Accepted) {
		right.Accepted = left.Accepted
	}
	return right
}

package register

import (
	"onyxwell/base/ids"
	"onyxwell/control/courier"
)

// pack can't fail: the types are this package's own, and a test packs each.
func pack[Message any](message Message) []byte {
	body, _ := courier.Pack(message)
	return body
}

// seeVoters reads the voters out of the cohort slot.
func (acceptor *Acceptor) seeVoters() {
	if voters, found := votersOf(acceptor.slots[CohortKey]); found {
		acceptor.voters = voters
	}
}

func votersOf(slot Slot) (Voters, bool) {
	if len(slot.Accepted.Value) == 0 {
		return Voters{}, false
	}
	voters, err := courier.Unpack[Voters](slot.Accepted.Value)
	return voters, err == nil
}

// fenced tells whether a message may be acted on. The cohort key is open to
// takers of any generation: their majorities are counted over the old and the
// new voters, so they find the newest.
func (acceptor *Acceptor) fenced(fence Fence, key string) Verdict {
	if acceptor.store == nil || !acceptor.voting() || fence.Incarnation != acceptor.incarnation {
		return Misfenced
	}
	if key != CohortKey && (fence.Generation != acceptor.voters.Generation || fence.Mark != acceptor.voters.Mark()) {
		return Misfenced
	}
	return Granted
}

func (acceptor *Acceptor) voting() bool { return acceptor.votesUnder(acceptor.voters) }

func (acceptor *Acceptor) votesUnder(voters Voters) bool {
	seat, found := voters.seat(acceptor.address)
	return found && acceptor.identified && !seat.Learning && seat.Incarnation == acceptor.incarnation
}

// seat finds the seat at an address.
func (voters Voters) seat(address ids.Address) (Seat, bool) {
	for _, seat := range voters.Seats {
		if seat.Address == address {
			return seat, true
		}
	}
	return Seat{}, false
}

// Copy gives what the voter's disk holds, and under which voters. What is not on
// the disk yet is not told: whoever learns here counts on it that this voter
// goes on fencing off older generations, and may lose its memory right after.
func (acceptor *Acceptor) Copy(asked CopyAsk) CopyTold {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	voters, _ := votersOf(acceptor.kept[CohortKey])
	told := CopyTold{
		Incarnation: acceptor.incarnation, Generation: voters.Generation,
		Mark: voters.Mark(), Voting: acceptor.votesUnder(voters),
	}
	if asked.Key == "" {
		told.Slots = sorted(acceptor.kept)
	} else if held, found := acceptor.kept[asked.Key]; found {
		told.Slots = []Slot{held}
	}
	return told
}

// Leave has the voter give its seat to whoever asks for it; it votes until then.
func (acceptor *Acceptor) Leave() {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	acceptor.leaving = true
}

// Held gives how all keys stand on the voter's disk.
func (acceptor *Acceptor) Held() HeldTold {
	copied := acceptor.Copy(CopyAsk{})
	told := HeldTold{Incarnation: copied.Incarnation, Generation: copied.Generation, Mark: copied.Mark, Voting: copied.Voting}
	acceptor.lock.Lock()
	told.Leaving = acceptor.leaving
	acceptor.lock.Unlock()
	told.Keys = make([]Held, 0, len(copied.Slots))
	for _, slot := range copied.Slots {
		told.Keys = append(told.Keys, Held{
			Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence,
		})
	}
	return told
}

// Voting tells whether this disk votes now.
func (acceptor *Acceptor) Voting() bool {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	return acceptor.voting()
}

// Voters gives the voters as this voter knows them.
func (acceptor *Acceptor) Voters() Voters {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	return acceptor.voters
}

// Incarnation tells which disk this is.
func (acceptor *Acceptor) Incarnation() ids.Incarnation {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	return acceptor.incarnation
}

// Identified tells whether the disk has an identity; one without it is blank,
// whatever else stands on it.
func (acceptor *Acceptor) Identified() bool {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	return acceptor.identified
}

// Learn takes slots that others hold: the newest value and the highest promise
// of each key. A value older than what was promised is left alone, just as if
// the owner's message had come too late; one who does not vote yet takes all. Without
// an error the disk has all that was taken.
func (acceptor *Acceptor) Learn(slots []Slot) error {
	acceptor.lock.Lock()
	var keys []string
	for _, seen := range slots {
		held := acceptor.slot(seen.Key)
		mended := held
		if seen.Accepted.newer(held.Accepted) && (!acceptor.voting() || seen.Accepted.Epoch.Compare(held.Promised) >= 0) {
			mended.Accepted = seen.Accepted
		}
		if seen.Promised.Compare(held.Promised) > 0 {
			mended.Promised = seen.Promised
		}
		keys = append(keys, seen.Key)
		if !same(mended, held) {
			acceptor.set(mended)
		}
	}
	acceptor.seeVoters()
	acceptor.lock.Unlock()
	return acceptor.keep(keys...)
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

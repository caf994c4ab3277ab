package register

import (
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// encode can't fail: the types are this package's own, and a test packs each.
func encode[Message any](message Message) []byte {
	body, _ := transport.Marshal(message)
	return body
}

// refreshVoters reads the voters out of the cohort slot.
func (a *Acceptor) refreshVoters() {
	if voters, found := decodeVoters(a.slots[VotersKey]); found {
		a.voters = voters
	}
}

func decodeVoters(slot Slot) (VoterSet, bool) {
	if len(slot.Accepted.Value) == 0 {
		return VoterSet{}, false
	}
	voters, err := transport.Unmarshal[VoterSet](slot.Accepted.Value)
	return voters, err == nil
}

// checkFence tells whether a message may be acted on. The cohort key is open to
// takers of any generation: their majorities are counted over the old and the
// new voters, so they find the newest.
func (a *Acceptor) checkFence(fence FencingToken, key string) Verdict {
	if a.store == nil || !a.voting() || fence.Incarnation != a.incarnation {
		return Fenced
	}
	if key != VotersKey && (fence.Generation != a.voters.Generation || fence.Fingerprint != a.voters.Fingerprint()) {
		return Fenced
	}
	return Granted
}

func (a *Acceptor) voting() bool { return a.votesIn(a.voters) }

func (a *Acceptor) votesIn(voters VoterSet) bool {
	seat, found := voters.member(a.address)
	return found && a.identified && !seat.Learner && seat.Incarnation == a.incarnation
}

// member finds the seat at an address.
func (v VoterSet) member(address ids.Address) (Member, bool) {
	for _, seat := range v.Members {
		if seat.Address == address {
			return seat, true
		}
	}
	return Member{}, false
}

// Fetch gives what the voter's disk holds, and under which voters. What is not on
// the disk yet is not told: whoever learns here counts on it that this voter
// goes on fencing off older generations, and may lose its memory right after.
func (a *Acceptor) Fetch(asked FetchRequest) FetchResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	voters, _ := decodeVoters(a.durable[VotersKey])
	told := FetchResponse{
		Incarnation: a.incarnation, Generation: voters.Generation,
		Fingerprint: voters.Fingerprint(), Voting: a.votesIn(voters),
	}
	if asked.Key == "" {
		told.Slots = sortedSlots(a.durable)
	} else if held, found := a.durable[asked.Key]; found {
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

// Digest gives how all keys stand on the voter's disk.
func (a *Acceptor) Digest() DigestResponse {
	copied := a.Fetch(FetchRequest{})
	told := DigestResponse{Incarnation: copied.Incarnation, Generation: copied.Generation, Fingerprint: copied.Fingerprint, Voting: copied.Voting}
	a.mu.Lock()
	told.Leaving = a.leaving
	a.mu.Unlock()
	told.Keys = make([]KeyDigest, 0, len(copied.Slots))
	for _, slot := range copied.Slots {
		told.Keys = append(told.Keys, KeyDigest{
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
func (a *Acceptor) Voters() VoterSet {
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
		held := a.slotOf(seen.Key)
		mended := held
		if seen.Accepted.newerThan(held.Accepted) && (!a.voting() || seen.Accepted.Epoch.Compare(held.Promised) >= 0) {
			mended.Accepted = seen.Accepted
		}
		if seen.Promised.Compare(held.Promised) > 0 {
			mended.Promised = seen.Promised
		}
		keys = append(keys, seen.Key)
		if !equalSlots(mended, held) {
			a.setSlot(mended)
		}
	}
	a.refreshVoters()
	a.mu.Unlock()
	return a.persist(keys...)
}

// mergeSlots keeps the higher promise and the newer value of two states of a slot;
// records of one key may stand in the journal in either order.
func mergeSlots(left Slot, right Slot) Slot {
	if left.Promised.Compare(right.Promised) > 0 {
		right.Promised = left.Promised
	}
	if left.Accepted.newerThan(right.Accepted) {
		right.Accepted = left.Accepted
	}
	return right
}

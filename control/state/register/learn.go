package register

import (
	"context"

	"onyxwell/base/ids"
)

// countAnswering counts the other voters that answer at present: replacing a voter
// while too few do would leave the cluster without a quorum. returned reports
// whether the member at index, which is to be replaced, answers itself, still
// votes and is not leaving; it is not lost then, whatever others report. The call
// does not wait for suspected voters, which have left several requests of this
// machine unanswered.
func (j *Joiner) countAnswering(ctx context.Context, voters VoterSet, index int) (answering int, returned bool) {
	j.gatherDigests(ctx, voters, func(address ids.Address, digest DigestResponse) {
		member, _ := voters.member(address)
		if !digest.Voting || member.Learner {
			return
		}
		if index < len(voters.Members) && voters.Members[index].Address == address {
			returned = digest.Incarnation == member.Incarnation && !digest.Leaving
		} else {
			answering++
		}
	})
	return answering, returned
}

// newestCopy is the newest digest of a key among the replicas, the replica that
// sent it, and the highest epoch that any replica has promised for the key.
type newestCopy struct {
	digest   KeyDigest
	promised ids.Epoch
	source   ids.Address
}

// newestCopies collects the newest copy of every key; keys is in the order in
// which they were first received.
type newestCopies struct {
	keys   []string
	copies map[string]newestCopy
}

func (n *newestCopies) add(address ids.Address, digests []KeyDigest) {
	for _, digest := range digests {
		newest, known := n.copies[digest.Key]
		if !known {
			n.keys = append(n.keys, digest.Key)
		}
		if !known || digest.proposal().newerThan(newest.digest.proposal()) {
			newest.digest, newest.source = digest, address
		}
		if digest.Promised.Compare(newest.promised) > 0 {
			newest.promised = digest.Promised
		}
		n.copies[digest.Key] = newest
	}
}

// learnFromVoters learns the newest state of each key from at least the required
// number of other voters, all of which fence off older voter sets than this one.
// It fetches only the values that this disk lacks, and reports whether all that it
// learned is durable here.
func (j *Joiner) learnFromVoters(ctx context.Context, voters VoterSet, required int) bool {
	newest := newestCopies{copies: map[string]newestCopy{}}
	// Replaceable voters are asked too: they may still answer.
	gatherUntil(j, j.otherVoters(voters), j.suspected, func() bool { return required <= 0 }, func(address ids.Address) (DigestResponse, bool) {
		member, _ := voters.member(address)
		if member.Learner {
			return DigestResponse{}, false
		}
		digest, err := j.fetchDigest(ctx, address)
		if err != nil {
			return digest, false
		}
		j.learnNewerVoters(ctx, address, voters, digest)
		return digest, digest.Voting && digest.Fingerprint == voters.Fingerprint() && digest.Incarnation == member.Incarnation
	}, func(address ids.Address, digest DigestResponse) {
		required--
		newest.add(address, digest.Keys)
	})
	if required > 0 {
		return false
	}
	var slots []Slot
	for _, key := range newest.keys {
		slot, ok := j.fetchSlot(ctx, key, newest.copies[key])
		if !ok {
			return false
		}
		slots = append(slots, slot)
	}
	return j.Acceptor.Learn(slots) == nil
}

// fetchSlot returns the slot to learn, with the proposal fetched from the source if
// this disk lacks it. It returns false if the fetch fails, or if the source no
// longer holds that proposal or a newer one.
func (j *Joiner) fetchSlot(ctx context.Context, key string, newest newestCopy) (Slot, bool) {
	slot := Slot{Key: key, Promised: newest.promised}
	if !newest.digest.proposal().newerThan(j.Acceptor.Slot(key).Accepted) {
		return slot, true
	}
	ctx, cancel := j.withRequestTimeout(ctx)
	defer cancel()
	resp, err := j.Replicas.Fetch(ctx, newest.source, FetchRequest{Key: key})
	if err != nil || len(resp.Slots) != 1 || newest.digest.proposal().newerThan(resp.Slots[0].Accepted) {
		return slot, false
	}
	slot.Accepted = resp.Slots[0].Accepted
	return slot, true
}

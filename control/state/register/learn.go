package register

import (
	"context"

	"onyxwell/base/ids"
)

// countAnswering counts the other voters that answer now: a replacement while too
// few do would leave the cluster without a quorum. It also reports whether the
// member to be replaced answers itself and still votes; it is not lost then,
// whatever others say. Suspected voters are not awaited: they have left several
// requests of this machine unanswered.
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

// newestCopy is the newest digest of one key among the replicas, the replica that
// holds it, and the highest epoch that any of them promised.
type newestCopy struct {
	digest   KeyDigest
	promised ids.Epoch
	source   ids.Address
}

// newestCopies are the newest digests of all keys, in the order of their arrival.
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

// learnFromVoters takes over the newest state of each key from at least so many
// other voters, all of which fence off older voter sets than this. Values travel
// only if this disk lacks them. It reports whether all of it is durable here.
func (j *Joiner) learnFromVoters(ctx context.Context, voters VoterSet, required int) bool {
	newest := newestCopies{copies: map[string]newestCopy{}}
	// Voters that seem lost are asked too: they may be there all the same.
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

// fetchSlot returns the slot to learn, with its value if this disk lacks it. It
// fails if the source no longer holds the proposal or a newer one.
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

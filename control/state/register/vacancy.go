package register

import (
	"slices"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// replaceMember replaces one seat, or adds one behind the last; the change is dropped
// where the voters are no longer those that it was made for, or the one to be
// replaced is back: this is asked last of all, right before the change is sent.
func (j *Joiner) replaceMember(known VoterSet, index int, own Member) UpdateFunc {
	return func(current []byte) ([]byte, error) {
		voters, err := transport.Unmarshal[VoterSet](current)
		if err != nil || voters.Fingerprint() != known.Fingerprint() {
			return nil, errkind.Errorf(errkind.NoQuorum, "the voters changed")
		}
		if index < len(voters.Members) {
			seated := voters.Members[index]
			if seated.Address != j.Address && !seated.Learner && !j.replaceable(seated.Address) {
				return nil, errkind.Errorf(errkind.NoQuorum, "%s is back", seated.Address)
			}
		}
		next := VoterSet{Generation: voters.Generation + 1}
		next.Members = append(next.Members, voters.Members...)
		if index == len(next.Members) {
			next.Members = append(next.Members, own)
		}
		next.Members[index] = own
		return transport.Marshal(next)
	}
}

// stalledLearnerRuns is how many runs one that stands by leaves another's learning alone.
const stalledLearnerRuns = 8

// placementDeferralRuns is how many runs one that stands where enough have a seat leaves one
// that is free to others.
const placementDeferralRuns = 2

// noteStalledRun notes one more run that finds a seat of another learning.
func (j *Joiner) noteStalledRun() {
	voters := j.Acceptor.Voters()
	if mark := voters.Fingerprint(); mark != j.stalledFingerprint {
		j.stalledFingerprint, j.stalledRuns = mark, 0
	}
	j.stalledRuns++
}

// findVacancy finds the seat to ask for: this machine's own, or while nobody else is
// learning, that of a voter that has been gone for long, or a further one. The
// seat may lie where too many stand already only if it was so before. A
// newcomer that is there but gets nowhere loses its seat, which counts for
// nothing: two replacements don't wait for each other for ever.
func (j *Joiner) findVacancy(voters VoterSet) (int, bool) {
	gone, found, stuck, learning := 0, false, 0, false
	var others []ids.Address
	for index, voter := range voters.Members {
		if voter.Address == j.Address {
			return index, true
		}
		others = append(others, voter.Address)
		if j.replaceable(voter.Address) {
			gone, found = index, true
		} else if voter.Learner {
			stuck, learning = index, true
		}
	}
	if learning {
		return stuck, j.stalledRuns > stalledLearnerRuns
	}
	if found {
		// One that stands where fewer have a seat goes first.
		return gone, j.PlacementAllowed(slices.Delete(others, gone, gone+1)) || j.stalledRuns > placementDeferralRuns
	}
	return len(others), len(others) < j.TargetVoters && j.PlacementAllowed(others)
}

// HasVacancy tells, without a message, whether there seems to be a seat to ask for.
func (j *Joiner) HasVacancy() bool {
	_, found := j.findVacancy(j.Acceptor.Voters())
	return found
}

// learnQuorum is how many other voters a new seat must learn from, so that every
// majority which its vote could have been part of is met. Where as many disks
// are blank as leave a majority, that is every disk which is not.
func learnQuorum(seats int) int { return seats - quorum(seats) + 1 }

// otherVoters gives the voters besides this machine.
func (j *Joiner) otherVoters(voters VoterSet) []ids.Address {
	var found []ids.Address
	for _, seat := range voters.Members {
		if seat.Address != j.Address {
			found = append(found, seat.Address)
		}
	}
	return found
}

// withRequestTimeout gives one question its limit.
func (j *Joiner) withRequestTimeout(ctx scope.Scope) (scope.Scope, func()) {
	if j.RequestTimeout == 0 {
		return ctx, func() {}
	}
	short, release := ctx.WithTimeout(j.RequestTimeout)
	return short, func() { release() }
}

// countAnswering counts the other voters that answer now; a seat that is taken while
// too few do would leave the voters short. It tells too whether the one whose
// seat is to be taken answers itself and still votes: it is not gone then,
// whatever others say. One in doubt has left several questions of this machine
// without an answer by then, and is not waited for once more.
func (j *Joiner) countAnswering(ctx scope.Scope, voters VoterSet, index int) (int, bool) {
	found, back := 0, false
	taken := func(address ids.Address) bool {
		return index < len(voters.Members) && voters.Members[index].Address == address
	}
	gather(j, j.otherVoters(voters), j.suspected, always, func(address ids.Address) (DigestResponse, bool) {
		told, err := j.fetchDigest(ctx, address)
		return told, err == nil
	}, func(address ids.Address, told DigestResponse) {
		seat, _ := voters.member(address)
		if !told.Voting || seat.Learner {
			return
		}
		if taken(address) {
			back = told.Incarnation == seat.Incarnation && !told.Leaving
		} else {
			found++
		}
	})
	return found, back
}

// fetchDigest asks one how it stands, for as long as one question may take.
func (j *Joiner) fetchDigest(ctx scope.Scope, address ids.Address) (DigestResponse, error) {
	short, release := j.withRequestTimeout(ctx)
	defer release()
	return j.Replicas.Held(short, address)
}

// newestCopy is the newest of one key that others told of.
type newestCopy struct {
	digest   KeyDigest
	promised ids.Epoch
	source   ids.Address
}

// learnFromVoters takes the newest of each key from so many other voters, all of whom
// fence off older voters than these; values travel only where this disk lacks
// them.
func (j *Joiner) learnFromVoters(ctx scope.Scope, voters VoterSet, missing int) bool {
	found := map[string]newestCopy{}
	var keys []string
	// Those that seem gone are asked too: they may be there all the same, and so
	// many are needed.
	gather(j, j.otherVoters(voters), j.suspected, func() bool { return missing <= 0 }, func(address ids.Address) (DigestResponse, bool) {
		voter, _ := voters.member(address)
		if voter.Learner {
			return DigestResponse{}, false
		}
		told, err := j.fetchDigest(ctx, address)
		j.learnNewerVoters(ctx, address, voters, told, err)
		return told, err == nil && told.Voting && told.Fingerprint == voters.Fingerprint() && told.Incarnation == voter.Incarnation
	}, func(address ids.Address, told DigestResponse) {
		missing--
		for _, held := range told.Keys {
			known, seen := found[held.Key]
			if !seen {
				keys = append(keys, held.Key)
			}
			if !seen || held.proposal().newerThan(known.digest.proposal()) {
				known.digest, known.source = held, address
			}
			if held.Promised.Compare(known.promised) > 0 {
				known.promised = held.Promised
			}
			found[held.Key] = known
		}
	})
	if missing > 0 {
		return false
	}
	var slots []Slot
	for _, key := range keys {
		slot, whole := j.fetchSlot(ctx, key, found[key])
		if !whole {
			return false
		}
		slots = append(slots, slot)
	}
	return j.Acceptor.Learn(slots) == nil
}

// fetchSlot makes the slot to learn, with its value where this disk lacks it.
func (j *Joiner) fetchSlot(ctx scope.Scope, key string, seen newestCopy) (Slot, bool) {
	slot := Slot{Key: key, Promised: seen.promised}
	if !seen.digest.proposal().newerThan(j.Acceptor.Slot(key).Accepted) {
		return slot, true
	}
	short, release := j.withRequestTimeout(ctx)
	defer release()
	told, err := j.Replicas.Copy(short, seen.source, FetchRequest{Key: key})
	if err != nil || len(told.Slots) != 1 || seen.digest.proposal().newerThan(told.Slots[0].Accepted) {
		return slot, false
	}
	slot.Accepted = told.Slots[0].Accepted
	return slot, true
}

package register

import (
	"errors"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// ReplicaClient is how a joiner asks others for what they hold, and mends them.
type ReplicaClient interface {
	Copy(inner scope.Scope, address ids.Address, asked FetchRequest) (FetchResponse, error)
	Held(inner scope.Scope, address ids.Address) (DigestResponse, error)
	Learn(inner scope.Scope, address ids.Address, slots []Slot) error
}

// Joiner brings a disk that does not vote to a seat.
//
// Three ways to replace a voter were weighed. *Learn, add, remove* makes the
// voters one more for a while: with the replaced one gone for good, three of
// four are needed then, and a newcomer that dies there leaves two of four, for
// ever. *Joint majorities* (each change needs the old and the new voters until
// the end) have the same need of the newcomer, or of every other old voter.
// *Learning seats* put the newcomer in the place of the one that is gone, which
// counted for nothing either: no moment bears fewer losses than the moment
// before, a newcomer may die at any step, and its seat is taken again. What
// they cost is the vote of one that was only cut off, or comes back with its
// disk, from the seating to the end of the learning: a joiner therefore learns
// *before* it is seated, so that only what came since is learnt in between, and
// goes through all steps in one run. Learning once is not enough: until the seat
// is taken, changes may still be answered by majorities of the one replaced.
type Joiner struct {
	Address  ids.Address
	Acceptor *Acceptor
	Proposer *Proposer
	Replicas ReplicaClient
	// Peers gives the controllers worth asking, Gone whether a voter has been
	// away for so long that its seat may be taken.
	Peers       func() []ids.Address
	Replaceable func(address ids.Address) bool
	// Suspected tells whether one does not answer now: it is asked all the same, but
	// not waited for where the others suffice. It may be missing.
	Suspected func(address ids.Address) bool
	// TargetVoters is how many seats there should be; Fits tells whether a seat here
	// beside the others leaves no zone or region with too many of them.
	TargetVoters     int
	PlacementAllowed func(others []ids.Address) bool
	// RequestTimeout is how long one question may take; none says as long as the whole.
	RequestTimeout clock.Span
	// Spawn runs a question; tests run it in place.
	Spawn func(ask func())

	// missedByMajority are the voters that a majority of them say is away. A key's writer
	// reads it too, while another run may be under way: it is swapped whole.
	missedByMajority atomic.Pointer[map[ids.Address]bool]
	// returned are those that seemed gone and answered in this run.
	returned atomic.Pointer[map[ids.Address]bool]
	// stalledRuns is how many times another was found learning under the same mark.
	stalledRuns        int
	stalledFingerprint int64
	// pendingEpoch is the newest promise of the voters' key that nothing was written under.
	pendingEpoch ids.Epoch
}

// ErrNoVacancy says that all seats that are wanted are taken by others.
var ErrNoVacancy = errors.New("register: no seat is free")

// maxMembershipChanges bounds how many changes of voters one run makes: to be seated, and to
// vote, each once more where another came in between.
const maxMembershipChanges = 4

// Join goes the way to a seat: find the voters, learn what they hold, take the
// place of this machine's older disk, of a voter that is gone, or a further one
// while fewer than wanted are there, learn what came since, and only then vote.
func (j *Joiner) Join(ctx scope.Scope) error {
	j.returned.Store(nil)
	j.discoverVoters(ctx)
	j.noteStalledRun()
	for range maxMembershipChanges {
		voters := j.Acceptor.Voters()
		if voters.Generation == 0 {
			return errkind.Errorf(errkind.NoQuorum, "no voters are known")
		}
		if j.Acceptor.Voting() {
			return nil
		}
		if err := j.joinStep(ctx, voters); err != nil {
			return err
		}
		j.forEach(j.withoutReplaceable(j.otherVoters(voters)), func(address ids.Address) { j.LearnVoters(ctx, address) })
	}
	return nil
}

func (j *Joiner) joinStep(ctx scope.Scope, voters VoterSet) error {
	own := Member{Address: j.Address, Incarnation: j.Acceptor.Incarnation(), Learner: true}
	index, found := j.findVacancy(voters)
	if !found {
		return ErrNoVacancy
	}
	size, seated := len(voters.Members), Member{}
	if index < size {
		seated = voters.Members[index]
		if seated.Address == own.Address && seated.Incarnation == own.Incarnation && !seated.Learner {
			return nil
		}
	} else {
		// A further seat has no votes of before, which a newcomer would have to
		// stand for: it votes from the start. Any majority that holds a change
		// meets every majority of one seat more.
		own.Learner, size = false, size+1
	}
	if seated != own {
		found, back := j.countAnswering(ctx, voters, index)
		if back {
			// Another seat may be free all the same.
			j.markReturned(seated.Address)
			return j.joinStep(ctx, voters)
		}
		if found < max(learnQuorum(size), quorum(size)) {
			return errkind.Errorf(errkind.NoQuorum, "too few others to take a seat")
		}
	}
	if !j.learnFromVoters(ctx, voters, learnQuorum(size)) {
		if j.Acceptor.Voters().Fingerprint() != voters.Fingerprint() {
			// They are others by now: whoever changed them may still be at it.
			return nil
		}
		// A voter that missed the change of voters, and promised a taker since,
		// can't be mended by copies: the key is written again.
		if err := j.Proposer.Reacquire(ctx, VotersKey); err != nil {
			return err
		}
		return errkind.Errorf(errkind.NoQuorum, "too few others to learn from")
	}
	if seated == own {
		own.Learner = false
	}
	_, err := j.Proposer.Update(ctx, VotersKey, j.replaceMember(voters, index, own))
	return err
}

// LearnVoters takes the voters that another controller knows.
func (j *Joiner) LearnVoters(ctx scope.Scope, address ids.Address) {
	short, release := j.withRequestTimeout(ctx)
	defer release()
	told, err := j.Replicas.Copy(short, address, FetchRequest{Key: VotersKey})
	if err != nil {
		return
	}
	for _, slot := range told.Slots {
		slot.Promised = ids.Epoch{}
		_ = j.Acceptor.Learn([]Slot{slot})
	}
}

// ReconcileVoters repairs whichever side of a refused message knows only older voters; of
// one generation two takers may have proposed different ones.
func (j *Joiner) ReconcileVoters(ctx scope.Scope, address ids.Address, theirs int64) {
	own := j.Acceptor.Voters().Generation
	if theirs >= own {
		j.LearnVoters(ctx, address)
	}
	if theirs <= own {
		slot := j.Acceptor.Slot(VotersKey)
		slot.Promised = ids.Epoch{}
		_ = j.Replicas.Learn(ctx, address, []Slot{slot})
	}
}

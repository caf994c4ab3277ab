package register

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ErrNoVacancy is returned by Join if all places of the voter set are taken.
var ErrNoVacancy = errors.New("register: no vacancy in the voter set")

// ReplicaClient exchanges state with other controllers. Fetch and FetchDigest only read;
// Learn is Acceptor.Learn over there.
type ReplicaClient interface {
	Fetch(ctx context.Context, address ids.Address, req FetchRequest) (FetchResponse, error)
	FetchDigest(ctx context.Context, address ids.Address) (DigestResponse, error)
	Learn(ctx context.Context, address ids.Address, slots []Slot) error
}

// Joiner makes a controller whose disk does not vote a voter.
//
// Of three ways to replace a voter it takes the third:
//   - Learn, add, remove enlarges the voter set for a while. With the replaced
//     voter lost for good three of four are needed then, and a newcomer that is
//     lost meanwhile leaves two of four for ever.
//   - Joint majorities (every change needs the old and the new set until the end)
//     need the newcomer just as much, or every other old voter.
//   - A learner takes the place of the lost voter, whose vote was missing anyway:
//     the cluster never tolerates fewer losses than before, the newcomer may be
//     lost at any step, and its place can be taken again.
//
// The third costs the vote of a voter that was only partitioned, or comes back
// with its disk, from the replacement to the end of the learning. A joiner
// therefore learns before it becomes a learner, so that only what came since is
// learned after, and takes all steps in one run. Learning before is not enough:
// until the replacement is committed, majorities with the replaced voter may
// acknowledge updates.
//
// Join belongs to one goroutine; the other methods may be called from any.
type Joiner struct {
	// Clock measures RequestTimeout; it is required where that is set.
	Clock    clock.Clock
	Address  ids.Address
	Acceptor *Acceptor
	Proposer *Proposer
	Replicas ReplicaClient
	// Peers returns the controllers worth asking for the voter set.
	Peers func() []ids.Address
	// Replaceable reports whether a voter was lost for so long that it may be
	// replaced.
	Replaceable func(address ids.Address) bool
	// Suspected reports whether a replica seems not to answer now. It is sent
	// requests all the same, but not awaited if the others suffice. Nil suspects
	// none.
	Suspected func(address ids.Address) bool
	// TargetVoters is the size that the voter set should have.
	TargetVoters int
	// PlacementAllowed reports whether a voter here, beside the others, leaves no
	// zone or region with too many of them.
	PlacementAllowed func(others []ids.Address) bool
	// RequestTimeout bounds one request; 0 leaves the bound of the whole run.
	RequestTimeout time.Duration
	// Spawn runs a request in the background; nil starts a goroutine. Tests run it
	// in place.
	Spawn func(task func())

	// unreachableByMajority are the voters that a majority of them misses, returned
	// those that seemed lost and answered in this run. A key's writer reads both,
	// perhaps during the next run, so the maps are replaced, never changed.
	unreachableByMajority atomic.Pointer[map[ids.Address]bool]
	returned              atomic.Pointer[map[ids.Address]bool]
	// stalledRuns counts the runs since the voter set became the present one.
	stalledRuns        int
	stalledFingerprint int64
	// pendingEpoch is the highest epoch promised for VotersKey that nothing had
	// been written under at the last poll.
	pendingEpoch ids.Epoch
}

// maxMembershipChanges bounds the changes of voters that one run makes: to become
// a learner and to become a voter, each once more if another change came first.
const maxMembershipChanges = 4

// Join runs once through all steps to a vote: learn the newest voter set, learn
// the state of its voters, take the place of this machine's former disk, of a
// lost voter, or a further one while fewer than TargetVoters are there, learn
// what came since, and only then vote. It returns nil once the disk votes.
func (j *Joiner) Join(ctx context.Context) error {
	j.returned.Store(nil)
	j.discoverVoters(ctx)
	j.countStalledRun()
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
		gather(j, j.withoutReplaceable(j.otherVoters(voters)), j.voterSetRequest(ctx), ignoreResponse)
	}
	return nil
}

// joinStep makes one change of the voter set towards a vote.
func (j *Joiner) joinStep(ctx context.Context, voters VoterSet) error {
	index, ok := j.findVacancy(voters)
	if !ok {
		return ErrNoVacancy
	}
	self := Member{Address: j.Address, Incarnation: j.Acceptor.Incarnation(), Learner: true}
	size, current := len(voters.Members), Member{}
	if index < size {
		current = voters.Members[index]
		if current.Address == self.Address && current.Incarnation == self.Incarnation && !current.Learner {
			return nil
		}
	} else {
		// A further place has no former votes that a newcomer would stand for, so
		// it votes at once. Any majority that holds an update meets every majority
		// of one voter more.
		self.Learner, size = false, size+1
	}
	if current != self {
		answering, returned := j.countAnswering(ctx, voters, index)
		if returned {
			// Another place may be free all the same.
			j.markReturned(current.Address)
			return j.joinStep(ctx, voters)
		}
		if answering < max(learnQuorum(size), quorum(size)) {
			return errkind.Errorf(errkind.NoQuorum, "too few other voters to join")
		}
	}
	if !j.learnFromVoters(ctx, voters, learnQuorum(size)) {
		return j.retryLearning(ctx, voters)
	}
	if current == self {
		self.Learner = false
	}
	_, err := j.Proposer.Update(ctx, VotersKey, j.replaceMember(voters, index, self))
	return err
}

// retryLearning returns why learning from the voters failed; nil means that they
// changed meanwhile, and that the next step starts from the newer set.
func (j *Joiner) retryLearning(ctx context.Context, voters VoterSet) error {
	if j.Acceptor.Voters().Fingerprint() != voters.Fingerprint() {
		// Whoever changed them may still be at it.
		return nil
	}
	// A voter that missed the change of voters, and promised a newer epoch since,
	// can't be brought up to date by Learn: the voter set is written again.
	if err := j.Proposer.Reacquire(ctx, VotersKey); err != nil {
		return err
	}
	return errkind.Errorf(errkind.NoQuorum, "too few others to learn from")
}

// replaceMember returns the update that puts a member in the place of another, or
// behind the last. It is dropped if the voter set is no longer the known one, or
// the member to be replaced has returned; it runs right before the write.
func (j *Joiner) replaceMember(known VoterSet, index int, member Member) UpdateFunc {
	return func(current []byte) ([]byte, error) {
		voters, err := transport.Unmarshal[VoterSet](current)
		if err != nil || voters.Fingerprint() != known.Fingerprint() {
			return nil, errkind.Errorf(errkind.NoQuorum, "the voters changed")
		}
		if index < len(voters.Members) {
			replaced := voters.Members[index]
			if replaced.Address != j.Address && !replaced.Learner && !j.replaceable(replaced.Address) {
				return nil, errkind.Errorf(errkind.NoQuorum, "%s is back", replaced.Address)
			}
		}
		next := VoterSet{Generation: voters.Generation + 1}
		next.Members = append(next.Members, voters.Members...)
		if index == len(next.Members) {
			next.Members = append(next.Members, member)
		}
		next.Members[index] = member
		return transport.Marshal(next)
	}
}

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

// ErrNoVacancy is returned by Join if the voter set has no place for this machine.
var ErrNoVacancy = errors.New("register: no vacancy in the voter set")

// ReplicaClient exchanges state with other controllers. Fetch and FetchDigest only
// read; Learn calls Acceptor.Learn on the remote replica.
type ReplicaClient interface {
	Fetch(ctx context.Context, address ids.Address, req FetchRequest) (FetchResponse, error)
	FetchDigest(ctx context.Context, address ids.Address) (DigestResponse, error)
	Learn(ctx context.Context, address ids.Address, slots []Slot) error
}

// Joiner makes a controller a voter if its disk does not vote yet.
//
// Of three ways to replace a voter it uses the third:
//   - Adding the new voter before removing the old one enlarges the voter set for
//     a while. If the old voter is lost for good, three of four votes are needed
//     then, and if the new voter is lost too, only two of four are left for good.
//   - Joint consensus (until the change completes, every decision needs a majority
//     of both the old and the new set) depends on the new voter just as much, or
//     else on every other old voter.
//   - A learner takes the place of the lost voter, whose vote was missing anyway:
//     the cluster never tolerates fewer losses than before, the learner may be
//     lost at any step, and its place can be taken again.
//
// The price of the third is paid if the replaced voter was only partitioned, or
// comes back with its disk: its vote is missing from the replacement until the
// learner has learned. A joiner therefore learns before it becomes a learner, so
// that only later updates remain to be learned, and performs all steps in one run.
// Learning beforehand alone is not enough: until the replacement is committed,
// majorities that include the replaced voter may acknowledge updates.
//
// Join must be called from one goroutine at a time; the other methods may be
// called from any goroutine.
type Joiner struct {
	// Clock measures RequestTimeout; it is required if RequestTimeout is set.
	Clock    clock.Clock
	Address  ids.Address
	Acceptor *Acceptor
	Proposer *Proposer
	Replicas ReplicaClient
	// Peers returns the controllers to ask for the voter set.
	Peers func() []ids.Address
	// Replaceable reports whether a voter has been lost for so long that it may be
	// replaced.
	Replaceable func(address ids.Address) bool
	// Suspected reports whether a replica is suspected of not answering at present.
	// Requests are still sent to it, but its response is not awaited if the others
	// suffice. If Suspected is nil, no replica is suspected.
	Suspected func(address ids.Address) bool
	// TargetVoters is the intended size of the voter set.
	TargetVoters int
	// PlacementAllowed reports whether no zone or region would have too many voters
	// if this machine voted beside the others.
	PlacementAllowed func(others []ids.Address) bool
	// RequestTimeout bounds one request; if it is 0, only Join's context does.
	RequestTimeout time.Duration
	// Spawn runs a request concurrently; nil starts a goroutine. Tests run it
	// synchronously.
	Spawn func(task func())

	// unreachableByMajority are the voters that a majority of the voters can't
	// reach; returned are those that seemed lost but answered during this run. A
	// key's writer reads both, possibly while the next run is in progress, so the
	// maps are replaced and never modified.
	unreachableByMajority atomic.Pointer[map[ids.Address]bool]
	returned              atomic.Pointer[map[ids.Address]bool]
	// stalledRuns counts the runs under the current voter set, which
	// stalledFingerprint identifies.
	stalledRuns        int
	stalledFingerprint int64
	// pendingEpoch is the highest epoch that, at the last poll, was promised for
	// VotersKey with no proposal accepted under it.
	pendingEpoch ids.Epoch
}

// maxMembershipChanges limits the changes of the voter set that one run attempts:
// becoming a learner and becoming a voter, each retried once if another change
// came first.
const maxMembershipChanges = 4

// Join runs once through all steps to becoming a voter: learn the newest voter
// set; learn the state of its voters; take the place of this machine's former
// disk or of a lost voter, or a further one while there are fewer than
// TargetVoters; learn what was written since; and only then vote. It returns nil
// once the disk votes, or after maxMembershipChanges steps without an error.
func (j *Joiner) Join(ctx context.Context) error {
	j.returned.Store(nil)
	j.discoverVoters(ctx)
	j.countStalledRun()
	for range maxMembershipChanges {
		voters := j.Acceptor.Voters()
		if voters.Generation == 0 {
			return errkind.Errorf(errkind.NoQuorum, "no voter set is known")
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

// joinStep makes one change of the voter set on the way to this machine's vote. It
// returns nil without a change if the disk votes already, or if the voter set has
// changed meanwhile.
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
		// A further place has no earlier votes to account for, so its member votes
		// at once. Any majority that holds an update intersects every majority of a
		// set with one more voter.
		self.Learner, size = false, size+1
	}
	if current != self {
		answering, returned := j.countAnswering(ctx, voters, index)
		if returned {
			// Another place may still be free.
			j.markReturned(current.Address)
			return j.joinStep(ctx, voters)
		}
		if answering < max(learnQuorum(size), quorum(size)) {
			return errkind.Errorf(errkind.NoQuorum, "too few other voters answered to change the voter set")
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

// retryLearning handles a failure to learn from the voters. It returns nil if the
// voter set has changed meanwhile, so that the next step starts from the newer
// set, and an error otherwise.
func (j *Joiner) retryLearning(ctx context.Context, voters VoterSet) error {
	if j.Acceptor.Voters().Fingerprint() != voters.Fingerprint() {
		// Whoever changed the set may not be done yet and is not preempted.
		return nil
	}
	// A voter that missed the last change of the voter set, and has promised a newer
	// epoch since, ignores that set in Learn, so the set is written again.
	if err := j.Proposer.Reacquire(ctx, VotersKey); err != nil {
		return err
	}
	return errkind.Errorf(errkind.NoQuorum, "too few other voters to learn from")
}

// replaceMember returns an UpdateFunc that puts a member in the place of the one
// at index, or appends it. The function fails if the voter set is no longer the
// known one, or if the member to be replaced has returned; the proposer calls it
// right before the write.
func (j *Joiner) replaceMember(known VoterSet, index int, member Member) UpdateFunc {
	return func(current []byte) ([]byte, error) {
		voters, err := transport.Unmarshal[VoterSet](current)
		if err != nil || voters.Fingerprint() != known.Fingerprint() {
			return nil, errkind.Errorf(errkind.NoQuorum, "the voter set changed before the member was replaced")
		}
		if index < len(voters.Members) {
			replaced := voters.Members[index]
			if replaced.Address != j.Address && !replaced.Learner && !j.replaceable(replaced.Address) {
				return nil, errkind.Errorf(errkind.NoQuorum, "voter %s is no longer considered lost", replaced.Address)
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

package lease

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// grant is a lease that this voter granted.
type grant struct {
	holder      ids.Address
	incarnation int64
	// sequence is that of the newest request that was granted.
	sequence int64
	expiry   clock.Instant
}

func (g grant) heldBy(req Request) bool {
	return g.holder == req.Holder && g.incarnation == req.Incarnation
}

// requester is a daemon that requests one lease.
type requester struct {
	name   string
	holder ids.Address
}

// requestID orders the requests of one requester, within an incarnation.
type requestID struct{ incarnation, sequence int64 }

// Lessor is the voter's side of all leases: it grants each to one holder at a
// time. It is safe for concurrent use.
type Lessor struct {
	clock clock.Clock
	ttl   time.Duration
	// votingState reports whether this daemon votes now, and the fingerprint of the
	// voter set that it knows.
	votingState func() (voting bool, fingerprint int64)

	mu     sync.Mutex
	grants map[string]grant
	latest map[requester]requestID
	// votersFingerprint is the voter set of the last request; until quietUntil the
	// voter may not know of all grants in force.
	votersFingerprint int64
	noGrantsUntil     clock.Instant
}

// NewLessor returns a Lessor that makes no grant for a first TTL, since the
// process before this one may have made some.
func NewLessor(clock clock.Clock, ttl time.Duration, votingState func() (voting bool, fingerprint int64)) *Lessor {
	_, fingerprint := votingState()
	return &Lessor{
		clock: clock, ttl: ttl, votingState: votingState, grants: map[string]grant{}, latest: map[requester]requestID{},
		votersFingerprint: fingerprint, noGrantsUntil: clock.Now().Add(ttl),
	}
}

// Grant grants, renews or releases a lease, and answers the request.
func (l *Lessor) Grant(req Request) Response {
	voting, fingerprint := l.votingState()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if fingerprint != l.votersFingerprint {
		// Other voters may have made grants that this one does not know of.
		l.noGrantsUntil, l.votersFingerprint = now.Add(l.ttl), fingerprint
	}
	stale := !l.recordRequest(req)
	current, ok := l.grants[req.Name]
	inForce := ok && now.Before(current.expiry)
	own := inForce && current.heldBy(req)
	if req.Release {
		if own && current.sequence <= req.Sequence {
			delete(l.grants, req.Name)
		}
		return Response{}
	}
	if req.VotersFingerprint != fingerprint {
		return Response{VotersMismatch: true}
	}
	// A grant that its holder no longer knows of is left to expire.
	renewal := own && req.Renew
	if stale || !voting || (inForce && !renewal) || (!renewal && now.Before(l.noGrantsUntil)) {
		return Response{}
	}
	l.grants[req.Name] = grant{holder: req.Holder, incarnation: req.Incarnation, sequence: req.Sequence, expiry: now.Add(l.ttl)}
	return Response{Granted: true}
}

// recordRequest reports whether the request is newer than all that its requester
// sent in the same incarnation. The caller holds l.mu.
func (l *Lessor) recordRequest(req Request) bool {
	key := requester{name: req.Name, holder: req.Holder}
	latest := l.latest[key]
	if latest.incarnation == req.Incarnation && req.Sequence <= latest.sequence {
		return false
	}
	l.latest[key] = requestID{incarnation: req.Incarnation, sequence: req.Sequence}
	return true
}

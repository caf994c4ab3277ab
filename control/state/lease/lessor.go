package lease

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// grant is a lease that this voter has granted.
type grant struct {
	holder      ids.Address
	incarnation int64
	// sequence is the sequence number of the newest request that was granted.
	sequence int64
	expiry   clock.Instant
}

func (g grant) heldBy(req Request) bool {
	return g.holder == req.Holder && g.incarnation == req.Incarnation
}

// requester identifies a daemon that requests the named lease.
type requester struct {
	name   string
	holder ids.Address
}

// requestID identifies a request of one requester. Within an incarnation,
// requests are ordered by their sequence numbers.
type requestID struct{ incarnation, sequence int64 }

// Lessor is the voter's side of all leases and grants each to one holder at a
// time. It is safe for concurrent use.
type Lessor struct {
	clock clock.Clock
	ttl   time.Duration
	// votingState reports whether this daemon currently votes, and the
	// fingerprint of the voter set that it knows.
	votingState func() (voting bool, fingerprint int64)

	mu     sync.Mutex
	grants map[string]grant
	latest map[requester]requestID
	// votersFingerprint is the fingerprint of the voter set at the last request.
	// No new grant is made before noGrantsUntil, since this voter may not know of
	// all grants that are in force.
	votersFingerprint int64
	noGrantsUntil     clock.Instant
}

// NewLessor returns a Lessor that makes no grants for a first TTL, since grants
// of the previous process may still be in force.
func NewLessor(clock clock.Clock, ttl time.Duration, votingState func() (voting bool, fingerprint int64)) *Lessor {
	_, fingerprint := votingState()
	return &Lessor{
		clock: clock, ttl: ttl, votingState: votingState, grants: map[string]grant{}, latest: map[requester]requestID{},
		votersFingerprint: fingerprint, noGrantsUntil: clock.Now().Add(ttl),
	}
}

// Grant handles a request to acquire, renew or release a lease.
func (l *Lessor) Grant(req Request) Response {
	voting, fingerprint := l.votingState()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if fingerprint != l.votersFingerprint {
		// Other voters, of either set, may have made grants that are unknown here.
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
	// If the holder itself requests the lease anew, it no longer knows of its
	// grant, which is then left to expire.
	renewal := own && req.Renew
	if stale || !voting || (inForce && !renewal) || (!renewal && now.Before(l.noGrantsUntil)) {
		return Response{}
	}
	l.grants[req.Name] = grant{holder: req.Holder, incarnation: req.Incarnation, sequence: req.Sequence, expiry: now.Add(l.ttl)}
	return Response{Granted: true}
}

// recordRequest records a request and reports whether it is newer than all others
// that its requester sent in the same incarnation. The caller holds l.mu.
func (l *Lessor) recordRequest(req Request) bool {
	key := requester{name: req.Name, holder: req.Holder}
	latest := l.latest[key]
	if latest.incarnation == req.Incarnation && req.Sequence <= latest.sequence {
		return false
	}
	l.latest[key] = requestID{incarnation: req.Incarnation, sequence: req.Sequence}
	return true
}

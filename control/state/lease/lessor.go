package lease

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

type grant struct {
	holder      ids.Address
	incarnation int64
	// sequence is that of the newest question that was granted.
	sequence int64
	expiry   clock.Instant
}

// requester is one that asks for a duty; said is the newest that it said.
type requester struct {
	name   string
	holder ids.Address
}

type requestID struct{ incarnation, sequence int64 }

// Lessor is the voter's side: it grants a duty to one holder at a time.
type Lessor struct {
	mu         sync.Mutex
	clock      clock.Clock
	ttl        clock.Span
	grants     map[string]grant
	latest     map[requester]requestID
	votersMark int64
	quietUntil clock.Instant
	// Voting tells whether this daemon votes now, and the mark of the voters.
	votingState func() (bool, int64)
}

// NewLessor makes a voter that grants nothing for a first span, since it may
// have granted holds in a life before.
func NewLessor(machine clock.Clock, span clock.Span, voting func() (bool, int64)) *Lessor {
	_, voters := voting()
	return &Lessor{
		clock: machine, ttl: span, grants: map[string]grant{}, latest: map[requester]requestID{},
		quietUntil: machine.Now().Add(span), votingState: voting, votersMark: voters,
	}
}

// Grant answers a daemon that wants or has a duty.
func (l *Lessor) Grant(asked Request) Response {
	voting, voters := l.votingState()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if voters != l.votersMark {
		// Other voters may have granted what this one does not know of.
		l.quietUntil, l.votersMark = now.Add(l.ttl), voters
	}
	late := l.isStale(asked)
	known, found := l.grants[asked.Name]
	current := found && now.Before(known.expiry)
	own := current && known.holder == asked.Holder && known.incarnation == asked.Incarnation
	if asked.Release {
		if own && known.sequence <= asked.Sequence {
			delete(l.grants, asked.Name)
		}
		return Response{}
	}
	if asked.VotersMark != voters {
		return Response{VotersMismatch: true}
	}
	// A grant that its holder does not know of any more runs out first.
	renewal := own && asked.Renew
	if late || !voting || (current && !renewal) || (!renewal && now.Before(l.quietUntil)) {
		return Response{}
	}
	l.grants[asked.Name] = grant{holder: asked.Holder, incarnation: asked.Incarnation, sequence: asked.Sequence, expiry: now.Add(l.ttl)}
	return Response{Granted: true}
}

// isStale tells whether the asker said this, or something later, before.
func (l *Lessor) isStale(asked Request) bool {
	from := requester{name: asked.Name, holder: asked.Holder}
	newest := l.latest[from]
	if newest.incarnation == asked.Incarnation && asked.Sequence <= newest.sequence {
		return true
	}
	l.latest[from] = requestID{incarnation: asked.Incarnation, sequence: asked.Sequence}
	return false
}

// Package quorum tells whether a controller is heard by a majority of the
// voters: it keeps, for each, when the newest question that was answered had
// been sent. A message that needs no disk keeps this up, so slow disks don't
// end contact. While an order is under way it is sent at a short pace, and the
// order ends once a majority has been silent for a quarter of a second.
//
// Its answers carry the reading of the answerer's steady clock, from which an
// order that is passed on gets its end. Let an answer with reading R have come
// at the instant C of the passer: it was read no later than that, so when the
// passer gives up at G the receiver's clock stands at R + (G - C) or more. An
// order that is not begun from that reading on is not begun after the passer
// gave up. No time of day is compared; a reading of a life before is refused,
// and a hundredth is taken off for clocks that differ. Steady clocks stand
// still while a machine is suspended: a receiver that was may begin an order
// that much late. A process that is stopped has no such lack.
package quorum

import (
	"sort"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// HeartbeatRequest is the question that shows contact.
type HeartbeatRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the stored and sent form; it must never change.
func (HeartbeatRequest) SchemaName() string { return "Ask_24" }

// HeartbeatResponse answers it with the reading of the own steady clock, in this life.
type HeartbeatResponse struct {
	Incarnation int64 `avro:"Life"`
	Reading     int64 `avro:"Reading"`
}

// SchemaName names the stored and sent form; it must never change.
func (HeartbeatResponse) SchemaName() string { return "Told_24" }

// Options are what a contact is made from.
type Options struct {
	Address ids.Address
	// Voters gives the newest voters known here.
	Voters    func() register.VoterSet
	Transport *transport.Client
	// MaxAge is how old contact may be for an order to be begun on it.
	MaxAge clock.Span
	// RoundTimeout is how long one round of questions may take; by default half of
	// Fresh, and no more than 200 ms.
	RoundTimeout clock.Span
	// SilenceTimeout is for how long a majority may leave all questions unanswered while
	// an order is under way; by default as long as Fresh and Wait, and no more
	// than a quarter of a second. Where the way there and back takes too much of
	// that it is longer.
	SilenceTimeout clock.Span
	// Heartbeat asks one voter; by default the messenger does.
	Heartbeat func(inner scope.Scope, address ids.Address) (HeartbeatResponse, error)
	// Spawn runs what goes on beside; by default in a goroutine.
	Spawn func(act func())
	// Incarnation tells this process from the one before; by default a random number.
	Incarnation int64
}

// maxRoundTimeout is the most that a caller is kept waiting for contact.
const maxRoundTimeout = 200 * clock.Millisecond

// maxSilenceTimeout is how long an order goes on without contact: a quarter of a second,
// less what its answer takes.
const maxSilenceTimeout = 240 * clock.Millisecond

// Tracker is this controller's contact with the voters.
type Tracker struct {
	options   Options
	mu        sync.Mutex
	peers     map[ids.Address]peer
	lastRound clock.Instant
	changed   chan struct{}
	lost      bool
	// silentSince is when the newest question that a majority answered had been sent,
	// as last found to be too long ago for an order under way; only what was
	// asked later shows contact again.
	silentSince clock.Instant
	// allAnsweredAt is when the newest questions that all voters answered had been sent.
	allAnsweredAt clock.Instant
	// lastTick is when this process was last seen to run, stood when it was last
	// found to have stood still before.
	lastTick  clock.Instant
	stalledAt clock.Instant
}

// peer is what is known of another: when the newest question that it answered
// was sent, and what its clock read when the answer came.
type peer struct {
	lastContact clock.Instant
	readingAt   clock.Instant
	reading     HeartbeatResponse
	rtts        rttSamples
}

// New makes a contact that was not had yet.
func New(options Options) *Tracker {
	if options.RoundTimeout == 0 {
		options.RoundTimeout = min(options.MaxAge/2, maxRoundTimeout)
	}
	if options.SilenceTimeout == 0 {
		options.SilenceTimeout = min(options.MaxAge+options.RoundTimeout, maxSilenceTimeout)
	}
	if options.Heartbeat == nil {
		options.Heartbeat = func(ctx scope.Scope, address ids.Address) (HeartbeatResponse, error) {
			return transport.Send[HeartbeatResponse](ctx, options.Transport, address, "contact", HeartbeatRequest{From: options.Address})
		}
	}
	if options.Spawn == nil {
		options.Spawn = func(act func()) { go act() }
	}
	for options.Incarnation == 0 {
		options.Incarnation = random.Int64N(1 << 62)
	}
	return &Tracker{options: options, peers: map[ids.Address]peer{}, changed: make(chan struct{})}
}

// RegisterHandlers adds the contact's message to a table of calls.
func (t *Tracker) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, "contact", func(ctx scope.Scope, _ HeartbeatRequest) (HeartbeatResponse, error) {
		return t.Respond(ctx.Now()), nil
	})
}

// Respond answers the question of another.
func (t *Tracker) Respond(now clock.Instant) HeartbeatResponse {
	return HeartbeatResponse{Incarnation: t.options.Incarnation, Reading: int64(now)}
}

// RecordContact notes that another answered a question which was sent at this instant
// or later. A missing contact notes nothing.
func (t *Tracker) RecordContact(address ids.Address, asked clock.Instant) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.peers[address]
	if known.lastContact < asked {
		known.lastContact = asked
		t.updatePeer(address, known)
	}
}

// updatePeer needs the lock.
func (t *Tracker) updatePeer(address ids.Address, known peer) {
	t.peers[address] = known
	close(t.changed)
	t.changed = make(chan struct{})
}

// LastContact tells when the newest question that another answered was sent; 0
// where none was.
func (t *Tracker) LastContact(address ids.Address) clock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address].lastContact
}

// MajorityAge is how long ago a majority of the voters was last known to hear this
// controller; false where it never was. Who knows of no voters yet has nobody
// to ask, and counts as in contact.
func (t *Tracker) MajorityAge(now clock.Instant) (clock.Span, bool) {
	seats := t.options.Voters().Members
	if len(seats) == 0 {
		return 0, true
	}
	var heard []clock.Instant
	t.mu.Lock()
	for _, seat := range seats {
		known, found := t.peers[seat.Address]
		if seat.Address == t.options.Address {
			known.lastContact, found = now, true
		}
		if found && known.lastContact > 0 && !seat.Learner {
			heard = append(heard, known.lastContact)
		}
	}
	t.mu.Unlock()
	quorum := len(seats)/2 + 1
	if len(heard) < quorum {
		return 0, false
	}
	sort.Slice(heard, func(left, right int) bool { return heard[left] > heard[right] })
	return now.Since(heard[quorum-1]), true
}

// HasQuorum tells whether contact is young enough for an order to be begun.
func (t *Tracker) HasQuorum(now clock.Instant) bool {
	age, known := t.MajorityAge(now)
	return known && age <= t.options.MaxAge && t.answeredSinceSilence(now.Add(-age))
}

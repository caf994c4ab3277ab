package quorum

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

const (
	// maxRoundTimeout bounds how long a caller is kept waiting for contact.
	maxRoundTimeout = 200 * time.Millisecond
	// maxContactTimeout is how long a command goes on without contact: a quarter
	// of a second, less what its answer takes.
	maxContactTimeout = 240 * time.Millisecond
)

// Options configure a Tracker. Clock, Log, Address, Voters, MaxAge and one of
// Transport and Heartbeat are required.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Address is this controller's own; it counts as in contact with itself.
	Address ids.Address
	// Voters returns the newest voter set known here. It is called without the
	// tracker's lock held.
	Voters    func() register.VoterSet
	Transport *transport.Client
	// MaxAge is how old contact with a majority may be for a command to be begun.
	MaxAge time.Duration
	// RoundTimeout bounds one round of heartbeats; by default half of MaxAge, and
	// no more than 200 ms.
	RoundTimeout time.Duration
	// ContactTimeout is how long a majority may leave all heartbeats unanswered
	// while a command is in flight; by default MaxAge plus RoundTimeout, and no
	// more than 240 ms. Where the measured round trip takes too much of that, the
	// effective time-out is longer.
	ContactTimeout time.Duration
	// Heartbeat sends a heartbeat to one voter; by default over Transport.
	Heartbeat func(ctx context.Context, address ids.Address) (HeartbeatResponse, error)
	// Spawn runs a function concurrently; by default in a goroutine.
	Spawn func(run func())
	// Incarnation tells this process from the one before it on the same address;
	// by default a random number.
	Incarnation int64
}

// Tracker tracks this controller's contact with the voters. It is safe for
// concurrent use.
type Tracker struct {
	options   Options
	mu        sync.Mutex
	peers     map[ids.Address]peer
	lastRound clock.Instant
	// changed is closed, and replaced, whenever a peer's entry changes.
	changed chan struct{}
	// lost is the state that was logged last.
	lost bool
	// contactAtLoss is the newest contact with a majority at the time when a command
	// in flight last found that it fell silent. Only a request that was sent later
	// shows contact again.
	contactAtLoss clock.Instant
	// allAnsweredAt is the newest instant for which every voter has answered a
	// request that was sent then or later.
	allAnsweredAt clock.Instant
	// lastTick is when this process was last seen to run, stalledAt when it was
	// last found to have stalled before.
	lastTick  clock.Instant
	stalledAt clock.Instant
}

// peer is what is known of another controller.
type peer struct {
	// lastContact is when the newest request that the peer answered was sent.
	lastContact clock.Instant
	// reading is its clock as of readingAt, the instant at which it arrived here.
	reading   HeartbeatResponse
	readingAt clock.Instant
	rtts      rttSamples
}

// New returns a Tracker that has had no contact yet.
func New(options Options) *Tracker {
	if options.RoundTimeout == 0 {
		options.RoundTimeout = min(options.MaxAge/2, maxRoundTimeout)
	}
	if options.ContactTimeout == 0 {
		options.ContactTimeout = min(options.MaxAge+options.RoundTimeout, maxContactTimeout)
	}
	if options.Heartbeat == nil {
		options.Heartbeat = func(ctx context.Context, address ids.Address) (HeartbeatResponse, error) {
			return transport.Send[HeartbeatResponse](ctx, options.Transport, address, heartbeatMessage, HeartbeatRequest{From: options.Address})
		}
	}
	if options.Spawn == nil {
		options.Spawn = func(run func()) { go run() }
	}
	for options.Incarnation == 0 {
		options.Incarnation = random.Int64N(1 << 62)
	}
	return &Tracker{options: options, peers: map[ids.Address]peer{}, changed: make(chan struct{})}
}

// RecordContact records that a peer answered a request of any kind that was sent
// at the instant. A nil Tracker records nothing.
func (t *Tracker) RecordContact(address ids.Address, sent clock.Instant) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	if p.lastContact < sent {
		p.lastContact = sent
		t.updatePeer(address, p)
	}
}

// updatePeer stores a peer's entry and wakes those who wait for contact. The
// caller holds t.mu.
func (t *Tracker) updatePeer(address ids.Address, p peer) {
	t.peers[address] = p
	close(t.changed)
	t.changed = make(chan struct{})
}

// LastContact returns when the newest request that the peer answered was sent; 0
// where it never answered.
func (t *Tracker) LastContact(address ids.Address) clock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address].lastContact
}

// HasQuorum reports whether contact with a majority is recent enough for a
// command to be begun.
func (t *Tracker) HasQuorum(now clock.Instant) bool {
	age, ok := t.MajorityContactAge(now)
	return ok && age <= t.options.MaxAge && t.contactAfterLoss(now.Add(-age))
}

// MajorityContactAge returns how long ago a majority of the voters was last known to
// hear this controller; false where it never was. A controller that knows of no
// voters has nobody to ask and counts as in contact.
func (t *Tracker) MajorityContactAge(now clock.Instant) (time.Duration, bool) {
	members := t.options.Voters().Members
	if len(members) == 0 {
		return 0, true
	}
	return t.majorityDuration(members, func(member register.Member, p peer) (time.Duration, bool) {
		if member.Address == t.options.Address {
			p.lastContact = now
		}
		return now.Since(p.lastContact), p.lastContact > 0 && !member.Learner
	})
}

// majorityDuration returns the least span that a majorityDuration of the members does not exceed,
// where measure gives each its own, or leaves it out; false where too few have
// one. The caller must not hold t.mu.
func (t *Tracker) majorityDuration(members []register.Member, measure func(register.Member, peer) (time.Duration, bool)) (time.Duration, bool) {
	var durations []time.Duration
	t.mu.Lock()
	for _, member := range members {
		if duration, ok := measure(member, t.peers[member.Address]); ok {
			durations = append(durations, duration)
		}
	}
	t.mu.Unlock()
	quorum := len(members)/2 + 1
	if len(durations) < quorum {
		return 0, false
	}
	slices.Sort(durations)
	return durations[quorum-1], true
}

// AllVotersContactAge returns how long ago all voters, learners included, were last
// known to hear this controller; false where they never were. Run keeps it
// current, so it outlives voters that answered and were then replaced.
func (t *Tracker) AllVotersContactAge(now clock.Instant) (time.Duration, bool) {
	oldest := now
	members := t.options.Voters().Members
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, member := range members {
		if member.Address != t.options.Address {
			oldest = min(oldest, t.peers[member.Address].lastContact)
		}
	}
	if len(members) > 0 {
		t.allAnsweredAt = max(t.allAnsweredAt, oldest)
	}
	return now.Since(t.allAnsweredAt), t.allAnsweredAt > 0
}

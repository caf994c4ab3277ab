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
	// maxRoundTimeout limits the default RoundTimeout, and thereby how long a caller
	// waits for contact.
	maxRoundTimeout = 200 * time.Millisecond
	// maxContactTimeout limits the default ContactTimeout: a command without contact
	// should end within 250 ms, including the time its response takes.
	maxContactTimeout = 240 * time.Millisecond
)

// Options configures a Tracker. Clock, Log, Address, Voters, MaxAge and either
// Transport or Heartbeat are required.
type Options struct {
	Clock clock.Clock
	Log   *log.Logger
	// Address is this controller's own address. A controller always counts as in
	// contact with itself.
	Address ids.Address
	// Voters returns the newest voter set known here. It is called without the
	// tracker's lock held.
	Voters    func() register.VoterSet
	Transport *transport.Client
	// MaxAge is the maximum age of the contact with a majority at which a command
	// may be started.
	MaxAge time.Duration
	// RoundTimeout bounds how long EnsureQuorum waits for contact. The default is
	// half of MaxAge, but at most 200 ms.
	RoundTimeout time.Duration
	// ContactTimeout is how long a command in flight continues while no majority
	// answers its heartbeats. The default is MaxAge plus RoundTimeout, but at most
	// 240 ms. If the measured round-trip time is too long for it, the effective
	// timeout is longer.
	ContactTimeout time.Duration
	// Heartbeat sends a heartbeat to one voter. The default uses Transport.
	Heartbeat func(ctx context.Context, address ids.Address) (HeartbeatResponse, error)
	// Spawn runs a function concurrently. The default starts a goroutine.
	Spawn func(run func())
	// Incarnation distinguishes this process from earlier ones at the same address.
	// The default is a random number.
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
	// lost is the state that was logged last: true after a loss of contact.
	lost bool
	// contactAtLoss is the instant of the newest contact with a majority when a
	// command in flight was last canceled for lack of contact. Only a request that
	// was sent later proves contact again.
	contactAtLoss clock.Instant
	// allAnsweredAt is the newest instant such that every voter has answered a
	// request sent at or after it.
	allAnsweredAt clock.Instant
	// lastTick is when this process last recorded that it was running; stalledAt is
	// when it last detected that it had stalled.
	lastTick  clock.Instant
	stalledAt clock.Instant
}

// peer is the tracker's state for another controller.
type peer struct {
	// lastContact is when the newest request that the peer has answered was sent.
	lastContact clock.Instant
	// reading is a reading of the peer's clock, which arrived here at readingAt.
	reading   HeartbeatResponse
	readingAt clock.Instant
	rtts      rttSamples
}

// New returns a Tracker without any recorded contact.
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

// RecordContact records that a peer has answered a request, of any kind, that was
// sent at the given instant. It does nothing on a nil Tracker.
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

// updatePeer stores a peer's entry and wakes the callers that wait for contact. The
// caller must hold t.mu.
func (t *Tracker) updatePeer(address ids.Address, p peer) {
	t.peers[address] = p
	close(t.changed)
	t.changed = make(chan struct{})
}

// LastContact returns when the newest request that the peer has answered was sent,
// or 0 if it has never answered.
func (t *Tracker) LastContact(address ids.Address) clock.Instant {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peers[address].lastContact
}

// HasQuorum reports whether contact with a majority is recent enough to start a
// command.
func (t *Tracker) HasQuorum(now clock.Instant) bool {
	age, ok := t.MajorityContactAge(now)
	return ok && age <= t.options.MaxAge && t.contactAfterLoss(now.Add(-age))
}

// MajorityContactAge returns the age of the contact with a majority of the voters,
// or false if there was none. A controller that knows no voters has none to contact
// and counts as in contact.
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

// majorityDuration returns the smallest duration that is not exceeded for a majority
// of the members, or false if measure returns one for fewer than a majority. The
// caller must not hold t.mu.
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

// AllVotersContactAge returns the age of the contact with all voters, including
// learners, or false if there was none. Run updates it regularly, so the contact is
// still known after a voter that answered has been replaced.
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

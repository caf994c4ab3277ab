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

// Ask is the question that shows contact.
type Ask struct {
	From ids.Address `avro:"From"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ask) SchemaName() string { return "Ask_24" }

// Told answers it with the reading of the own steady clock, in this life.
type Told struct {
	Life    int64 `avro:"Life"`
	Reading int64 `avro:"Reading"`
}

// SchemaName names the stored and sent form; it must never change.
func (Told) SchemaName() string { return "Told_24" }

// Options are what a contact is made from.
type Options struct {
	Address ids.Address
	// Voters gives the newest voters known here.
	Voters    func() register.VoterSet
	Messenger *transport.Courier
	// Fresh is how old contact may be for an order to be begun on it.
	Fresh clock.Span
	// Wait is how long one round of questions may take; by default half of
	// Fresh, and no more than 200 ms.
	Wait clock.Span
	// Silence is for how long a majority may leave all questions unanswered while
	// an order is under way; by default as long as Fresh and Wait, and no more
	// than a quarter of a second. Where the way there and back takes too much of
	// that it is longer.
	Silence clock.Span
	// Ask asks one voter; by default the messenger does.
	Ask func(inner scope.Scope, address ids.Address) (Told, error)
	// Spawn runs what goes on beside; by default in a goroutine.
	Spawn func(act func())
	// Life tells this process from the one before; by default a random number.
	Life int64
}

// longest is the most that a caller is kept waiting for contact.
const longest = 200 * clock.Millisecond

// quarter is how long an order goes on without contact: a quarter of a second,
// less what its answer takes.
const quarter = 240 * clock.Millisecond

// Contact is this controller's contact with the voters.
type Contact struct {
	options Options
	mu      sync.Mutex
	peers   map[ids.Address]peer
	asked   clock.Instant
	changed chan struct{}
	lost    bool
	// silent is when the newest question that a majority answered had been sent,
	// as last found to be too long ago for an order under way; only what was
	// asked later shows contact again.
	silent clock.Instant
	// whole is when the newest questions that all voters answered had been sent.
	whole clock.Instant
	// beat is when this process was last seen to run, stood when it was last
	// found to have stood still before.
	beat  clock.Instant
	stood clock.Instant
}

// peer is what is known of another: when the newest question that it answered
// was sent, and what its clock read when the answer came.
type peer struct {
	asked clock.Instant
	came  clock.Instant
	told  Told
	trips trips
}

// New makes a contact that was not had yet.
func New(options Options) *Contact {
	if options.Wait == 0 {
		options.Wait = min(options.Fresh/2, longest)
	}
	if options.Silence == 0 {
		options.Silence = min(options.Fresh+options.Wait, quarter)
	}
	if options.Ask == nil {
		options.Ask = func(ctx scope.Scope, address ids.Address) (Told, error) {
			return transport.Send[Told](ctx, options.Messenger, address, "contact", Ask{From: options.Address})
		}
	}
	if options.Spawn == nil {
		options.Spawn = func(act func()) { go act() }
	}
	for options.Life == 0 {
		options.Life = random.Int63(1 << 62)
	}
	return &Contact{options: options, peers: map[ids.Address]peer{}, changed: make(chan struct{})}
}

// Serve adds the contact's message to a table of calls.
func (c *Contact) Serve(calls *httpcall.Table) {
	transport.Handle(calls, "contact", func(ctx scope.Scope, _ Ask) (Told, error) {
		return c.Tell(ctx.Now()), nil
	})
}

// Tell answers the question of another.
func (c *Contact) Tell(now clock.Instant) Told {
	return Told{Life: c.options.Life, Reading: int64(now)}
}

// Heard notes that another answered a question which was sent at this instant
// or later. A missing contact notes nothing.
func (c *Contact) Heard(address ids.Address, asked clock.Instant) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.peers[address]
	if known.asked < asked {
		known.asked = asked
		c.keep(address, known)
	}
}

// keep needs the lock.
func (c *Contact) keep(address ids.Address, known peer) {
	c.peers[address] = known
	close(c.changed)
	c.changed = make(chan struct{})
}

// Answered tells when the newest question that another answered was sent; 0
// where none was.
func (c *Contact) Answered(address ids.Address) clock.Instant {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peers[address].asked
}

// Age is how long ago a majority of the voters was last known to hear this
// controller; false where it never was. Who knows of no voters yet has nobody
// to ask, and counts as in contact.
func (c *Contact) Age(now clock.Instant) (clock.Span, bool) {
	seats := c.options.Voters().Members
	if len(seats) == 0 {
		return 0, true
	}
	var heard []clock.Instant
	c.mu.Lock()
	for _, seat := range seats {
		known, found := c.peers[seat.Address]
		if seat.Address == c.options.Address {
			known.asked, found = now, true
		}
		if found && known.asked > 0 && !seat.Learner {
			heard = append(heard, known.asked)
		}
	}
	c.mu.Unlock()
	quorum := len(seats)/2 + 1
	if len(heard) < quorum {
		return 0, false
	}
	sort.Slice(heard, func(left, right int) bool { return heard[left] > heard[right] })
	return now.Since(heard[quorum-1]), true
}

// Fresh tells whether contact is young enough for an order to be begun.
func (c *Contact) Fresh(now clock.Instant) bool {
	age, known := c.Age(now)
	return known && age <= c.options.Fresh && c.heardSince(now.Add(-age))
}

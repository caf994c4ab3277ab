// Package lease gives a duty to one daemon at a time: a hold is granted by a
// majority of the voters for a span, renewed well before its end, and its
// holder stops a margin early. No time of day is compared anywhere.
//
// What holds, and why:
//   - Two never hold at once: the holder counts its span from before the
//     question, a voter from when it grants; a voter that started, or learnt of
//     other voters, grants nothing new for a span; and who asks under other
//     voters than the asked one knows is refused, so each hold stands on a
//     majority of one cohort, and the next cohort's majority meets it.
//   - Messages may be late, twice or out of order: each carries a number of its
//     asker's life. Nothing that was given back is granted by a late question,
//     and a late release takes no grant back that came after it.
//   - A hold that ran out while it was being renewed is a new one, under a new
//     epoch. What a holder tells carries its epoch, so whatever a frozen one
//     still tells is older than what the next has told.
//
// The steady clock stands still while a whole machine is suspended (not while a
// process is stopped). A voter that was suspended holds its grants longer,
// which is safe. A holder that was may act for what was left of its span; its
// epoch is then the older one.
package lease

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/random"
	"onyxwell/base/scope"
)

// Request asks a voter for a duty. Renew says that the asker holds it now; Release
// gives back what was granted to questions up to this number. Voters marks the
// cohort under which is asked.
type Request struct {
	Name        string      `avro:"Duty"`
	Holder      ids.Address `avro:"Holder"`
	Incarnation int64       `avro:"Life"`
	Sequence    int64       `avro:"Number"`
	VotersMark  int64       `avro:"Voters"`
	Renew       bool        `avro:"Renew"`
	Release     bool        `avro:"Release"`
}

// SchemaName names the stored and sent form; it must never change.
func (Request) SchemaName() string { return "Ask_22" }

// Response is the voter's answer. Misfenced says that it knows other voters, of the
// generation named.
type Response struct {
	Granted        bool  `avro:"Granted"`
	VotersMismatch bool  `avro:"Misfenced"`
	Generation     int64 `avro:"Generation"`
}

// SchemaName names the stored and sent form; it must never change.
func (Response) SchemaName() string { return "Told_22" }

// Outcome is what came of a question to all voters.
type Outcome int

// What comes of a question: a majority granted it; or it did not, though some
// voters may have; or it is known that none did.
const (
	MajorityGranted Outcome = iota
	MinorityGranted
	NoneGranted
)

// Options are what a holder is made from.
type Options struct {
	Name    string
	Address ids.Address
	TTL     clock.Span
	// RequestGrant asks all voters, under the mark of their cohort.
	RequestGrant func(inner scope.Scope, asked Request) Outcome
	// NextEpoch writes a new epoch for the duty to the register.
	NextEpoch func(inner scope.Scope, duty string) (int64, error)
	// Monitor may be left out.
	Monitor *invariant.Monitor
	// Incarnation tells this process from the one before; by default a random number.
	Incarnation int64
}

// Holder is the side of the daemon that wants the duty.
type Holder struct {
	options Options
	mu      sync.Mutex
	epoch   int64
	expiry  clock.Instant
	// sequence counts the questions; those up to released were given back.
	sequence        int64
	releasedThrough int64
	resigned        bool
	// standDownUntil is until when the duty is not striven for.
	standDownUntil clock.Instant
}

// NewHolder makes a holder that does not hold yet.
func NewHolder(options Options) *Holder {
	for options.Incarnation == 0 {
		options.Incarnation = random.Int64N(1 << 62)
	}
	return &Holder{options: options}
}

// Name names what is held.
func (h *Holder) Name() string { return h.options.Name }

// Held tells whether the duty is this daemon's now, and under which epoch.
func (h *Holder) Held(now clock.Instant) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.heldAt(now)
}

func (h *Holder) heldAt(now clock.Instant) bool {
	return h.epoch > 0 && now.Before(h.expiry)
}

// Run strives for the duty until the scope ends.
func (h *Holder) Run(ctx scope.Scope) {
	for ctx.Err() == nil {
		pause := h.options.TTL / 3
		if !h.TryAcquireOrRenew(ctx) {
			// Askers that split the votes must not meet again.
			pause = pause/2 + random.Duration(h.options.TTL/3)
		}
		if !ctx.Wait(pause) {
			return
		}
	}
}

// Release gives the duty up.
func (h *Holder) Release(ctx scope.Scope) {
	h.mu.Lock()
	h.expiry, h.releasedThrough = 0, h.sequence
	number := h.sequence
	h.mu.Unlock()
	h.options.RequestGrant(ctx, h.newRequest(number, Request{Release: true}))
}

// StandDown gives the duty up and leaves it to others for a span.
func (h *Holder) StandDown(ctx scope.Scope, span clock.Span) {
	h.mu.Lock()
	h.standDownUntil = ctx.Now().Add(span)
	h.mu.Unlock()
	h.Release(ctx)
}

// Resign gives the duty up for good: it is not striven for again.
func (h *Holder) Resign(ctx scope.Scope) {
	h.mu.Lock()
	h.resigned = true
	h.mu.Unlock()
	h.Release(ctx)
}

func (h *Holder) newRequest(number int64, asked Request) Request {
	asked.Name, asked.Holder, asked.Incarnation, asked.Sequence = h.options.Name, h.options.Address, h.options.Incarnation, number
	return asked
}

// beginAttempt numbers a question, and tells whether the duty is held now, and whether
// it is left to others.
func (h *Holder) beginAttempt(now clock.Instant) (number int64, renew bool, rests bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	return h.sequence, h.heldAt(now), h.resigned || now.Before(h.standDownUntil)
}

// recordGrant has what was granted to a question count, under a new epoch where one is
// given; without one only if the duty is held still. What was given back in the
// meantime does not count.
func (h *Holder) recordGrant(ctx scope.Scope, number int64, epoch int64, until clock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.releasedThrough >= number || (epoch == 0 && !h.heldAt(ctx.Now())) {
		return false
	}
	if epoch > 0 && epoch <= h.epoch {
		h.options.Monitor.Violated(invariant.EpochRises, "duty %s is gained under epoch %d after %d", h.options.Name, epoch, h.epoch)
	}
	h.epoch, h.expiry = max(h.epoch, epoch), until
	return true
}

// TryAcquireOrRenew asks once for the duty, or renews it; it tells whether a majority
// granted it.
func (h *Holder) TryAcquireOrRenew(ctx scope.Scope) bool {
	short, release := ctx.WithTimeout(h.options.TTL / 3)
	defer release()
	begin := ctx.Now()
	number, renew, rests := h.beginAttempt(begin)
	if rests {
		return false
	}
	if grants := h.options.RequestGrant(short, h.newRequest(number, Request{Renew: renew})); grants != MajorityGranted {
		if !renew && grants == MinorityGranted {
			// What a minority granted is given back, so that another can gain it.
			h.Release(ctx)
		}
		return renew
	}
	// Counted from before the question, less a margin for clocks that differ.
	until := begin.Add(h.options.TTL * 9 / 10)
	if renew && h.recordGrant(ctx, number, 0, until) {
		return true
	}
	// A hold that ran out in the meantime is a new one: another may have had the
	// duty in between.
	epoch, err := h.options.NextEpoch(ctx, h.options.Name)
	ctx.Log.Info().Str("part", "hold").Str("duty", h.options.Name).Int64("epoch", epoch).Err(err).Msg("granted")
	if err != nil || !h.recordGrant(ctx, number, epoch, until) {
		h.Release(ctx)
		return false
	}
	return true
}

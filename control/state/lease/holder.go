package lease

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/random"
)

// renewalsPerTTL is how often a lease is renewed in its TTL; one request may take
// as long as the time between two.
const renewalsPerTTL = 3

// Options configure a Holder. All but Eligible, Monitor and Incarnation are required.
type Options struct {
	// Clock measures all timeouts; it and Log are required.
	Clock clock.Clock
	Log   *log.Logger
	// Name is the lease's, Address that of this daemon.
	Name    string
	Address ids.Address
	// TTL is how long voters grant the lease for.
	TTL time.Duration
	// RequestGrant sends a request to all voters, under the fingerprint of their
	// set.
	RequestGrant func(ctx context.Context, req Request) Outcome
	// NextEpoch durably raises the lease's epoch and returns it.
	NextEpoch func(ctx context.Context, name string) (int64, error)
	// Eligible reports whether this daemon could do what the lease is for; until it can,
	// the lease is left to others. It may be nil.
	Eligible func() bool
	// Monitor counts broken invariants; it may be nil.
	Monitor *invariant.Monitor
	// Incarnation tells this process from the one before it on the same address;
	// by default a random number.
	Incarnation int64
}

// Holder is the side of a daemon that wants one lease. It is safe for concurrent
// use.
type Holder struct {
	options Options

	mu     sync.Mutex
	epoch  int64
	expiry clock.Instant
	// sequence is that of the newest request; those up to releasedThrough were
	// released.
	sequence        int64
	releasedThrough int64
	// The lease is not requested once resigned, nor until standDownUntil.
	resigned      bool
	stepDownUntil clock.Instant
}

// NewHolder returns a Holder that does not hold the lease yet.
func NewHolder(options Options) *Holder {
	for options.Incarnation == 0 {
		options.Incarnation = random.Int64N(1 << 62)
	}
	return &Holder{options: options}
}

// Name returns the lease's name.
func (h *Holder) Name() string { return h.options.Name }

// Held reports whether this daemon holds the lease now, and with which epoch.
func (h *Holder) Held(now clock.Instant) (epoch int64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.heldAt(now)
}

// heldAt is Held for a caller that holds h.mu.
func (h *Holder) heldAt(now clock.Instant) bool {
	return h.epoch > 0 && now.Before(h.expiry)
}

// Run acquires the lease and renews it until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.options.TTL / renewalsPerTTL
		if !h.TryAcquireOrRenew(ctx) {
			// Daemons that split the votes must not meet again.
			pause = pause/2 + random.Duration(h.options.TTL/renewalsPerTTL)
		}
		if !clock.Wait(ctx, h.options.Clock, pause) {
			return
		}
	}
}

// TryAcquireOrRenew requests the lease once, or renews it. It reports whether a
// majority granted it. It reports true after a failed renewal as well: the lease
// is still held until it expires.
func (h *Holder) TryAcquireOrRenew(ctx context.Context) bool {
	requestCtx, cancel := h.options.Clock.WithTimeout(ctx, h.options.TTL/renewalsPerTTL)
	defer cancel()
	start := h.options.Clock.Now()
	sequence, renew, skip := h.beginAttempt(start)
	if skip {
		return false
	}
	if outcome := h.options.RequestGrant(requestCtx, h.newRequest(sequence, Request{Renew: renew})); outcome != MajorityGranted {
		if !renew && outcome == MinorityGranted {
			// What a minority granted is released, so that another can acquire it.
			h.Release(ctx)
		}
		return renew
	}
	// Counted from before the request, less a margin for clock drift.
	expiry := start.Add(h.options.TTL * 9 / 10)
	if renew && h.recordGrant(sequence, 0, expiry) {
		return true
	}
	return h.acquire(ctx, sequence, expiry)
}

// acquire takes up a lease that was granted anew, with a new epoch: also one that
// expired while it was renewed, which another may have held in between.
func (h *Holder) acquire(ctx context.Context, sequence int64, expiry clock.Instant) bool {
	epoch, err := h.options.NextEpoch(ctx, h.options.Name)
	h.options.Log.Info().Str("part", "lease").Str("lease", h.options.Name).Int64("epoch", epoch).Err(err).Msg("lease granted")
	if err != nil || !h.recordGrant(sequence, epoch, expiry) {
		h.Release(ctx)
		return false
	}
	return true
}

// beginAttempt numbers a request. It reports whether the lease is held now, so
// that the request renews it, and whether it is not to be requested at all.
func (h *Holder) beginAttempt(now clock.Instant) (sequence int64, renew bool, skip bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	renew = h.heldAt(now)
	skip = h.resigned || now.Before(h.stepDownUntil) || (!renew && !h.eligible())
	return h.sequence, renew, skip
}

// eligible reports whether the lease may be requested where it is not held.
func (h *Holder) eligible() bool {
	return h.options.Eligible == nil || h.options.Eligible()
}

func (h *Holder) newRequest(sequence int64, req Request) Request {
	req.Name, req.Holder, req.Incarnation, req.Sequence = h.options.Name, h.options.Address, h.options.Incarnation, sequence
	return req
}

// recordGrant takes up what a majority granted to a request, with a new epoch, or
// with the current one where epoch is 0 and the lease has not expired. It reports
// false where it does not, or where the request was released meanwhile.
func (h *Holder) recordGrant(sequence int64, epoch int64, expiry clock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.releasedThrough >= sequence || (epoch == 0 && !h.heldAt(h.options.Clock.Now())) {
		return false
	}
	if epoch > 0 && epoch <= h.epoch {
		h.options.Monitor.Violated(invariant.EpochRises, "lease %s is acquired with epoch %d after %d", h.options.Name, epoch, h.epoch)
	}
	h.epoch, h.expiry = max(h.epoch, epoch), expiry
	return true
}

// Release gives the lease up; Run acquires it again where it can.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.expiry, h.releasedThrough = 0, h.sequence
	sequence := h.sequence
	h.mu.Unlock()
	h.options.RequestGrant(ctx, h.newRequest(sequence, Request{Release: true}))
}

// StepDown releases the lease and leaves it to others for the span.
func (h *Holder) StepDown(ctx context.Context, duration time.Duration) {
	h.mu.Lock()
	h.stepDownUntil = h.options.Clock.Now().Add(duration)
	h.mu.Unlock()
	h.Release(ctx)
}

// Resign releases the lease for good.
func (h *Holder) Resign(ctx context.Context) {
	h.mu.Lock()
	h.resigned = true
	h.mu.Unlock()
	h.Release(ctx)
}

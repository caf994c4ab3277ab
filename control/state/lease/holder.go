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

// renewalsPerTTL is the number of renewals per TTL. A request may take as long as
// the time between two of them.
const renewalsPerTTL = 3

// Options configures a Holder. All fields except Eligible, Monitor and
// Incarnation are required.
type Options struct {
	// Clock measures all timeouts.
	Clock clock.Clock
	Log   *log.Logger
	// Name is the name of the lease, Address the address of this daemon.
	Name    string
	Address ids.Address
	// TTL is the duration for which voters grant the lease.
	TTL time.Duration
	// RequestGrant sends a request to all voters, with the fingerprint of their
	// voter set.
	RequestGrant func(ctx context.Context, req Request) Outcome
	// NextEpoch durably increases the epoch of the named lease and returns it.
	NextEpoch func(ctx context.Context, name string) (int64, error)
	// Eligible reports whether this daemon is able to do the work that the lease
	// is for. Until it is, the lease is left to other daemons. If Eligible is
	// nil, the daemon is always eligible.
	Eligible func() bool
	// Monitor counts violated invariants; it may be nil.
	Monitor *invariant.Monitor
	// Incarnation distinguishes this process from earlier ones at the same
	// address; the default is a random number.
	Incarnation int64
}

// Holder acquires and renews one lease on behalf of a daemon. It is safe for
// concurrent use.
type Holder struct {
	options Options

	mu     sync.Mutex
	epoch  int64
	expiry clock.Instant
	// sequence is the sequence number of the newest request; those up to
	// releasedThrough have been released.
	sequence        int64
	releasedThrough int64
	// The lease is not requested after Resign, nor before stepDownUntil.
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

// Held reports whether this daemon holds the lease at the given instant, and the
// epoch of the lease that it holds or held last.
func (h *Holder) Held(now clock.Instant) (epoch int64, held bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.epoch, h.heldAt(now)
}

// heldAt reports whether the lease is held. The caller holds h.mu.
func (h *Holder) heldAt(now clock.Instant) bool {
	return h.epoch > 0 && now.Before(h.expiry)
}

// Run acquires the lease and renews it until ctx ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.options.TTL / renewalsPerTTL
		if !h.TryAcquireOrRenew(ctx) {
			// The random delay keeps daemons that split the votes from colliding
			// again.
			pause = pause/2 + random.Duration(h.options.TTL/renewalsPerTTL)
		}
		if !clock.Wait(ctx, h.options.Clock, pause) {
			return
		}
	}
}

// TryAcquireOrRenew sends one request to acquire or renew the lease and reports
// whether a majority granted it. After a failed renewal it reports true as well,
// since the lease is still held until it expires.
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
			// Release the grants of the minority, so that another daemon can
			// acquire the lease.
			h.Release(ctx)
		}
		return renew
	}
	// The TTL is measured from before the request, less a tenth for clock drift.
	expiry := start.Add(h.options.TTL * 9 / 10)
	if renew && h.recordGrant(sequence, 0, expiry) {
		return true
	}
	return h.acquire(ctx, sequence, expiry)
}

// acquire records a newly granted lease under a new epoch. A lease that expired
// during its renewal is new as well, since another daemon may have held it in
// between.
func (h *Holder) acquire(ctx context.Context, sequence int64, expiry clock.Instant) bool {
	epoch, err := h.options.NextEpoch(ctx, h.options.Name)
	h.options.Log.Info().Str("part", "lease").Str("lease", h.options.Name).Int64("epoch", epoch).Err(err).Msg("lease granted")
	if err != nil || !h.recordGrant(sequence, epoch, expiry) {
		h.Release(ctx)
		return false
	}
	return true
}

// beginAttempt assigns a sequence number to a request. renew reports whether the
// lease is held now, so that the request is a renewal; skip reports that the
// lease must not be requested at present.
func (h *Holder) beginAttempt(now clock.Instant) (sequence int64, renew bool, skip bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	renew = h.heldAt(now)
	skip = h.resigned || now.Before(h.stepDownUntil) || (!renew && !h.eligible())
	return h.sequence, renew, skip
}

// eligible reports whether the lease may be requested while it is not held.
func (h *Holder) eligible() bool {
	return h.options.Eligible == nil || h.options.Eligible()
}

func (h *Holder) newRequest(sequence int64, req Request) Request {
	req.Name, req.Holder, req.Incarnation, req.Sequence = h.options.Name, h.options.Address, h.options.Incarnation, sequence
	return req
}

// recordGrant records that a majority granted a request, with a new epoch or, if
// epoch is 0, as a renewal of the current lease. It returns false if that lease
// has expired, or if the request has been released in the meantime.
func (h *Holder) recordGrant(sequence int64, epoch int64, expiry clock.Instant) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.releasedThrough >= sequence || (epoch == 0 && !h.heldAt(h.options.Clock.Now())) {
		return false
	}
	if epoch > 0 && epoch <= h.epoch {
		h.options.Monitor.Violated(invariant.EpochRises, "lease %s acquired with epoch %d, which is not greater than its last epoch %d", h.options.Name, epoch, h.epoch)
	}
	h.epoch, h.expiry = max(h.epoch, epoch), expiry
	return true
}

// Release gives up the lease. Run may acquire it again.
func (h *Holder) Release(ctx context.Context) {
	h.mu.Lock()
	h.expiry, h.releasedThrough = 0, h.sequence
	sequence := h.sequence
	h.mu.Unlock()
	h.options.RequestGrant(ctx, h.newRequest(sequence, Request{Release: true}))
}

// StepDown releases the lease and does not request it again for the given
// duration, so that another daemon can acquire it.
func (h *Holder) StepDown(ctx context.Context, duration time.Duration) {
	h.mu.Lock()
	h.stepDownUntil = h.options.Clock.Now().Add(duration)
	h.mu.Unlock()
	h.Release(ctx)
}

// Resign releases the lease and never requests it again.
func (h *Holder) Resign(ctx context.Context) {
	h.mu.Lock()
	h.resigned = true
	h.mu.Unlock()
	h.Release(ctx)
}

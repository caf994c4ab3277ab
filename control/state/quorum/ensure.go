package quorum

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// Errors of EnsureQuorum and WithQuorum; both are of the kind errkind.NoQuorum.
var (
	// ErrNoQuorum reports that no majority of the voters answered within
	// RoundTimeout.
	ErrNoQuorum = errkind.Errorf(errkind.NoQuorum, "no contact with a majority of the voters")
	// ErrContextDone reports that the caller's context was canceled or its deadline
	// had passed.
	ErrContextDone = errkind.Errorf(errkind.NoQuorum, "the caller's context was canceled or its deadline passed")
)

// stallGrace is how long a command waits before it is started if the process has
// just stalled.
const stallGrace = 20 * time.Millisecond

// EnsureQuorum returns nil once contact with a majority is recent enough. Until
// then it sends rounds of heartbeats; after RoundTimeout it returns ErrNoQuorum.
func (t *Tracker) EnsureQuorum(ctx context.Context) error {
	if t.HasQuorum(t.options.Clock.Now()) {
		return checkContext(ctx)
	}
	limited, cancel := t.options.Clock.WithTimeout(ctx, t.options.RoundTimeout)
	defer cancel()
	for limited.Err() == nil {
		t.mu.Lock()
		changed := t.changed
		t.mu.Unlock()
		t.heartbeatRound(ctx)
		if t.HasQuorum(t.options.Clock.Now()) {
			t.logTransition(true)
			return checkContext(ctx)
		}
		select {
		case <-changed:
		case <-limited.Done():
		case <-t.options.Clock.After(t.heartbeatInterval()):
		}
	}
	if t.HasQuorum(t.options.Clock.Now()) {
		return checkContext(ctx)
	}
	if err := checkContext(ctx); err != nil {
		return err
	}
	t.logTransition(false)
	return ErrNoQuorum
}

// checkContext returns ErrContextDone once ctx has ended.
func checkContext(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return ErrContextDone
}

// WithQuorum calls EnsureQuorum and returns a copy of ctx that is canceled when
// contact is lost: effectiveContactTimeout after this call, or after the newest
// request that a majority answered was sent, whichever is later. The caller must
// call the returned function, even after an error.
func (t *Tracker) WithQuorum(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if t.detectStall(t.options.Clock.Now()) {
		// The callers of requests that arrived during the stall may have
		// disconnected; the wait lets the process detect that first.
		clock.Wait(ctx, t.options.Clock, stallGrace)
	}
	if err := t.EnsureQuorum(ctx); err != nil {
		return ctx, func() {}, err
	}
	guarded, cancel := context.WithCancel(ctx)
	t.options.Spawn(func() {
		defer cancel()
		t.watch(guarded)
	})
	return guarded, cancel, nil
}

// detectStall records that this process is running, and reports whether the end of
// a stall was detected within the last RoundTimeout. Stalls are detected only while
// Run is running.
func (t *Tracker) detectStall(now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastTick > 0 && now.Since(t.lastTick) > t.options.MaxAge {
		t.stalledAt = now
	}
	if t.lastTick > 0 {
		t.lastTick = now
	}
	return t.stalledAt > 0 && now.Since(t.stalledAt) < t.options.RoundTimeout
}

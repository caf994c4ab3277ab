package quorum

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// Errors of EnsureQuorum and WithQuorum; both are of the kind errkind.NoQuorum.
var (
	// ErrNoQuorum says that no majority of the voters answered within a round.
	ErrNoQuorum = errkind.Errorf(errkind.NoQuorum, "no contact with a majority of the voters")
	// ErrContextDone says that the caller's context had ended.
	ErrContextDone = errkind.Errorf(errkind.NoQuorum, "the caller is gone, or out of time")
)

// stallGrace is how long a command waits in a process that has just stalled.
const stallGrace = 20 * time.Millisecond

// EnsureQuorum returns nil once contact with a majority is fresh. Where it is
// not, it sends rounds of heartbeats, and returns ErrNoQuorum after RoundTimeout.
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

// checkContext returns ErrCallerGone once ctx has ended.
func checkContext(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return ErrContextDone
}

// WithQuorum ensures a quorum and returns a copy of ctx that is cancelled when
// contact is lost: SilenceTimeout after the call, or after the newest request
// that a majority answered, whichever is later. The caller must call the returned
// function, also after an error.
func (t *Tracker) WithQuorum(ctx context.Context) (context.Context, context.CancelFunc, error) {
	if t.detectStall(t.options.Clock.Now()) {
		// Requests that arrived during the stall may be from callers that are
		// gone; this lets their connections be seen to have closed first.
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

// detectStall records that this process runs, and reports whether it had
// stalled until a moment ago. A stall can be found only while Run runs.
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

package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// EnsureQuorum makes sure of contact, with a round of questions where it is not fresh.
// Without a majority within the wait it is an Unsettled failure.
func (t *Tracker) EnsureQuorum(ctx scope.Scope) error {
	if t.HasQuorum(ctx.Now()) {
		return callerGone(ctx)
	}
	short, release := ctx.WithTimeout(t.options.RoundTimeout)
	defer release()
	for short.Err() == nil {
		t.mu.Lock()
		changed := t.changed
		t.mu.Unlock()
		t.heartbeatRound(ctx)
		if t.HasQuorum(ctx.Now()) {
			t.logTransition(ctx, true)
			return callerGone(ctx)
		}
		select {
		case <-changed:
		case <-short.Done():
		case <-short.Clock.After(t.heartbeatInterval()):
		}
	}
	if t.HasQuorum(ctx.Now()) {
		return callerGone(ctx)
	}
	if err := callerGone(ctx); err != nil {
		return err
	}
	t.logTransition(ctx, false)
	return errkind.Errorf(errkind.NoQuorum, "no contact with a majority of the voters")
}

// callerGone is the failure of one whose caller is gone.
func callerGone(ctx scope.Scope) error {
	if ctx.Err() == nil {
		return nil
	}
	return errkind.Errorf(errkind.NoQuorum, "the caller is gone, or out of time")
}

// WithQuorum makes sure of contact and gives a scope that ends when it is lost: a
// quarter of a second after its beginning or after the loss, whichever is later.
func (t *Tracker) WithQuorum(ctx scope.Scope) (scope.Scope, func(), error) {
	if t.recentlyStalled(ctx.Now()) {
		// What came while this process stood still may be from callers that are
		// gone: they are noticed first.
		ctx.Wait(stallGrace)
	}
	if err := t.EnsureQuorum(ctx); err != nil {
		return ctx, func() {}, err
	}
	guarded, end := ctx.WithCancel()
	t.options.Spawn(func() {
		defer end()
		t.watch(guarded)
	})
	return guarded, end, nil
}

// stallGrace is how long an order waits in a process that stood still.
const stallGrace = 20 * clock.Millisecond

// recentlyStalled tells whether this process stood still until a moment ago. Only while
// Run runs can it be found.
func (t *Tracker) recentlyStalled(now clock.Instant) bool {
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

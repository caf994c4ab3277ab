package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// Sure makes sure of contact, with a round of questions where it is not fresh.
// Without a majority within the wait it is an Unsettled failure.
func (c *Contact) Sure(ctx scope.Scope) error {
	if c.Fresh(ctx.Now()) {
		return ended(ctx)
	}
	short, release := ctx.WithLimit(c.options.Wait)
	defer release()
	for short.Err() == nil {
		c.mu.Lock()
		changed := c.changed
		c.mu.Unlock()
		c.round(ctx)
		if c.Fresh(ctx.Now()) {
			c.note(ctx, true)
			return ended(ctx)
		}
		select {
		case <-changed:
		case <-short.Done():
		case <-short.Clock.After(c.pace()):
		}
	}
	if c.Fresh(ctx.Now()) {
		return ended(ctx)
	}
	if err := ended(ctx); err != nil {
		return err
	}
	c.note(ctx, false)
	return errkind.Of(errkind.Unsettled, "no contact with a majority of the voters")
}

// ended is the failure of one whose caller is gone.
func ended(ctx scope.Scope) error {
	if ctx.Err() == nil {
		return nil
	}
	return errkind.Of(errkind.Unsettled, "the caller is gone, or out of time")
}

// Guard makes sure of contact and gives a scope that ends when it is lost: a
// quarter of a second after its beginning or after the loss, whichever is later.
func (c *Contact) Guard(ctx scope.Scope) (scope.Scope, func(), error) {
	if c.woken(ctx.Now()) {
		// What came while this process stood still may be from callers that are
		// gone: they are noticed first.
		ctx.Wait(lull)
	}
	if err := c.Sure(ctx); err != nil {
		return ctx, func() {}, err
	}
	guarded, end := ctx.WithEnd()
	c.options.Spawn(func() {
		defer end()
		c.watch(guarded)
	})
	return guarded, end, nil
}

// lull is how long an order waits in a process that stood still.
const lull = 20 * clock.Millisecond

// woken tells whether this process stood still until a moment ago. Only while
// Run runs can it be found.
func (c *Contact) woken(now clock.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.beat > 0 && now.Since(c.beat) > c.options.Fresh {
		c.stood = now
	}
	if c.beat > 0 {
		c.beat = now
	}
	return c.stood > 0 && now.Since(c.stood) < c.options.Wait
}

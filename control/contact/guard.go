package contact

import (
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/scope"
)

// Sure makes sure of contact, with a round of questions where it is not fresh.
// Without a majority within the wait it is an Unsettled failure.
func (contact *Contact) Sure(inner scope.Scope) error {
	if contact.Fresh(inner.Now()) {
		return ended(inner)
	}
	short, release := inner.WithLimit(contact.options.Wait)
	defer release()
	for short.Err() == nil {
		contact.lock.Lock()
		changed := contact.changed
		contact.lock.Unlock()
		contact.round(inner)
		if contact.Fresh(inner.Now()) {
			contact.note(inner, true)
			return ended(inner)
		}
		select {
		case <-changed:
		case <-short.Done():
		case <-short.Clock.After(contact.pace()):
		}
	}
	if contact.Fresh(inner.Now()) {
		return ended(inner)
	}
	if err := ended(inner); err != nil {
		return err
	}
	contact.note(inner, false)
	return failure.Of(failure.Unsettled, "no contact with a majority of the voters")
}

// ended is the failure of one whose caller is gone.
func ended(inner scope.Scope) error {
	if inner.Err() == nil {
		return nil
	}
	return failure.Of(failure.Unsettled, "the caller is gone, or out of time")
}

// Guard makes sure of contact and gives a scope that ends when it is lost: a
// quarter of a second after its beginning or after the loss, whichever is later.
func (contact *Contact) Guard(inner scope.Scope) (scope.Scope, func(), error) {
	if contact.woken(inner.Now()) {
		// What came while this process stood still may be from callers that are
		// gone: they are noticed first.
		inner.Wait(lull)
	}
	if err := contact.Sure(inner); err != nil {
		return inner, func() {}, err
	}
	guarded, end := inner.WithEnd()
	contact.options.Spawn(func() {
		defer end()
		contact.watch(guarded)
	})
	return guarded, end, nil
}

// lull is how long an order waits in a process that stood still.
const lull = 20 * clock.Millisecond

// woken tells whether this process stood still until a moment ago. Only while
// Run runs can it be found.
func (contact *Contact) woken(now clock.Instant) bool {
	contact.lock.Lock()
	defer contact.lock.Unlock()
	if contact.beat > 0 && now.Since(contact.beat) > contact.options.Fresh {
		contact.stood = now
	}
	if contact.beat > 0 {
		contact.beat = now
	}
	return contact.stood > 0 && now.Since(contact.stood) < contact.options.Wait
}

package register

import (
	"errors"
	"sync/atomic"

	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// waiting is a change that waits for the key's writer.
type waiting struct {
	inner scope.Scope
	step  Step
	// alone is done by itself in the step's place.
	alone func(inner scope.Scope, state *owned) error
	// owned leaves it undone where the key is not owned here already.
	owned bool
	value []byte
	err   error
	done  chan struct{}
}

// mostTogether is how many changes go into one write; what waits beyond goes
// into the next.
const mostTogether = 64

// Change takes the key over where needed and writes what the step makes of its
// value. When it returns without an error a majority of disks has the value.
// After an Unsettled failure the change may or may not come into force; the
// next owner settles it. Changes that wait together share one write: each step
// is made on top of the one before, and all are answered, refusals too, once
// the write is on a majority. So a key bears many orders at once, and its owner
// answers well before others take it for silent.
func (k *Keeper) Change(ctx scope.Scope, key string, step Step) ([]byte, error) {
	return k.wait(key, &waiting{inner: ctx, step: step, done: make(chan struct{})})
}

// Read gives the value that a majority confirms.
func (k *Keeper) Read(ctx scope.Scope, key string) ([]byte, error) {
	return k.Change(ctx, key, func([]byte) ([]byte, error) { return nil, nil })
}

// Settle takes the key over anew, even from itself, and so writes its newest
// value to all voters again.
func (k *Keeper) Settle(ctx scope.Scope, key string) error {
	return k.alone(ctx, key, func(ctx scope.Scope, state *owned) error {
		state.holding = false
		return k.hold(ctx, state, key)
	})
}

// alone does something with the key that goes together with no change.
func (k *Keeper) alone(ctx scope.Scope, key string, act func(scope.Scope, *owned) error) error {
	_, err := k.wait(key, &waiting{inner: ctx, alone: act, done: make(chan struct{})})
	return err
}

// Owns tells whether this keeper believes that it owns the key.
func (k *Keeper) Owns(key string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	state := k.keys[key]
	return state != nil && (state.writing || state.holding)
}

func (k *Keeper) wait(key string, mine *waiting) ([]byte, error) {
	k.mu.Lock()
	state := k.keys[key]
	if state == nil {
		state = &owned{}
		k.keys[key] = state
	}
	state.queue = append(state.queue, mine)
	begin := !state.writing
	state.writing = true
	k.mu.Unlock()
	if begin {
		k.options.Spawn(func() { k.serve(mine.inner.Detached(), state, key) })
	}
	select {
	case <-mine.done:
		return mine.value, mine.err
	default:
	}
	select {
	case <-mine.done:
		return mine.value, mine.err
	case <-mine.inner.Done():
		return nil, errkind.Of(errkind.Unsettled, "%s: no majority answered in time", key)
	}
}

// serve works on the key until nobody waits.
func (k *Keeper) serve(ctx scope.Scope, state *owned, key string) {
	for {
		together := k.together(state)
		if len(together) == 0 {
			return
		}
		err := k.bounded(ctx, state, key, together)
		if err != nil && !state.holding && !errors.Is(err, errUnwanted) {
			// Who took the key since acts on it now: to bid again for those that
			// wait here would keep the key from both.
			together = append(together, k.drain(state)...)
		}
		for _, one := range together {
			if err != nil {
				one.value, one.err = nil, err
			}
			close(one.done)
		}
	}
}

func (k *Keeper) bounded(ctx scope.Scope, state *owned, key string, together []*waiting) error {
	if k.options.RoundLimit > 0 {
		limited, release := ctx.WithLimit(k.options.RoundLimit)
		defer release()
		ctx = limited
	}
	return k.commit(ctx, state, key, together)
}

// drain takes all that wait for the key.
func (k *Keeper) drain(state *owned) []*waiting {
	k.mu.Lock()
	defer k.mu.Unlock()
	rest := state.queue
	state.queue = nil
	return rest
}

// together takes what waits; what is done alone goes alone. Those who
// gave up before their change was begun are left out.
func (k *Keeper) together(state *owned) []*waiting {
	k.mu.Lock()
	defer k.mu.Unlock()
	var chosen []*waiting
	for len(state.queue) > 0 && len(chosen) < mostTogether {
		next := state.queue[0]
		if next.alone != nil && len(chosen) > 0 {
			break
		}
		state.queue = state.queue[1:]
		if next.inner.Err() != nil {
			next.err = errkind.Of(errkind.Unsettled, "out of time before it was begun")
			close(next.done)
			continue
		}
		chosen = append(chosen, next)
		if next.alone != nil {
			break
		}
	}
	state.writing = len(chosen) > 0
	return chosen
}

// commit makes all steps on top of each other and writes what comes of them;
// where nothing changes, a majority confirms that the value is the newest.
func (k *Keeper) commit(ctx scope.Scope, state *owned, key string, together []*waiting) error {
	if act := together[0].alone; act != nil {
		return act(ctx, state)
	}
	if together = k.owned(state, key, together); len(together) == 0 {
		return nil
	}
	wanted, release := whileWanted(ctx, together)
	defer release()
	if err := k.hold(wanted, state, key); err != nil {
		if wanted.Err() != nil && ctx.Err() == nil {
			return errUnwanted
		}
		return err
	}
	value, changed := state.current.Value, false
	for _, one := range together {
		next, refusal := one.step(value)
		if refusal == nil && next != nil {
			value, changed = next, true
		}
		one.value, one.err = value, refusal
	}
	if changed {
		return k.write(ctx, state, key, value)
	}
	return k.confirm(ctx, state, key)
}

// errUnwanted is of a bid that was let go; who came since has one made anew.
var errUnwanted = errors.New("register: nobody waits for the bid any more")

// whileWanted gives a scope that ends once all who wait have given up. A bid for
// a key that nobody waits for any more is let go: one that was cut off in the
// middle of its bid would else keep what it is asked after its return waiting
// behind it. A write goes on: it may have reached a voter.
func whileWanted(ctx scope.Scope, together []*waiting) (scope.Scope, func()) {
	wanted, end := ctx.WithEnd()
	left := atomic.Int64{}
	left.Store(int64(len(together)))
	var stops []func() bool
	for _, one := range together {
		stops = append(stops, one.inner.OnEnd(func() {
			if left.Add(-1) == 0 {
				end()
			}
		}))
	}
	return wanted, func() {
		for _, stop := range stops {
			stop()
		}
		end()
	}
}

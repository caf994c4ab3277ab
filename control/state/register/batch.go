package register

import (
	"errors"
	"sync/atomic"

	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// pendingUpdate is a change that waits for the key's writer.
type pendingUpdate struct {
	ctx    scope.Scope
	update UpdateFunc
	// exclusive is done by itself in the step's place.
	exclusive func(inner scope.Scope, state *keyState) error
	// onlyIfOwned leaves it undone where the key is not owned here already.
	onlyIfOwned bool
	value       []byte
	err         error
	done        chan struct{}
}

// maxBatchSize is how many changes go into one write; what waits beyond goes
// into the next.
const maxBatchSize = 64

// Update takes the key over where needed and writes what the step makes of its
// value. When it returns without an error a majority of disks has the value.
// After an Unsettled failure the change may or may not come into force; the
// next owner settles it. Changes that wait together share one write: each step
// is made on top of the one before, and all are answered, refusals too, once
// the write is on a majority. So a key bears many orders at once, and its owner
// answers well before others take it for silent.
func (p *Proposer) Update(ctx scope.Scope, key string, step UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: step, done: make(chan struct{})})
}

// Read gives the value that a majority confirms.
func (p *Proposer) Read(ctx scope.Scope, key string) ([]byte, error) {
	return p.Update(ctx, key, func([]byte) ([]byte, error) { return nil, nil })
}

// Reacquire takes the key over anew, even from itself, and so writes its newest
// value to all voters again.
func (p *Proposer) Reacquire(ctx scope.Scope, key string) error {
	return p.exclusively(ctx, key, func(ctx scope.Scope, state *keyState) error {
		state.owned = false
		return p.acquire(ctx, state, key)
	})
}

// exclusively does something with the key that goes together with no change.
func (p *Proposer) exclusively(ctx scope.Scope, key string, act func(scope.Scope, *keyState) error) error {
	_, err := p.submit(key, &pendingUpdate{ctx: ctx, exclusive: act, done: make(chan struct{})})
	return err
}

// Owns tells whether this keeper believes that it owns the key.
func (p *Proposer) Owns(key string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.keys[key]
	return state != nil && (state.writerActive || state.owned)
}

func (p *Proposer) submit(key string, mine *pendingUpdate) ([]byte, error) {
	p.mu.Lock()
	state := p.keys[key]
	if state == nil {
		state = &keyState{}
		p.keys[key] = state
	}
	state.queue = append(state.queue, mine)
	begin := !state.writerActive
	state.writerActive = true
	p.mu.Unlock()
	if begin {
		p.options.Spawn(func() { p.processQueue(mine.ctx.WithoutCancel(), state, key) })
	}
	select {
	case <-mine.done:
		return mine.value, mine.err
	default:
	}
	select {
	case <-mine.done:
		return mine.value, mine.err
	case <-mine.ctx.Done():
		return nil, errkind.Errorf(errkind.NoQuorum, "%s: no majority answered in time", key)
	}
}

// processQueue works on the key until nobody waits.
func (p *Proposer) processQueue(ctx scope.Scope, state *keyState, key string) {
	for {
		together := p.nextBatch(state)
		if len(together) == 0 {
			return
		}
		err := p.commitWithTimeout(ctx, state, key, together)
		if err != nil && !state.owned && !errors.Is(err, errAbandoned) {
			// Who took the key since acts on it now: to bid again for those that
			// wait here would keep the key from both.
			together = append(together, p.drainQueue(state)...)
		}
		for _, one := range together {
			if err != nil {
				one.value, one.err = nil, err
			}
			close(one.done)
		}
	}
}

func (p *Proposer) commitWithTimeout(ctx scope.Scope, state *keyState, key string, together []*pendingUpdate) error {
	if p.options.BatchTimeout > 0 {
		limited, release := ctx.WithTimeout(p.options.BatchTimeout)
		defer release()
		ctx = limited
	}
	return p.commitBatch(ctx, state, key, together)
}

// drainQueue takes all that wait for the key.
func (p *Proposer) drainQueue(state *keyState) []*pendingUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	rest := state.queue
	state.queue = nil
	return rest
}

// nextBatch takes what waits; what is done alone goes alone. Those who
// gave up before their change was begun are left out.
func (p *Proposer) nextBatch(state *keyState) []*pendingUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*pendingUpdate
	for len(state.queue) > 0 && len(chosen) < maxBatchSize {
		next := state.queue[0]
		if next.exclusive != nil && len(chosen) > 0 {
			break
		}
		state.queue = state.queue[1:]
		if next.ctx.Err() != nil {
			next.err = errkind.Errorf(errkind.NoQuorum, "out of time before it was begun")
			close(next.done)
			continue
		}
		chosen = append(chosen, next)
		if next.exclusive != nil {
			break
		}
	}
	state.writerActive = len(chosen) > 0
	return chosen
}

// commitBatch makes all steps on top of each other and writes what comes of them;
// where nothing changes, a majority confirms that the value is the newest.
func (p *Proposer) commitBatch(ctx scope.Scope, state *keyState, key string, together []*pendingUpdate) error {
	if act := together[0].exclusive; act != nil {
		return act(ctx, state)
	}
	if together = p.rejectUnowned(state, key, together); len(together) == 0 {
		return nil
	}
	wanted, release := untilAbandoned(ctx, together)
	defer release()
	if err := p.acquire(wanted, state, key); err != nil {
		if wanted.Err() != nil && ctx.Err() == nil {
			return errAbandoned
		}
		return err
	}
	value, changed := state.current.Value, false
	for _, one := range together {
		next, refusal := one.update(value)
		if refusal == nil && next != nil {
			value, changed = next, true
		}
		one.value, one.err = value, refusal
	}
	if changed {
		return p.write(ctx, state, key, value)
	}
	return p.confirm(ctx, state, key)
}

// errAbandoned is of a bid that was let go; who came since has one made anew.
var errAbandoned = errors.New("register: nobody waits for the bid any more")

// untilAbandoned gives a scope that ends once all who wait have given up. A bid for
// a key that nobody waits for any more is let go: one that was cut off in the
// middle of its bid would else keep what it is asked after its return waiting
// behind it. A write goes on: it may have reached a voter.
func untilAbandoned(ctx scope.Scope, together []*pendingUpdate) (scope.Scope, func()) {
	wanted, end := ctx.WithCancel()
	left := atomic.Int64{}
	left.Store(int64(len(together)))
	var stops []func() bool
	for _, one := range together {
		stops = append(stops, one.ctx.AfterFunc(func() {
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

package register

import (
	"context"
	"errors"
	"sync/atomic"

	"onyxwell/base/errkind"
)

// pendingUpdate is a queued call that waits for the key's writer. value and err
// are set before done is closed.
type pendingUpdate struct {
	ctx    context.Context
	update UpdateFunc
	// exclusive, if set, is run instead of update, in a batch of its own.
	exclusive func(ctx context.Context, state *keyState) error
	// onlyIfOwned makes the update fail unless the key is already owned.
	onlyIfOwned bool

	value []byte
	err   error
	done  chan struct{}
}

// maxBatchSize limits the updates that share one write; further ones wait for the
// next.
const maxBatchSize = 64

// errAbandoned ends an acquisition whose callers have all given up. Updates that
// were queued since then start a new one.
var errAbandoned = errors.New("register: acquisition abandoned: all callers gave up")

// Update acquires the key if needed, applies the function to its value and
// returns the committed value. If the error is nil, a quorum of disks holds that
// value. After an error of kind NoQuorum the update may or may not take effect,
// depending on what the key's next owner finds. Concurrent updates share one write,
// so a key sustains many of them: each is applied to the result of the previous
// one, and all return once the write has its quorum, including those whose function
// returned an error.
func (p *Proposer) Update(ctx context.Context, key string, update UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: update})
}

// UpdateIfOwned is Update for a key that is already owned. It never acquires the
// key, so a command that was forwarded here long ago can't take the key from its
// current owner. If the key is not owned under the newest voter set, the error is
// of kind NoQuorum and the update has no effect.
func (p *Proposer) UpdateIfOwned(ctx context.Context, key string, update UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: update, onlyIfOwned: true})
}

// Read returns the key's value after a quorum has confirmed that it is the newest.
// Like Update, it acquires the key if needed.
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	return p.Update(ctx, key, func([]byte) ([]byte, error) { return nil, nil })
}

// runExclusive runs a function on the key's writer, in a batch of its own.
func (p *Proposer) runExclusive(ctx context.Context, key string, run func(context.Context, *keyState) error) error {
	_, err := p.submit(key, &pendingUpdate{ctx: ctx, exclusive: run})
	return err
}

// submit queues an update, starts a writer if the key has none, and waits for the
// result.
func (p *Proposer) submit(key string, pending *pendingUpdate) ([]byte, error) {
	pending.done = make(chan struct{})
	if state, start := p.enqueue(key, pending); start {
		p.options.Spawn(func() { p.processQueue(context.WithoutCancel(pending.ctx), state) })
	}
	// If both are ready, the result takes precedence over the end of ctx.
	select {
	case <-pending.done:
		return pending.value, pending.err
	default:
	}
	select {
	case <-pending.done:
		return pending.value, pending.err
	case <-pending.ctx.Done():
		return nil, errkind.Errorf(errkind.NoQuorum, "key %s: no majority of the voters answered in time", key)
	}
}

// enqueue queues an update; start reports whether the caller has to start the
// key's writer.
func (p *Proposer) enqueue(key string, pending *pendingUpdate) (state *keyState, start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state = p.keys[key]
	if state == nil {
		state = &keyState{key: key}
		p.keys[key] = state
	}
	state.queue = append(state.queue, pending)
	start = !state.writerActive
	state.writerActive = true
	return state, start
}

// processQueue is the key's writer: it commits batches until the queue is empty.
func (p *Proposer) processQueue(ctx context.Context, state *keyState) {
	for {
		batch := p.nextBatch(state)
		if len(batch) == 0 {
			return
		}
		err := p.commitWithTimeout(ctx, state, batch)
		if err != nil && !state.owned && !errors.Is(err, errAbandoned) {
			// Another proposer may have taken the key. If the queued updates
			// acquired it again, the two would preempt each other and neither
			// would make progress, so the queued updates fail as well.
			batch = append(batch, p.drainQueue(state)...)
		}
		for _, pending := range batch {
			if err != nil {
				pending.value, pending.err = nil, err
			}
			close(pending.done)
		}
	}
}

// nextBatch dequeues either a batch of updates or a single exclusive call. Calls
// whose context has ended are completed with an error and left out. An empty
// batch marks the writer as ended.
func (p *Proposer) nextBatch(state *keyState) []*pendingUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	var batch []*pendingUpdate
	for len(state.queue) > 0 && len(batch) < maxBatchSize {
		next := state.queue[0]
		if next.exclusive != nil && len(batch) > 0 {
			break
		}
		state.queue = state.queue[1:]
		if next.ctx.Err() != nil {
			next.err = errkind.Errorf(errkind.NoQuorum, "the caller's context ended before the update was started")
			close(next.done)
			continue
		}
		batch = append(batch, next)
		if next.exclusive != nil {
			break
		}
	}
	state.writerActive = len(batch) > 0
	return batch
}

// drainQueue empties the queue and returns what it held.
func (p *Proposer) drainQueue(state *keyState) []*pendingUpdate {
	p.mu.Lock()
	defer p.mu.Unlock()
	queue := state.queue
	state.queue = nil
	return queue
}

func (p *Proposer) commitWithTimeout(ctx context.Context, state *keyState, batch []*pendingUpdate) error {
	if p.options.BatchTimeout > 0 {
		limited, cancel := p.options.Clock.WithTimeout(ctx, p.options.BatchTimeout)
		defer cancel()
		ctx = limited
	}
	return p.commitBatch(ctx, state, batch)
}

// commitBatch applies the updates in order and writes the result. If no update
// changes the value, a quorum confirms that the value is still the newest.
func (p *Proposer) commitBatch(ctx context.Context, state *keyState, batch []*pendingUpdate) error {
	if run := batch[0].exclusive; run != nil {
		return run(ctx, state)
	}
	if batch = p.rejectUnowned(state, batch); len(batch) == 0 {
		return nil
	}
	acquireCtx, cancel := contextUntilAbandoned(ctx, batch)
	defer cancel()
	if err := p.acquire(acquireCtx, state); err != nil {
		if acquireCtx.Err() != nil && ctx.Err() == nil {
			return errAbandoned
		}
		return err
	}
	value, changed := state.current.Value, false
	for _, pending := range batch {
		next, err := pending.update(value)
		if err == nil && next != nil {
			value, changed = next, true
		}
		pending.value, pending.err = value, err
	}
	if changed {
		return p.write(ctx, state, value)
	}
	return p.confirm(ctx, state)
}

// rejectUnowned fails the updates marked onlyIfOwned if the key is not owned
// under the newest voter set, and returns the others.
func (p *Proposer) rejectUnowned(state *keyState, batch []*pendingUpdate) []*pendingUpdate {
	if state.owned && p.votersCurrent(state) {
		return batch
	}
	var rest []*pendingUpdate
	for _, pending := range batch {
		if pending.onlyIfOwned {
			pending.err = errkind.Errorf(errkind.NoQuorum, "key %s is not owned by this proposer", state.key)
		} else {
			rest = append(rest, pending)
		}
	}
	return rest
}

// contextUntilAbandoned returns a context that is canceled once the contexts of
// all callers of the batch have ended. It bounds the acquisition: after a
// partition, an acquisition that no caller waits for would delay the updates
// queued since. It does not bound a write, which may already have reached a voter.
func contextUntilAbandoned(ctx context.Context, batch []*pendingUpdate) (context.Context, context.CancelFunc) {
	wanted, cancel := context.WithCancel(ctx)
	var waiting atomic.Int64
	waiting.Store(int64(len(batch)))
	var stops []func() bool
	for _, pending := range batch {
		stops = append(stops, context.AfterFunc(pending.ctx, func() {
			if waiting.Add(-1) == 0 {
				cancel()
			}
		}))
	}
	return wanted, func() {
		for _, stop := range stops {
			stop()
		}
		cancel()
	}
}

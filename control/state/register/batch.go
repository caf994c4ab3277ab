package register

import (
	"context"
	"errors"
	"sync/atomic"

	"onyxwell/base/errkind"
)

// pendingUpdate is a call that waits for the key's writer. value and err are set
// before done is closed.
type pendingUpdate struct {
	ctx    context.Context
	update UpdateFunc
	// exclusive is run by itself, instead of update.
	exclusive func(ctx context.Context, state *keyState) error
	// onlyIfOwned refuses the update unless the key is owned already.
	onlyIfOwned bool

	value []byte
	err   error
	done  chan struct{}
}

// maxBatchSize bounds the updates of one write; the rest waits for the next.
const maxBatchSize = 64

// errAbandoned ends an acquisition that nobody waits for any more; updates that
// came since start one anew.
var errAbandoned = errors.New("register: nobody waits for the bid any more")

// Update acquires the key if needed, applies the function to its value and
// returns the value that is then committed. If err is nil a quorum of disks has
// it. After an error of kind NoQuorum the update may or may not take effect;
// the next owner decides. Updates that wait together share one write: each is
// applied to the result of the one before, and all return once the write has its
// quorum, those that the function refused too. So a key bears many updates at
// once.
func (p *Proposer) Update(ctx context.Context, key string, update UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: update})
}

// UpdateIfOwned is Update for a key that is owned already: it never acquires
// one, so a command that was forwarded here long ago can't take the key from its
// present owner. If the key is not owned under the newest voter set the error is
// of kind NoQuorum, and the update has no effect.
func (p *Proposer) UpdateIfOwned(ctx context.Context, key string, update UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: update, onlyIfOwned: true})
}

// Read returns the value that a quorum confirms to be the newest.
func (p *Proposer) Read(ctx context.Context, key string) ([]byte, error) {
	return p.Update(ctx, key, func([]byte) ([]byte, error) { return nil, nil })
}

// runExclusive runs a function that shares its turn at the key with no update.
func (p *Proposer) runExclusive(ctx context.Context, key string, run func(context.Context, *keyState) error) error {
	_, err := p.submit(key, &pendingUpdate{ctx: ctx, exclusive: run})
	return err
}

// submit queues an update, starts a writer if the key has none, and waits.
func (p *Proposer) submit(key string, pending *pendingUpdate) ([]byte, error) {
	pending.done = make(chan struct{})
	if state, start := p.enqueue(key, pending); start {
		p.options.Spawn(func() { p.processQueue(context.WithoutCancel(pending.ctx), state) })
	}
	// A result that is there is preferred to the end of ctx.
	select {
	case <-pending.done:
		return pending.value, pending.err
	default:
	}
	select {
	case <-pending.done:
		return pending.value, pending.err
	case <-pending.ctx.Done():
		return nil, errkind.Errorf(errkind.NoQuorum, "%s: no majority answered in time", key)
	}
}

// enqueue reports whether the caller has to start the key's writer.
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

// processQueue is the key's writer: it works until the queue is empty.
func (p *Proposer) processQueue(ctx context.Context, state *keyState) {
	for {
		batch := p.nextBatch(state)
		if len(batch) == 0 {
			return
		}
		err := p.commitWithTimeout(ctx, state, batch)
		if err != nil && !state.owned && !errors.Is(err, errAbandoned) {
			// Whoever took the key acts on it now: to acquire it again for those
			// that wait here would keep it from both.
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

// nextBatch takes updates off the queue, or one exclusive call. Those whose
// callers gave up before are answered and left out. With an empty batch the
// writer has ended.
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
			next.err = errkind.Errorf(errkind.NoQuorum, "out of time before it was begun")
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

// drainQueue takes all that waits off the queue.
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

// commitBatch applies the updates one after the other and writes the result; if
// nothing changes a quorum confirms that the value is the newest.
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

// rejectUnowned leaves out the updates that need the key owned if it is not.
func (p *Proposer) rejectUnowned(state *keyState, batch []*pendingUpdate) []*pendingUpdate {
	if state.owned && p.votersCurrent(state) {
		return batch
	}
	var rest []*pendingUpdate
	for _, pending := range batch {
		if pending.onlyIfOwned {
			pending.err = errkind.Errorf(errkind.NoQuorum, "%s is not owned here", state.key)
		} else {
			rest = append(rest, pending)
		}
	}
	return rest
}

// contextUntilAbandoned returns a scope that ends once all callers of the batch have
// given up. It bounds the acquisition: after a partition, one that nobody waits
// for would hold up the updates that come since. A write is not bounded by it,
// for it may have reached a voter.
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

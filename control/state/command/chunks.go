package command

import (
	"errors"
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/state/register"
)

// chunkProgress is what a desk knows of the memory of changes that were taken: how many
// of them stand in pages that a majority holds, and at which write of the spec
// it looked last whether a further page is due.
type chunkProgress struct {
	mu       sync.Mutex
	sealed   int64
	epoch    ids.Epoch
	sequence int64
}

// commit carries a step out. A change of the spec may have been taken before:
// the spec itself tells of the newest changes; for an older one the page that
// knows is read, as any key is: confirmed by a majority.
func (d *Dispatcher) commit(ctx scope.Scope, order Command, carry func(register.UpdateFunc) ([]byte, error), step register.UpdateFunc) ([]byte, error) {
	if order.Verb != VerbChange {
		return carry(step)
	}
	d.chunks.mu.Lock()
	sealed := d.chunks.sealed
	d.chunks.mu.Unlock()
	value, err := carry(order.Change.ApplyTruncating(sealed))
	var beyond *store.ArchivedError
	if !errors.As(err, &beyond) {
		return value, err
	}
	page, err := d.options.Proposer.Read(ctx, beyond.Key())
	if errkind.KindOf(err) == errkind.NoQuorum && ctx.Err() == nil {
		// The page may have had another owner since this one read it last.
		page, err = d.options.Proposer.Read(ctx, beyond.Key())
	}
	if err != nil {
		return nil, err
	}
	if err := beyond.Resolve(page); err != nil {
		return nil, err
	}
	return value, nil
}

// sealChunks writes the pages of the memory that are due. Only a page that a majority
// holds counts as sealed; the next change of the spec leaves out what it holds.
// What is here when the owner falls is done again by the next one, and comes
// out the same.
func (d *Dispatcher) sealChunks(ctx scope.Scope) {
	if !d.options.Proposer.Owns(config.Key) {
		return
	}
	d.chunks.mu.Lock()
	sealed := d.chunks.sealed
	held := d.options.Acceptor.Slot(config.Key).Accepted
	looked := held.Epoch == d.chunks.epoch && held.Sequence == d.chunks.sequence
	d.chunks.mu.Unlock()
	if looked {
		return
	}
	for {
		// What the own voter holds may never come into force; but it tells
		// whether it is worth asking.
		if _, due := nextChunk(held.Value, sealed); !due {
			break
		}
		written, err := d.sealNextChunk(ctx, sealed)
		if err != nil || written <= sealed {
			return
		}
		sealed = written
	}
	d.chunks.mu.Lock()
	defer d.chunks.mu.Unlock()
	d.chunks.epoch, d.chunks.sequence = held.Epoch, held.Sequence
}

// sealNextChunk writes one page out of the spec that a majority confirms, and gives
// how many changes are sealed by then.
func (d *Dispatcher) sealNextChunk(ctx scope.Scope, sealed int64) (int64, error) {
	short, release := ctx.WithTimeout(d.options.CommandTimeout)
	defer release()
	value, err := d.options.Proposer.Read(short, config.Key)
	if err != nil {
		return sealed, err
	}
	page, due := nextChunk(value, sealed)
	if !due {
		return sealed, nil
	}
	if _, err := d.options.Proposer.Update(short, page.Key(), page.Apply); err != nil {
		return sealed, err
	}
	d.chunks.mu.Lock()
	defer d.chunks.mu.Unlock()
	d.chunks.sealed = max(d.chunks.sealed, page.Sealed())
	return page.Sealed(), nil
}

func nextChunk(value []byte, sealed int64) (store.Chunk, bool) {
	kept, err := store.DecodeCompressed(value)
	if err != nil {
		return store.Chunk{}, false
	}
	return kept.History.NextChunk(sealed)
}

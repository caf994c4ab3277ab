package command

import (
	"context"
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/state/register"
)

// chunkProgress is how far the history of changes is sealed in chunks.
type chunkProgress struct {
	mu sync.Mutex
	// sealed counts the oldest changes that are in chunks held by a majority.
	sealed int64
	// noneDueEpoch and sequence are the write of the configuration after which no chunk
	// was left to be sealed.
	noneDueEpoch    ids.Epoch
	noneDueSequence int64
}

func (c *chunkProgress) sealedCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// advance notes that so many changes are sealed.
func (c *chunkProgress) advance(sealed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = max(c.sealed, sealed)
}

// noneDueAfter tells whether no chunk was left to be sealed after a write.
func (c *chunkProgress) noneDueAfter(write register.Proposal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return write.Epoch == c.noneDueEpoch && write.Sequence == c.noneDueSequence
}

func (c *chunkProgress) setNoneDueAfter(write register.Proposal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noneDueEpoch, c.noneDueSequence = write.Epoch, write.Sequence
}

// resolveArchived decides by its chunk whether a change was applied before; nil
// means that it was. The chunk is read as any key is: confirmed by a majority.
func (d *Dispatcher) resolveArchived(ctx context.Context, archived *store.ArchivedError) error {
	chunk, err := d.options.Proposer.Read(ctx, archived.Key())
	if errkind.KindOf(err) == errkind.NoQuorum && ctx.Err() == nil {
		// Another controller may own the chunk's key by now: the failed
		// confirmation ended the ownership, and this read takes it over again.
		chunk, err = d.options.Proposer.Read(ctx, archived.Key())
	}
	if err != nil {
		return err
	}
	return archived.Resolve(chunk)
}

// sealChunks writes the chunks of the configuration's history that are due. Only
// a chunk that a majority holds counts as sealed; the next change truncates the
// history by it. It is idempotent: the next owner seals the same chunks again.
func (d *Dispatcher) sealChunks(ctx context.Context) {
	if !d.options.Proposer.Owns(config.Key) {
		return
	}
	sealed := d.chunks.sealedCount()
	accepted := d.options.Acceptor.Slot(config.Key).Accepted
	if d.chunks.noneDueAfter(accepted) {
		return
	}
	for {
		// The local acceptor's value may never be committed: it only tells whether
		// a confirmed read is worth its messages.
		if _, due := nextChunk(accepted.Value, sealed); !due {
			break
		}
		advanced, err := d.sealNextChunk(ctx, sealed)
		if err != nil || advanced <= sealed {
			return
		}
		sealed = advanced
	}
	d.chunks.setNoneDueAfter(accepted)
}

// sealNextChunk writes one chunk of the history that a majority confirms, and
// gives how many changes are sealed then.
func (d *Dispatcher) sealNextChunk(ctx context.Context, sealed int64) (int64, error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	value, err := d.options.Proposer.Read(ctx, config.Key)
	if err != nil {
		return sealed, err
	}
	chunk, due := nextChunk(value, sealed)
	if !due {
		return sealed, nil
	}
	if _, err := d.options.Proposer.Update(ctx, chunk.Key(), chunk.Apply); err != nil {
		return sealed, err
	}
	d.chunks.advance(chunk.Sealed())
	return chunk.Sealed(), nil
}

// nextChunk gives the chunk that is due by the configuration's value.
func nextChunk(value []byte, sealed int64) (store.Chunk, bool) {
	record, err := store.DecodeCompressed(value)
	if err != nil {
		return store.Chunk{}, false
	}
	return record.History.NextChunk(sealed)
}

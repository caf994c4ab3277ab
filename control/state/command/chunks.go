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

// chunkProgress tracks how much of the configuration's history of changes is sealed
// in chunks. It is safe for concurrent use.
type chunkProgress struct {
	mu sync.Mutex
	// sealed is the number of changes, oldest first, in chunks that a majority holds.
	sealed int64
	// noneDueEpoch and noneDueSequence identify the write of the configuration for
	// which it was last found that no chunk is due.
	noneDueEpoch    ids.Epoch
	noneDueSequence int64
}

func (c *chunkProgress) sealedCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// advance records that the given number of changes are sealed.
func (c *chunkProgress) advance(sealed int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = max(c.sealed, sealed)
}

// noneDueAfter reports whether it was already found that no chunk is due after a
// write of the configuration.
func (c *chunkProgress) noneDueAfter(write register.Proposal) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return write.Epoch == c.noneDueEpoch && write.Sequence == c.noneDueSequence
}

// setNoneDueAfter records that no chunk is due after a write of the configuration.
func (c *chunkProgress) setNoneDueAfter(write register.Proposal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noneDueEpoch, c.noneDueSequence = write.Epoch, write.Sequence
}

// resolveArchived returns nil if the chunk of an archived change shows that the
// change was applied, and an error otherwise. The chunk is read like any other key,
// with the confirmation of a majority.
func (d *Dispatcher) resolveArchived(ctx context.Context, archived *store.ArchivedError) error {
	chunk, err := d.options.Proposer.Read(ctx, archived.Key())
	if errkind.KindOf(err) == errkind.NoQuorum && ctx.Err() == nil {
		// Another controller may have taken over the chunk's key. The failed
		// confirmation ended this proposer's ownership, so the second read takes over
		// the key again.
		chunk, err = d.options.Proposer.Read(ctx, archived.Key())
	}
	if err != nil {
		return err
	}
	return archived.Resolve(chunk)
}

// sealChunks writes all chunks of the configuration's history that are due, if this
// controller owns the configuration. Only a chunk that a majority holds counts as
// sealed; the next change then removes its entries from the record. Sealing is
// idempotent: the next owner seals the same chunks again.
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
		// The value that the local acceptor accepted may never be committed, so it only
		// decides whether to spend the messages of a confirmed read.
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

// sealNextChunk has a majority confirm the history, writes the next chunk of it if one
// is due, and returns the number of changes that are sealed afterwards.
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
	d.chunks.advance(chunk.SealedCount())
	return chunk.SealedCount(), nil
}

// nextChunk returns the next chunk to write, given the configuration's value and the
// number of sealed changes, or false if none is due.
func nextChunk(value []byte, sealed int64) (store.Chunk, bool) {
	record, err := store.DecodeCompressed(value)
	if err != nil {
		return store.Chunk{}, false
	}
	return record.History.NextChunk(sealed)
}

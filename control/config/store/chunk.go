package store

import (
	"fmt"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ChunkKeyPrefix is the prefix of the register's keys of chunks. It must never change.
const ChunkKeyPrefix = "taken/"

// Chunk is a sealed part of the history: it is stored under its own key, and its entries
// no longer change. Its content is determined by its index and the history of changes, so
// every controller that writes it writes the same content.
type Chunk struct {
	// Index is the number of chunks before this one in the whole history.
	Index int64 `avro:"Index"`
	// BaseVersion is the version that the first of Entries was applied to.
	BaseVersion ids.Version `avro:"Base"`
	// Entries holds chunkLength entries in the encoding of History.Recent.
	Entries []byte `avro:"Entries"`
}

// SchemaName returns the Avro record name in storage and on the wire; it must never
// change.
func (Chunk) SchemaName() string { return "Page_25" }

// SealedCount returns the number of changes, from the first one on, that count as sealed
// once this chunk is written.
func (c Chunk) SealedCount() int64 { return (c.Index + 1) * chunkLength }

// Key returns the register's key of the chunk. There are chunkCount keys, which are
// used in turn, so a new chunk overwrites the oldest.
func (c Chunk) Key() string { return chunkKey(c.Index) }

func chunkKey(index int64) string { return fmt.Sprintf("%s%d", ChunkKeyPrefix, index%chunkCount) }

// Apply is an update function for the register's value under the chunk's key. It replaces
// an older chunk, and leaves the same or a newer chunk unchanged by returning nil.
func (c Chunk) Apply(current []byte) ([]byte, error) {
	if len(current) > 0 {
		present, err := decodeChunk(c.Key(), current)
		if err != nil {
			return nil, err
		}
		if present.Index >= c.Index {
			return nil, nil
		}
	}
	return transport.Marshal(c)
}

// Resolve decides from the register's value for Key whether the change was applied. It
// returns nil if it was, a *VersionConflictError if it was not, and a itself if the
// chunk was overwritten or never written.
func (a *ArchivedError) Resolve(value []byte) error {
	if len(value) == 0 {
		return a
	}
	chunk, err := decodeChunk(chunkKey(a.index), value)
	if err != nil {
		return err
	}
	if chunk.Index != a.index {
		return a
	}
	if hasEntry(chunk.BaseVersion, chunk.Entries, a.baseVersion, a.digest) {
		return nil
	}
	return &VersionConflictError{BaseVersion: a.baseVersion}
}

// decodeChunk decodes the register's value for the key of a chunk.
func decodeChunk(key string, value []byte) (Chunk, error) {
	chunk, err := transport.Unmarshal[Chunk](value)
	if err != nil {
		return Chunk{}, transport.NewStoredValueError(key, err)
	}
	return chunk, nil
}

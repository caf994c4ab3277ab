package store

import (
	"fmt"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// ChunkKeyPrefix begins the register's keys of the chunks; it must never change.
const ChunkKeyPrefix = "taken/"

// Chunk is a sealed part of the history under a key of its own. Its content
// follows from its index and the changes, so that whoever writes it writes the
// same. It is stored.
type Chunk struct {
	// Index counts the chunks from the first change on.
	Index int64 `avro:"Index"`
	// BaseVersion is the version that the first of Entries was applied on.
	BaseVersion ids.Version `avro:"Base"`
	// Entries holds chunkLength entries, encoded as History.Recent.
	Entries []byte `avro:"Entries"`
}

// SchemaName names the stored and sent form; it must never change.
func (Chunk) SchemaName() string { return "Page_25" }

// SealedCount is how many changes are sealed once this chunk is.
func (c Chunk) SealedCount() int64 { return (c.Index + 1) * chunkLength }

// Key is the register's key of the chunk, one of a ring of chunkCount.
func (c Chunk) Key() string { return chunkKey(c.Index) }

func chunkKey(index int64) string { return fmt.Sprintf("%s%d", ChunkKeyPrefix, index%chunkCount) }

// Apply is the update of the register's value that writes the chunk over an older
// one. The same chunk or a later one stays.
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

// Resolve decides by the chunk's value: nil if the change was applied,
// *VersionConflictError if another one was, and the error itself if the chunk was
// overwritten or never written.
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

// decodeChunk decodes the value of a chunk's key.
func decodeChunk(key string, value []byte) (Chunk, error) {
	chunk, err := transport.Unmarshal[Chunk](value)
	if err != nil {
		return Chunk{}, transport.NewStoredValueError(key, err)
	}
	return chunk, nil
}

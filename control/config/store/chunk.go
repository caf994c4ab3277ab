package store

import (
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Chunk is a sealed stretch of the memory under a key of its own. What it holds
// follows from its index and the changes that were taken, so whoever writes it
// writes the same.
type Chunk struct {
	Index       int64      `avro:"Index"`
	BaseVersion ids.Serial `avro:"Base"`
	Entries     []byte     `avro:"Entries"`
}

// SchemaName names the stored and sent form; it must never change.
func (Chunk) SchemaName() string { return "Page_25" }

// Sealed is how many changes are sealed once this page is.
func (c Chunk) Sealed() int64 { return (c.Index + 1) * chunkLength }

// Key is the register's key of the page: they go round in a ring.
func (c Chunk) Key() string { return chunkKey(c.Index) }

func chunkKey(index int64) string { return fmt.Sprintf("%s%d", ChunkKeyPrefix, index%chunkCount) }

// Apply writes the page over an older one. One that is there already, or is
// followed by a newer one, stays.
func (c Chunk) Apply(current []byte) ([]byte, error) {
	if len(current) > 0 {
		present, err := transport.Unmarshal[Chunk](current)
		if err != nil {
			return nil, errkind.Errorf(errkind.Internal, "kept page: %v", err)
		}
		if present.Index >= c.Index {
			return nil, nil
		}
	}
	return transport.Marshal(c)
}

// ArchivedError is told of an order on a version older than what stands beside the
// document: one page of the memory knows whether it was taken. By itself it is
// no clear answer.
type ArchivedError struct {
	baseVersion ids.Serial
	digest      []byte
	index       int64
}

// Error tells the failure.
func (a *ArchivedError) Error() string { return a.Unwrap().Error() }

// Unwrap gives the failure that this is where nobody looks further.
func (a *ArchivedError) Unwrap() error {
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: what was taken on %d is not remembered any more", a.baseVersion)
}

// Key is the register's key of the page that knows.
func (a *ArchivedError) Key() string { return chunkKey(a.index) }

// Resolve looks the order up in the page's value: no error means that it was
// taken, StaleSpec that another was, and Forgotten that the page is gone.
func (a *ArchivedError) Resolve(value []byte) error {
	if len(value) == 0 {
		return a
	}
	page, err := transport.Unmarshal[Chunk](value)
	if err != nil {
		return errkind.Errorf(errkind.Internal, "kept page: %v", err)
	}
	if page.Index != a.index {
		return a
	}
	return matchEntry(page.BaseVersion, page.Entries, a.baseVersion, a.digest, "a newer version is")
}

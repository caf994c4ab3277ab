package store

import (
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Page is a sealed stretch of the memory under a key of its own. What it holds
// follows from its index and the changes that were taken, so whoever writes it
// writes the same.
type Page struct {
	Index   int64      `avro:"Index"`
	Base    ids.Serial `avro:"Base"`
	Entries []byte     `avro:"Entries"`
}

// SchemaName names the stored and sent form; it must never change.
func (Page) SchemaName() string { return "Page_25" }

// Sealed is how many changes are sealed once this page is.
func (p Page) Sealed() int64 { return (p.Index + 1) * pageLength }

// Key is the register's key of the page: they go round in a ring.
func (p Page) Key() string { return pageKey(p.Index) }

func pageKey(index int64) string { return fmt.Sprintf("%s%d", PagePrefix, index%pageCount) }

// Step writes the page over an older one. One that is there already, or is
// followed by a newer one, stays.
func (p Page) Step(current []byte) ([]byte, error) {
	if len(current) > 0 {
		present, err := transport.Unpack[Page](current)
		if err != nil {
			return nil, errkind.Of(errkind.Internal, "kept page: %v", err)
		}
		if present.Index >= p.Index {
			return nil, nil
		}
	}
	return transport.Pack(p)
}

// Beyond is told of an order on a version older than what stands beside the
// document: one page of the memory knows whether it was taken. By itself it is
// no clear answer.
type Beyond struct {
	match  ids.Serial
	digest []byte
	index  int64
}

// Error tells the failure.
func (b *Beyond) Error() string { return b.Unwrap().Error() }

// Unwrap gives the failure that this is where nobody looks further.
func (b *Beyond) Unwrap() error {
	return errkind.Of(errkind.Forgotten, "If-Match: what was taken on %d is not remembered any more", b.match)
}

// Key is the register's key of the page that knows.
func (b *Beyond) Key() string { return pageKey(b.index) }

// Judge looks the order up in the page's value: no error means that it was
// taken, StaleSpec that another was, and Forgotten that the page is gone.
func (b *Beyond) Judge(value []byte) error {
	if len(value) == 0 {
		return b
	}
	page, err := transport.Unpack[Page](value)
	if err != nil {
		return errkind.Of(errkind.Internal, "kept page: %v", err)
	}
	if page.Index != b.index {
		return b
	}
	return judge(page.Base, page.Entries, b.match, b.digest, "a newer version is")
}

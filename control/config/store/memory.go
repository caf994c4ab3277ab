package store

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

const (
	// digestLength is how many bytes of a change's SHA-256 are remembered. Only
	// two changes on top of one version are ever compared, so one that was not
	// taken is acknowledged by mistake once in 2^64 (1.8e19) late rivals.
	digestLength = 8
	// pageLength is how many changes a page of the memory holds.
	pageLength = 256
	// recentLeast is how many of the newest changes stay beside the document when
	// the ones before them go to a page: most repeats come soon.
	recentLeast = 64
	// recentMost bounds the changes beside the document while no page can be
	// written; above it the oldest are forgotten.
	recentMost = 4096
	// pageCount is how many pages there are: a change is remembered for at least
	// 143 pages and 64 changes, two days at 18,000 a day.
	pageCount = 144
)

// PagePrefix begins the register's keys of the memory's pages.
const PagePrefix = "taken/"

// Memory is which change was taken on top of which version. At most one change
// is ever taken on a version, so the chain of versions with the digest of each
// change decides whether an order was taken, as far back as it reaches.
type Memory struct {
	// First is how many changes were taken before those in Recent: it counts
	// whole pages.
	First int64 `avro:"First"`
	// Base is the version that the first of Recent was taken on.
	Base ids.Serial `avro:"Base"`
	// Recent holds the changes since then, each as the rise of the version and
	// the change's digest.
	Recent []byte `avro:"Recent"`
	// Spans holds the rise of the version over each page that is still there,
	// the oldest first; the last ends at Base.
	Spans []byte `avro:"Spans"`
}

// SchemaName names the stored and sent form; it must never change.
func (Memory) SchemaName() string { return "Memory_25" }

// entry is one remembered change: the version that it was taken on, the rise of
// the version and the digest.
type entry struct {
	match  ids.Serial
	rise   ids.Serial
	digest []byte
}

// walk goes over entries until the visit says that it is enough, and gives the
// length of those before that.
func walk(base ids.Serial, entries []byte, visit func(entry) bool) int {
	left := entries
	for len(left) > 0 {
		rise, width := binary.Uvarint(left)
		if width <= 0 || len(left) < width+digestLength {
			break
		}
		seen := entry{match: base, rise: ids.Serial(rise), digest: left[width : width+digestLength]}
		if !visit(seen) {
			break
		}
		base += seen.rise
		left = left[width+digestLength:]
	}
	return len(entries) - len(left)
}

// judge looks among entries for the change that was taken on a version: it is
// this one, or the order is refused.
func judge(base ids.Serial, entries []byte, match ids.Serial, digest []byte, current string) error {
	again := false
	walk(base, entries, func(seen entry) bool {
		again = seen.match == match && bytes.Equal(seen.digest, digest)
		return seen.match < match
	})
	if again {
		return nil
	}
	return errkind.Of(errkind.StaleSpec, "If-Match: %d is not in place, %s", match, current)
}

// stretch cuts so many entries off the front: their bytes and the rise over
// them. There are none where fewer are left.
func stretch(entries []byte, count int) ([]byte, ids.Serial) {
	rise, seen := ids.Serial(0), 0
	length := walk(0, entries, func(next entry) bool {
		if seen == count {
			return false
		}
		seen++
		rise += next.rise
		return true
	})
	if seen < count {
		return nil, 0
	}
	return entries[:length], rise
}

// add remembers a change. What was read off a message may share its room with
// other values: nothing is added in place.
func (m *Memory) add(rise ids.Serial, digest []byte) {
	m.Recent = append(binary.AppendUvarint(slices.Clip(m.Recent), uint64(rise)), digest...)
}

// drop takes pages off the recent changes: those before the count that is known
// to be sealed, and the oldest where there are too many.
func (m *Memory) drop(sealed int64) {
	for {
		page, rise := stretch(m.Recent, pageLength)
		over := len(m.Recent) > recentMost*(digestLength+1)
		if page == nil || (m.First+pageLength > sealed && !over) {
			break
		}
		m.First, m.Base = m.First+pageLength, m.Base+rise
		m.Recent = m.Recent[len(page):]
		m.Spans = binary.AppendUvarint(slices.Clip(m.Spans), uint64(rise))
	}
	spans := m.spans()
	for surplus := len(spans) - pageCount; surplus > 0; surplus-- {
		_, width := binary.Uvarint(m.Spans)
		m.Spans = m.Spans[width:]
	}
}

func (m *Memory) spans() []ids.Serial {
	var spans []ids.Serial
	for left := m.Spans; len(left) > 0; {
		rise, width := binary.Uvarint(left)
		if width <= 0 {
			break
		}
		spans, left = append(spans, ids.Serial(rise)), left[width:]
	}
	return spans
}

// Due gives the next page to seal, where so many changes are known to be sealed
// already.
func (m Memory) Due(sealed int64) (Page, bool) {
	first, base, left := m.First, m.Base, m.Recent
	for {
		entries, rise := stretch(left, pageLength)
		if entries == nil {
			return Page{}, false
		}
		rest := left[len(entries):]
		if first >= sealed {
			spare, _ := stretch(rest, recentLeast)
			return Page{Index: first / pageLength, Base: base, Entries: entries}, spare != nil
		}
		first, base, left = first+pageLength, base+rise, rest
	}
}

// find tells whether the order was taken: no error says that it was.
func (m Memory) find(match ids.Serial, digest []byte, serial ids.Serial) error {
	current := fmt.Sprintf("version %d is", serial)
	if match >= m.Base {
		return judge(m.Base, m.Recent, match, digest, current)
	}
	index, base, spans := m.First/pageLength, m.Base, m.spans()
	for position := len(spans) - 1; position >= 0; position-- {
		index, base = index-1, base-spans[position]
		if match >= base {
			return &Beyond{match: match, digest: digest, index: index}
		}
	}
	if index == 0 {
		// All that was ever taken is remembered, and nothing on this version.
		return judge(base, nil, match, digest, current)
	}
	return errkind.Of(errkind.Forgotten, "If-Match: what was taken on %d is not remembered any more, %s in place", match, current)
}

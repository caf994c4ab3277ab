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
	// chunkLength is how many changes a page of the memory holds.
	chunkLength = 256
	// minRecent is how many of the newest changes stay beside the document when
	// the ones before them go to a page: most repeats come soon.
	minRecent = 64
	// maxRecent bounds the changes beside the document while no page can be
	// written; above it the oldest are forgotten.
	maxRecent = 4096
	// chunkCount is how many pages there are: a change is remembered for at least
	// 143 pages and 64 changes, two days at 18,000 a day.
	chunkCount = 144
)

// ChunkKeyPrefix begins the register's keys of the memory's pages.
const ChunkKeyPrefix = "taken/"

// History is which change was taken on top of which version. At most one change
// is ever taken on a version, so the chain of versions with the digest of each
// change decides whether an order was taken, as far back as it reaches.
type History struct {
	// Offset is how many changes were taken before those in Recent: it counts
	// whole pages.
	Offset int64 `avro:"First"`
	// BaseVersion is the version that the first of Recent was taken on.
	BaseVersion ids.Serial `avro:"Base"`
	// Recent holds the changes since then, each as the rise of the version and
	// the change's digest.
	Recent []byte `avro:"Recent"`
	// ChunkDeltas holds the rise of the version over each page that is still there,
	// the oldest first; the last ends at Base.
	ChunkDeltas []byte `avro:"Spans"`
}

// SchemaName names the stored and sent form; it must never change.
func (History) SchemaName() string { return "Memory_25" }

// entry is one remembered change: the version that it was taken on, the rise of
// the version and the digest.
type entry struct {
	baseVersion ids.Serial
	delta       ids.Serial
	digest      []byte
}

// walkEntries goes over entries until the visit says that it is enough, and gives the
// length of those before that.
func walkEntries(base ids.Serial, entries []byte, visit func(entry) bool) int {
	left := entries
	for len(left) > 0 {
		rise, width := binary.Uvarint(left)
		if width <= 0 || len(left) < width+digestLength {
			break
		}
		seen := entry{baseVersion: base, delta: ids.Serial(rise), digest: left[width : width+digestLength]}
		if !visit(seen) {
			break
		}
		base += seen.delta
		left = left[width+digestLength:]
	}
	return len(entries) - len(left)
}

// matchEntry looks among entries for the change that was taken on a version: it is
// this one, or the order is refused.
func matchEntry(base ids.Serial, entries []byte, match ids.Serial, digest []byte, current string) error {
	again := false
	walkEntries(base, entries, func(seen entry) bool {
		again = seen.baseVersion == match && bytes.Equal(seen.digest, digest)
		return seen.baseVersion < match
	})
	if again {
		return nil
	}
	return errkind.Errorf(errkind.VersionConflict, "If-Match: %d is not in place, %s", match, current)
}

// takeEntries cuts so many entries off the front: their bytes and the rise over
// them. There are none where fewer are left.
func takeEntries(entries []byte, count int) ([]byte, ids.Serial) {
	rise, seen := ids.Serial(0), 0
	length := walkEntries(0, entries, func(next entry) bool {
		if seen == count {
			return false
		}
		seen++
		rise += next.delta
		return true
	})
	if seen < count {
		return nil, 0
	}
	return entries[:length], rise
}

// append remembers a change. What was read off a message may share its room with
// other values: nothing is added in place.
func (h *History) append(rise ids.Serial, digest []byte) {
	h.Recent = append(binary.AppendUvarint(slices.Clip(h.Recent), uint64(rise)), digest...)
}

// truncate takes pages off the recent changes: those before the count that is known
// to be sealed, and the oldest where there are too many.
func (h *History) truncate(sealed int64) {
	for {
		page, rise := takeEntries(h.Recent, chunkLength)
		over := len(h.Recent) > maxRecent*(digestLength+1)
		if page == nil || (h.Offset+chunkLength > sealed && !over) {
			break
		}
		h.Offset, h.BaseVersion = h.Offset+chunkLength, h.BaseVersion+rise
		h.Recent = h.Recent[len(page):]
		h.ChunkDeltas = binary.AppendUvarint(slices.Clip(h.ChunkDeltas), uint64(rise))
	}
	spans := h.chunkDeltas()
	for surplus := len(spans) - chunkCount; surplus > 0; surplus-- {
		_, width := binary.Uvarint(h.ChunkDeltas)
		h.ChunkDeltas = h.ChunkDeltas[width:]
	}
}

func (h *History) chunkDeltas() []ids.Serial {
	var spans []ids.Serial
	for left := h.ChunkDeltas; len(left) > 0; {
		rise, width := binary.Uvarint(left)
		if width <= 0 {
			break
		}
		spans, left = append(spans, ids.Serial(rise)), left[width:]
	}
	return spans
}

// NextChunk gives the next page to seal, where so many changes are known to be sealed
// already.
func (h History) NextChunk(sealed int64) (Chunk, bool) {
	first, base, left := h.Offset, h.BaseVersion, h.Recent
	for {
		entries, rise := takeEntries(left, chunkLength)
		if entries == nil {
			return Chunk{}, false
		}
		rest := left[len(entries):]
		if first >= sealed {
			spare, _ := takeEntries(rest, minRecent)
			return Chunk{Index: first / chunkLength, BaseVersion: base, Entries: entries}, spare != nil
		}
		first, base, left = first+chunkLength, base+rise, rest
	}
}

// lookup tells whether the order was taken: no error says that it was.
func (h History) lookup(match ids.Serial, digest []byte, serial ids.Serial) error {
	current := fmt.Sprintf("version %d is", serial)
	if match >= h.BaseVersion {
		return matchEntry(h.BaseVersion, h.Recent, match, digest, current)
	}
	index, base, spans := h.Offset/chunkLength, h.BaseVersion, h.chunkDeltas()
	for position := len(spans) - 1; position >= 0; position-- {
		index, base = index-1, base-spans[position]
		if match >= base {
			return &ArchivedError{baseVersion: match, digest: digest, index: index}
		}
	}
	if index == 0 {
		// All that was ever taken is remembered, and nothing on this version.
		return matchEntry(base, nil, match, digest, current)
	}
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: what was taken on %d is not remembered any more, %s in place", match, current)
}

package store

import (
	"bytes"
	"encoding/binary"
	"slices"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

const (
	// digestLength is how many bytes of a change's SHA-256 are kept. Only two
	// changes on one base version are ever compared, so a change that was never
	// applied is acknowledged by mistake once in 2^64 (1.8e19) late rivals.
	digestLength = 8
	// chunkLength is how many changes a chunk holds.
	chunkLength = 256
	// minRecent is how many of the newest changes stay in the record when those
	// before them go to a chunk: most repeats come soon.
	minRecent = 64
	// maxRecent bounds the changes in the record while no chunk can be written;
	// above it the oldest are dropped.
	maxRecent = 4096
	// chunkCount is how many chunks there are. A change is kept for at least
	// chunkCount-1 chunks and minRecent changes: two days at 18,000 changes a day.
	chunkCount = 144
)

// History tells which change was applied on which version. At most one change is
// ever applied on a version; so the chain of versions, with the digest of each
// change, decides whether a change was applied, as far back as it reaches.
type History struct {
	// Offset is how many changes precede those in Recent, a multiple of
	// chunkLength.
	Offset int64 `avro:"First"`
	// BaseVersion is the version that the first of Recent was applied on.
	BaseVersion ids.Version `avro:"Base"`
	// Recent holds the entries since then: for each change the increase of the
	// version as a varint, and the digest.
	Recent []byte `avro:"Recent"`
	// ChunkDeltas holds as varints the increase of the version over each chunk
	// that is still kept, the oldest first; the last ends at BaseVersion.
	ChunkDeltas []byte `avro:"Spans"`
}

// SchemaName names the stored and sent form; it must never change.
func (History) SchemaName() string { return "Memory_25" }

// entry is one change of the history.
type entry struct {
	baseVersion ids.Version
	// delta is the increase of the version by the change.
	delta  ids.Version
	digest []byte
}

// walkEntries visits encoded entries, the first of them applied on the base
// version, until visit returns false. It returns the encoded length of the
// entries before that one.
func walkEntries(baseVersion ids.Version, entries []byte, visit func(entry) bool) int {
	rest := entries
	for len(rest) > 0 {
		delta, width := binary.Uvarint(rest)
		if width <= 0 || len(rest) < width+digestLength {
			break
		}
		e := entry{baseVersion: baseVersion, delta: ids.Version(delta), digest: rest[width : width+digestLength]}
		if !visit(e) {
			break
		}
		baseVersion += e.delta
		rest = rest[width+digestLength:]
	}
	return len(entries) - len(rest)
}

// hasEntry tells whether the change of a digest is the one that was applied on a
// version. The first of the encoded entries was applied on the version first.
func hasEntry(first ids.Version, entries []byte, baseVersion ids.Version, digest []byte) bool {
	applied := false
	walkEntries(first, entries, func(e entry) bool {
		applied = e.baseVersion == baseVersion && bytes.Equal(e.digest, digest)
		return e.baseVersion < baseVersion
	})
	return applied
}

// firstEntries gives the first count of encoded entries, and the increase of the
// version over them; none if there are fewer.
func firstEntries(entries []byte, count int) (prefix []byte, delta ids.Version) {
	found := 0
	length := walkEntries(0, entries, func(e entry) bool {
		if found == count {
			return false
		}
		found++
		delta += e.delta
		return true
	})
	if found < count {
		return nil, 0
	}
	return entries[:length], delta
}

// append adds a change. Recent may be a part of a decoded message's buffer, so
// that nothing is appended in place.
func (h *History) append(delta ids.Version, digest []byte) {
	h.Recent = append(binary.AppendUvarint(slices.Clip(h.Recent), uint64(delta)), digest...)
}

// truncate drops whole chunks from Recent: those among the first sealed changes,
// and the oldest while there are more than maxRecent.
func (h *History) truncate(sealed int64) {
	for {
		chunk, delta := firstEntries(h.Recent, chunkLength)
		// A version's increase takes a byte at least.
		overflow := len(h.Recent) > maxRecent*(digestLength+1)
		if chunk == nil || (h.Offset+chunkLength > sealed && !overflow) {
			break
		}
		h.Offset, h.BaseVersion = h.Offset+chunkLength, h.BaseVersion+delta
		h.Recent = h.Recent[len(chunk):]
		h.ChunkDeltas = binary.AppendUvarint(slices.Clip(h.ChunkDeltas), uint64(delta))
	}
	for excess := len(h.chunkDeltas()) - chunkCount; excess > 0; excess-- {
		_, width := binary.Uvarint(h.ChunkDeltas)
		h.ChunkDeltas = h.ChunkDeltas[width:]
	}
}

// chunkDeltas decodes ChunkDeltas.
func (h *History) chunkDeltas() []ids.Version {
	var deltas []ids.Version
	for rest := h.ChunkDeltas; len(rest) > 0; {
		delta, width := binary.Uvarint(rest)
		if width <= 0 {
			break
		}
		deltas, rest = append(deltas, ids.Version(delta)), rest[width:]
	}
	return deltas
}

// NextChunk gives the next chunk to write, given how many changes are sealed; it
// is not due before minRecent changes follow it.
func (h History) NextChunk(sealed int64) (chunk Chunk, due bool) {
	offset, baseVersion, rest := h.Offset, h.BaseVersion, h.Recent
	for {
		entries, delta := firstEntries(rest, chunkLength)
		if entries == nil {
			return Chunk{}, false
		}
		rest = rest[len(entries):]
		if offset >= sealed {
			following, _ := firstEntries(rest, minRecent)
			return Chunk{Index: offset / chunkLength, BaseVersion: baseVersion, Entries: entries}, following != nil
		}
		offset, baseVersion = offset+chunkLength, baseVersion+delta
	}
}

// lookup decides whether a change on an earlier version was applied: nil means
// that it was. Current is the version in force.
func (h History) lookup(baseVersion ids.Version, digest []byte, current ids.Version) error {
	conflict := func() error {
		return &VersionConflictError{BaseVersion: baseVersion, Current: current, CurrentKnown: true}
	}
	if baseVersion >= h.BaseVersion {
		if hasEntry(h.BaseVersion, h.Recent, baseVersion, digest) {
			return nil
		}
		return conflict()
	}
	index, first, deltas := h.Offset/chunkLength, h.BaseVersion, h.chunkDeltas()
	for _, delta := range slices.Backward(deltas) {
		index, first = index-1, first-delta
		if baseVersion >= first {
			return &ArchivedError{baseVersion: baseVersion, digest: digest, index: index}
		}
	}
	if index == 0 {
		// The history reaches back to the first change, and none was applied on
		// this version.
		return conflict()
	}
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: what was taken on %d is not remembered any more, version %d is in place", baseVersion, current)
}

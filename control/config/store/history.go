package store

import (
	"bytes"
	"encoding/binary"
	"slices"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

const (
	// digestLength is the number of bytes of a change's SHA-256 hash that are stored.
	// Only digests of changes with the same base version are compared, so a conflicting
	// change that arrives late is wrongly acknowledged as applied with a probability of
	// one in 2^64 (1.8e19).
	digestLength = 8
	// chunkLength is the number of changes in a chunk.
	chunkLength = 256
	// minRecent is the number of newest changes that stay in the record when older ones
	// are moved to a chunk: most changes that are sent again are recent ones.
	minRecent = 64
	// maxRecent limits the number of changes in the record while no chunk can be
	// written. Beyond it the oldest are dropped.
	maxRecent = 4096
	// chunkCount is the number of chunks that are kept. A change is remembered at least
	// until chunkCount-1 chunks and minRecent further changes have followed it: two days
	// at 18,000 changes a day.
	chunkCount = 144
)

// History records which change was applied to which version. At most one change is
// ever applied to a version, so the sequence of versions with the digest of each change
// shows whether a change was applied, as far back as the history reaches.
type History struct {
	// Offset is the number of changes before those in Recent, a multiple of chunkLength.
	Offset int64 `avro:"First"`
	// BaseVersion is the version that the first change in Recent was applied to.
	BaseVersion ids.Version `avro:"Base"`
	// Recent holds the entries of the changes from BaseVersion on: for each change, the
	// increase of the version as a varint, and the digest.
	Recent []byte `avro:"Recent"`
	// ChunkDeltas holds, as varints, the increase of the version over each of the chunks
	// before Recent, at most the last chunkCount ones, oldest first. The last one ends at
	// BaseVersion.
	ChunkDeltas []byte `avro:"Spans"`
}

// SchemaName returns the Avro record name in storage and on the wire; it must never
// change.
func (History) SchemaName() string { return "Memory_25" }

// entry is the record of one change in the history.
type entry struct {
	baseVersion ids.Version
	// delta is the increase of the version by the change.
	delta  ids.Version
	digest []byte
}

// walkEntries calls visit for each of the encoded entries until visit returns false.
// The first entry was applied to baseVersion. walkEntries returns the encoded length of
// the entries for which visit returned true.
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

// hasEntry reports whether the change with the digest was applied to baseVersion. The
// first of the encoded entries was applied to the version first.
func hasEntry(first ids.Version, entries []byte, baseVersion ids.Version, digest []byte) bool {
	applied := false
	walkEntries(first, entries, func(e entry) bool {
		applied = e.baseVersion == baseVersion && bytes.Equal(e.digest, digest)
		return e.baseVersion < baseVersion
	})
	return applied
}

// firstEntries returns the first count encoded entries and the increase of the version
// over them, or nil and 0 if there are fewer.
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

// append adds the entry of a change. It copies Recent instead of appending in place,
// because Recent may be part of the buffer of a decoded message.
func (h *History) append(delta ids.Version, digest []byte) {
	h.Recent = append(binary.AppendUvarint(slices.Clip(h.Recent), uint64(delta)), digest...)
}

// truncate removes whole chunks from the start of Recent: those that lie within the
// first sealed changes of the whole history, and further ones while Recent takes more
// bytes than maxRecent entries of the minimum size.
func (h *History) truncate(sealed int64) {
	for {
		chunk, delta := firstEntries(h.Recent, chunkLength)
		// An entry takes at least digestLength+1 bytes: the varint of the version's
		// increase takes one byte or more. Entries with longer varints are therefore
		// dropped before there are maxRecent of them.
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

// NextChunk returns the first chunk of Recent after the sealed changes, where sealed is
// the number of changes whose chunks are already written. The chunk is due to be written
// once minRecent changes follow it.
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

// lookup decides whether a change whose base version is not the current one was
// applied. It returns nil if it was. The current version is needed only for errors.
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
		// The history reaches back to the first change, and none was applied to this
		// version.
		return conflict()
	}
	return errkind.Errorf(errkind.OutcomeExpired, "If-Match: the outcome of changes to version %d is no longer known, the current version is %d", baseVersion, current)
}

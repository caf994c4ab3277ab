package store

import (
	"encoding/json"
	"errors"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// testingT is the part of *testing.T, *testing.B and *rapid.T that changeLog uses.
type testingT interface {
	Helper()
	Fatalf(format string, values ...any)
}

// changeLog holds a record to which many changes are applied, and its chunks as the
// register would store them.
type changeLog struct {
	t       testingT
	value   []byte
	changes []Change
	chunks  map[string][]byte
	// sealed is the number of changes in chunks.
	sealed int64
}

func newChangeLog(t testingT) *changeLog {
	t.Helper()
	c := &changeLog{t: t, chunks: map[string][]byte{}}
	c.apply(Change{Full: true, Body: []byte(validConfig)})
	return c
}

// apply applies a change and fails the test if it was applied before.
func (c *changeLog) apply(change Change) {
	c.t.Helper()
	next, err := change.ApplyWith(ApplyOptions{SealedCount: c.sealed})(c.value)
	if err != nil || next == nil {
		c.t.Fatalf("change %d was not applied: %v", len(c.changes), err)
	}
	c.value, c.changes = next, append(c.changes, change)
}

// patchChange returns a patch that sets the version. Patches with the same versions and
// different marks differ in their digests.
func patchChange(base ids.Version, version ids.Version, mark int) Change {
	body, _ := json.Marshal(map[string]any{"config_version": version, "mark": mark})
	return Change{BaseVersion: base, Body: body}
}

// appendChanges applies count changes that increase the version by 1 to 5. All but the
// last two are added directly to the history, without applying them to the document.
func (c *changeLog) appendChanges(count int) {
	c.t.Helper()
	record, err := DecodeCompressed(c.value)
	for range count - 2 {
		change := patchChange(record.Version, record.Version+1+ids.Version(len(c.changes)%5), 0)
		record.Version = change.Version()
		record.History.append(record.Version-change.BaseVersion, change.digest())
		record.History.truncate(c.sealed)
		c.changes = append(c.changes, change)
	}
	if c.value, _ = transport.Marshal(record); err != nil {
		c.t.Fatalf("decoding the record: %v", err)
	}
	for range min(count, 2) {
		record, _ = DecodeCompressed(c.value)
		c.apply(patchChange(record.Version, record.Version+1+ids.Version(len(c.changes)%5), 0))
	}
}

// seal writes all chunks that are due.
func (c *changeLog) seal() {
	c.t.Helper()
	for {
		record, _ := DecodeCompressed(c.value)
		chunk, due := record.History.NextChunk(c.sealed)
		if !due {
			return
		}
		next, err := chunk.Apply(c.chunks[chunk.Key()])
		if err != nil || next == nil {
			c.t.Fatalf("chunk %d: %v", chunk.Index, err)
		}
		c.chunks[chunk.Key()], c.sealed = next, chunk.SealedCount()
	}
}

// lookup sends a change again and returns the kind of its error, None if the change is
// found to have been applied. It fails the test if the change is applied now.
func (c *changeLog) lookup(change Change) errkind.Kind {
	next, err := change.ApplyWith(ApplyOptions{SealedCount: c.sealed})(c.value)
	var archived *ArchivedError
	if errors.As(err, &archived) {
		err = archived.Resolve(c.chunks[archived.Key()])
	}
	if next != nil {
		c.t.Fatalf("a change based on version %d was applied again", change.BaseVersion)
	}
	return errkind.KindOf(err)
}

package store

import (
	"encoding/json"
	"errors"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// testingT is what *testing.T, *testing.B and *rapid.T have in common.
type testingT interface {
	Helper()
	Fatalf(format string, values ...any)
}

// changeLog is a record that many changes were applied to, with its chunks as the
// register would hold them.
type changeLog struct {
	t       testingT
	value   []byte
	changes []Change
	chunks  map[string][]byte
	// sealed is how many changes the chunks hold.
	sealed int64
}

func newChangeLog(t testingT) *changeLog {
	t.Helper()
	c := &changeLog{t: t, chunks: map[string][]byte{}}
	c.apply(Change{Full: true, Body: []byte(validConfig)})
	return c
}

// apply applies a change that must be new.
func (c *changeLog) apply(change Change) {
	c.t.Helper()
	next, err := change.ApplyTruncating(c.sealed)(c.value)
	if err != nil || next == nil {
		c.t.Fatalf("change %d was not applied: %v", len(c.changes), err)
	}
	c.value, c.changes = next, append(c.changes, change)
}

// patchChange is a change that sets a version and a mark.
func patchChange(base ids.Version, version ids.Version, mark int) Change {
	body, _ := json.Marshal(map[string]any{"config_version": version, "mark": mark})
	return Change{BaseVersion: base, Body: body}
}

// appendChanges applies so many changes with uneven increases of the version. All but the
// last two are added to the history directly, without their documents.
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
		c.t.Fatalf("%v", err)
	}
	for range min(count, 2) {
		record, _ = DecodeCompressed(c.value)
		c.apply(patchChange(record.Version, record.Version+1+ids.Version(len(c.changes)%5), 0))
	}
}

// seal writes the chunks that are due.
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

// lookup gives the result of a change that is repeated now: None if it counts as
// applied before. It must never be applied again.
func (c *changeLog) lookup(change Change) errkind.Kind {
	next, err := change.ApplyTruncating(c.sealed)(c.value)
	var archived *ArchivedError
	if errors.As(err, &archived) {
		err = archived.Resolve(c.chunks[archived.Key()])
	}
	if next != nil {
		c.t.Fatalf("a change on version %d was applied again", change.BaseVersion)
	}
	return errkind.KindOf(err)
}

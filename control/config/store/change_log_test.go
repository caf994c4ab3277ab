package store

import (
	"encoding/json"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// testingT is what tests, benchmarks and properties have in common.
type testingT interface {
	Helper()
	Fatalf(format string, values ...any)
}

// changeLog is a spec that many changes were made to, with its pages as a register
// would hold them.
type changeLog struct {
	t       testingT
	value   []byte
	changes []Change
	chunks  map[string][]byte
	// sealed is how many changes the pages hold.
	sealed int64
}

func newChangeLog(t testingT) *changeLog {
	made := &changeLog{t: t, chunks: map[string][]byte{}}
	made.apply(Change{Full: true, Body: []byte(validConfig)})
	return made
}

func (c *changeLog) apply(change Change) {
	c.t.Helper()
	next, err := change.ApplyTruncating(c.sealed)(c.value)
	if err != nil || next == nil {
		c.t.Fatalf("change %d was not taken: %v", len(c.changes), err)
	}
	c.value, c.changes = next, append(c.changes, change)
}

func patchChange(match ids.Serial, serial ids.Serial, mark int) Change {
	body, _ := json.Marshal(map[string]any{"config_version": serial, "mark": mark})
	return Change{BaseVersion: match, Body: body}
}

// grow takes so many changes with uneven rises. All but the last two are put
// into the memory as a step does it, without reading the documents.
func (c *changeLog) grow(count int) {
	c.t.Helper()
	kept, err := DecodeCompressed(c.value)
	for range count - 2 {
		change := patchChange(kept.Version, kept.Version+1+ids.Serial(len(c.changes)%5), 0)
		kept.Version = change.Version()
		kept.History.append(kept.Version-change.BaseVersion, change.digest())
		kept.History.truncate(c.sealed)
		c.changes = append(c.changes, change)
	}
	if c.value, _ = transport.Marshal(kept); err != nil {
		c.t.Fatalf("%v", err)
	}
	for range min(count, 2) {
		kept, _ = DecodeCompressed(c.value)
		c.apply(patchChange(kept.Version, kept.Version+1+ids.Serial(len(c.changes)%5), 0))
	}
}

// seal writes the pages that are due.
func (c *changeLog) seal() {
	for {
		kept, _ := DecodeCompressed(c.value)
		page, due := kept.History.NextChunk(c.sealed)
		if !due {
			return
		}
		next, err := page.Apply(c.chunks[page.Key()])
		if err != nil || next == nil {
			c.t.Fatalf("page %d: %v", page.Index, err)
		}
		c.chunks[page.Key()], c.sealed = next, page.Sealed()
	}
}

// lookup gives what becomes of an order that is sent now: None where it counts as
// taken before, and nothing may change.
func (c *changeLog) lookup(change Change) errkind.Kind {
	next, err := change.ApplyTruncating(c.sealed)(c.value)
	if beyond, found := err.(*ArchivedError); found {
		err = beyond.Resolve(c.chunks[beyond.Key()])
	}
	if next != nil {
		c.t.Fatalf("an order on version %d was taken anew", change.BaseVersion)
	}
	return errkind.KindOf(err)
}

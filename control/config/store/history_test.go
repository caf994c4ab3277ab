package store

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/transport"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestHistory_decidesEveryChange goes over pages, some sealed late: each repeat is
// known, each rival on the same version and each order on a version that never
// was is refused.
func TestHistory_decidesEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := newChangeLog(t)
		for range rapid.IntRange(1, 6).Draw(t, "stretches") {
			chain.grow(rapid.IntRange(1, 400).Draw(t, "changes"))
			if rapid.Bool().Draw(t, "sealing") {
				chain.seal()
			}
		}
		for range 40 {
			index := rapid.IntRange(0, len(chain.changes)-1).Draw(t, "repeat")
			change := chain.changes[index]
			if kind := chain.lookup(change); kind != errkind.None {
				t.Fatalf("the repeat of change %d of %d on version %d: %v", index, len(chain.changes), change.BaseVersion, kind)
			}
			rival := patchChange(change.BaseVersion, change.Version(), 1)
			if kind := chain.lookup(rival); kind != errkind.VersionConflict {
				t.Fatalf("a rival of change %d of %d: %v", index, len(chain.changes), kind)
			}
			if between := change.BaseVersion + 1; between < change.Version() {
				if kind := chain.lookup(patchChange(between, between+1, 0)); kind != errkind.VersionConflict {
					t.Fatalf("version %d never was: %v", between, kind)
				}
			}
		}
		kept, _ := DecodeCompressed(chain.value)
		if kind := chain.lookup(patchChange(kept.Version+1, kept.Version+2, 0)); kind != errkind.VersionConflict {
			t.Fatalf("a version that is yet to come: %v", kind)
		}
	})
}

// TestHistory_dropsOldestChunks goes once round the ring of pages.
func TestHistory_dropsOldestChunks(t *testing.T) {
	chain := newChangeLog(t)
	for range chunkCount + 3 {
		chain.grow(chunkLength)
		chain.seal()
	}
	counts := map[errkind.Kind]int{}
	first := -1
	for index, change := range chain.changes {
		kind := chain.lookup(change)
		if kind == errkind.None && first < 0 {
			first = index
		}
		if first >= 0 && kind != errkind.None {
			t.Fatalf("change %d of %d: %v, though an older one was known", index, len(chain.changes), kind)
		}
		counts[kind]++
	}
	if counts[errkind.None] < (chunkCount-1)*chunkLength+minRecent || counts[errkind.OutcomeExpired] != first {
		t.Fatalf("%v", counts)
	}
	size, beside := 0, 0
	for range chunkLength {
		chain.grow(1)
		chain.seal()
		kept, _ := DecodeCompressed(chain.value)
		beside += len(kept.History.Recent) + len(kept.History.ChunkDeltas)
	}
	for _, page := range chain.chunks {
		size += len(page)
	}
	t.Logf("%d changes known of %d; %d bytes a write on the average; %d pages of %d bytes in all",
		counts[errkind.None], counts[errkind.None]+counts[errkind.OutcomeExpired], beside/chunkLength, len(chain.chunks), size)
}

// TestHistory_missingChunkIsUndecided has pages missing, and overtaken.
func TestHistory_missingChunkIsUndecided(t *testing.T) {
	chain := newChangeLog(t)
	chain.grow(2 * chunkLength)
	chain.seal()
	chain.grow(1)
	page := chain.chunks[chunkKey(0)]
	next, err := Chunk{Index: chunkCount}.Apply(page)
	if err != nil || next == nil {
		t.Fatal(err)
	}
	if back, err := (Chunk{Index: 0}).Apply(next); back != nil || err != nil {
		t.Fatalf("an older page replaced a newer one: %v", err)
	}
	for _, value := range [][]byte{nil, next} {
		chain.chunks[chunkKey(0)] = value
		if kind := chain.lookup(chain.changes[3]); kind != errkind.OutcomeExpired {
			t.Fatalf("%v", kind)
		}
	}
	chain.chunks[chunkKey(0)] = page[:len(page)-1]
	if kind := chain.lookup(chain.changes[3]); kind != errkind.Internal {
		t.Fatalf("a torn page: %v", kind)
	}
	if kind := chain.lookup(chain.changes[len(chain.changes)-1]); kind != errkind.None {
		t.Fatalf("the newest needs no page: %v", kind)
	}
}

// TestHistory_boundedWithoutChunks has no page ever written.
func TestHistory_boundedWithoutChunks(t *testing.T) {
	chain := newChangeLog(t)
	for range maxRecent/chunkLength + 3 {
		chain.grow(chunkLength)
	}
	kept, err := DecodeCompressed(chain.value)
	if err != nil || len(kept.History.Recent) > maxRecent*(digestLength+1) {
		t.Fatalf("%d bytes, %v", len(kept.History.Recent), err)
	}
	if kind := chain.lookup(chain.changes[0]); kind != errkind.OutcomeExpired {
		t.Fatalf("%v", kind)
	}
	chain.seal()
	if kind := chain.lookup(chain.changes[len(chain.changes)/2]); kind != errkind.None {
		t.Fatalf("%v", kind)
	}
}

// olderKept is Kept as an older build wrote it: the same name, other fields.
type olderKept struct {
	Serial   ids.Serial `avro:"Serial"`
	Document []byte     `avro:"Document"`
}

// SchemaName is that of Kept.
func (olderKept) SchemaName() string { return Record{}.SchemaName() }

// TestDecode_rejectsOtherSchema reads what an older build kept.
func TestDecode_rejectsOtherSchema(t *testing.T) {
	old, err := transport.Marshal(olderKept{Serial: 7, Document: []byte(validConfig)})
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{old, old[4:], []byte("odd")} {
		if _, err := Decode(value); err == nil {
			t.Fatal("it was read")
		}
		if _, err := (Change{BaseVersion: 7, Body: []byte(validConfig)}).Apply(value); errkind.KindOf(err) != errkind.Internal {
			t.Fatalf("%v", err)
		}
	}
}

// BenchmarkHistoryLookup prints what one look at the memory costs, without the
// register's reads, and how many bytes of a write are the memory's.
func BenchmarkHistoryLookup(b *testing.B) {
	for _, pages := range []int{0, 1, 10, chunkCount} {
		chain := newChangeLog(b)
		chain.grow(minRecent)
		for range pages {
			chain.grow(chunkLength)
			chain.seal()
		}
		chain.grow(2)
		kept, _ := DecodeCompressed(chain.value)
		for name, index := range map[string]int{"newest": len(chain.changes) - 1, "oldest": max(0, len(chain.changes)-pages*chunkLength-minRecent)} {
			b.Run(fmt.Sprintf("%dpages/%s", pages, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if kind := chain.lookup(chain.changes[index]); kind != errkind.None {
						b.Fatal(kind)
					}
				}
				b.ReportMetric(float64(len(kept.History.Recent)+len(kept.History.ChunkDeltas)), "memory-bytes/write")
			})
		}
	}
}

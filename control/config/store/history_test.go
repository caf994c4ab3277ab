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

func TestMain(m *testing.M) { proptest.Run(m) }

// TestHistory_decidesEveryChange goes over chunks, some of them sealed late: every
// repeat is acknowledged; every rival on the same version, and every change on a
// version that never was, conflicts.
func TestHistory_decidesEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newChangeLog(t)
		for range rapid.IntRange(1, 6).Draw(t, "stretches") {
			log.appendChanges(rapid.IntRange(1, 400).Draw(t, "changes"))
			if rapid.Bool().Draw(t, "sealing") {
				log.seal()
			}
		}
		for range 40 {
			index := rapid.IntRange(0, len(log.changes)-1).Draw(t, "repeat")
			change := log.changes[index]
			if kind := log.lookup(change); kind != errkind.None {
				t.Fatalf("repeat of change %d of %d on version %d: %v", index, len(log.changes), change.BaseVersion, kind)
			}
			conflicting := patchChange(change.BaseVersion, change.Version(), 1)
			if kind := log.lookup(conflicting); kind != errkind.VersionConflict {
				t.Fatalf("rival of change %d of %d: %v", index, len(log.changes), kind)
			}
			if between := change.BaseVersion + 1; between < change.Version() {
				if kind := log.lookup(patchChange(between, between+1, 0)); kind != errkind.VersionConflict {
					t.Fatalf("version %d, which never was: %v", between, kind)
				}
			}
		}
		record, _ := DecodeCompressed(log.value)
		if kind := log.lookup(patchChange(record.Version+1, record.Version+2, 0)); kind != errkind.VersionConflict {
			t.Fatalf("a future version: %v", kind)
		}
	})
}

// TestHistory_dropsOldestChunks goes once round the ring of chunks.
func TestHistory_dropsOldestChunks(t *testing.T) {
	log := newChangeLog(t)
	for range chunkCount + 3 {
		log.appendChanges(chunkLength)
		log.seal()
	}
	counts := map[errkind.Kind]int{}
	oldestKnown := -1
	for index, change := range log.changes {
		kind := log.lookup(change)
		if kind == errkind.None && oldestKnown < 0 {
			oldestKnown = index
		}
		if oldestKnown >= 0 && kind != errkind.None {
			t.Fatalf("change %d of %d: %v, though an older one was known", index, len(log.changes), kind)
		}
		counts[kind]++
	}
	if counts[errkind.None] < (chunkCount-1)*chunkLength+minRecent || counts[errkind.OutcomeExpired] != oldestKnown {
		t.Fatalf("%v", counts)
	}
	chunkBytes, historyBytes := 0, 0
	for range chunkLength {
		log.appendChanges(1)
		log.seal()
		record, _ := DecodeCompressed(log.value)
		historyBytes += len(record.History.Recent) + len(record.History.ChunkDeltas)
	}
	for _, chunk := range log.chunks {
		chunkBytes += len(chunk)
	}
	t.Logf("%d of %d changes known; %d bytes of history in an average write; %d chunks of %d bytes in all",
		counts[errkind.None], counts[errkind.None]+counts[errkind.OutcomeExpired], historyBytes/chunkLength, len(log.chunks), chunkBytes)
}

// TestHistory_missingChunkIsUndecided has a chunk missing, overwritten and torn.
func TestHistory_missingChunkIsUndecided(t *testing.T) {
	log := newChangeLog(t)
	log.appendChanges(2 * chunkLength)
	log.seal()
	log.appendChanges(1)
	chunk := log.chunks[chunkKey(0)]
	next, err := Chunk{Index: chunkCount}.Apply(chunk)
	if err != nil || next == nil {
		t.Fatal(err)
	}
	if older, err := (Chunk{Index: 0}).Apply(next); older != nil || err != nil {
		t.Fatalf("an older chunk replaced a newer one: %v", err)
	}
	for _, value := range [][]byte{nil, next} {
		log.chunks[chunkKey(0)] = value
		if kind := log.lookup(log.changes[3]); kind != errkind.OutcomeExpired {
			t.Fatalf("%v", kind)
		}
	}
	log.chunks[chunkKey(0)] = chunk[:len(chunk)-1]
	if kind := log.lookup(log.changes[3]); kind != errkind.Internal {
		t.Fatalf("torn chunk: %v", kind)
	}
	if kind := log.lookup(log.changes[len(log.changes)-1]); kind != errkind.None {
		t.Fatalf("the newest change needs no chunk: %v", kind)
	}
}

// TestHistory_boundedWithoutChunks has no chunk ever written.
func TestHistory_boundedWithoutChunks(t *testing.T) {
	log := newChangeLog(t)
	for range maxRecent/chunkLength + 3 {
		log.appendChanges(chunkLength)
	}
	record, err := DecodeCompressed(log.value)
	if err != nil || len(record.History.Recent) > maxRecent*(digestLength+1) {
		t.Fatalf("%d bytes, %v", len(record.History.Recent), err)
	}
	if kind := log.lookup(log.changes[0]); kind != errkind.OutcomeExpired {
		t.Fatalf("%v", kind)
	}
	log.seal()
	if kind := log.lookup(log.changes[len(log.changes)/2]); kind != errkind.None {
		t.Fatalf("%v", kind)
	}
}

// olderRecord is Record as an older build stored it: the same name, other fields.
type olderRecord struct {
	Serial   ids.Version `avro:"Serial"`
	Document []byte      `avro:"Document"`
}

// SchemaName is that of Record.
func (olderRecord) SchemaName() string { return Record{}.SchemaName() }

// TestDecode_rejectsOtherSchema decodes what an older build stored.
func TestDecode_rejectsOtherSchema(t *testing.T) {
	value, err := transport.Marshal(olderRecord{Serial: 7, Document: []byte(validConfig)})
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{value, value[4:], []byte("odd")} {
		if _, err := Decode(value); err == nil {
			t.Fatal("decoded")
		}
		if _, err := (Change{BaseVersion: 7, Body: []byte(validConfig)}).Apply(value); errkind.KindOf(err) != errkind.Internal {
			t.Fatalf("%v", err)
		}
	}
}

// BenchmarkHistoryLookup measures one lookup in the history, without the
// register's reads, and how many bytes of a write are the history's.
func BenchmarkHistoryLookup(b *testing.B) {
	for _, chunks := range []int{0, 1, 10, chunkCount} {
		log := newChangeLog(b)
		log.appendChanges(minRecent)
		for range chunks {
			log.appendChanges(chunkLength)
			log.seal()
		}
		log.appendChanges(2)
		record, _ := DecodeCompressed(log.value)
		for name, index := range map[string]int{"newest": len(log.changes) - 1, "oldest": max(0, len(log.changes)-chunks*chunkLength-minRecent)} {
			b.Run(fmt.Sprintf("%dchunks/%s", chunks, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if kind := log.lookup(log.changes[index]); kind != errkind.None {
						b.Fatal(kind)
					}
				}
				b.ReportMetric(float64(len(record.History.Recent)+len(record.History.ChunkDeltas)), "history-bytes/write")
			})
		}
	}
}

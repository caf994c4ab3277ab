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

// TestHistory_decidesEveryChange builds histories over several chunks, some of which are
// sealed late. Every change that is sent again must be acknowledged. A different change
// with the same base version, or one based on a version that never existed, must conflict.
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
				t.Fatalf("change %d of %d, based on version %d, sent again: %v", index, len(log.changes), change.BaseVersion, kind)
			}
			conflicting := patchChange(change.BaseVersion, change.Version(), 1)
			if kind := log.lookup(conflicting); kind != errkind.VersionConflict {
				t.Fatalf("conflicting with change %d of %d: %v", index, len(log.changes), kind)
			}
			if between := change.BaseVersion + 1; between < change.Version() {
				if kind := log.lookup(patchChange(between, between+1, 0)); kind != errkind.VersionConflict {
					t.Fatalf("based on version %d, which never existed: %v", between, kind)
				}
			}
		}
		record, _ := DecodeCompressed(log.value)
		if kind := log.lookup(patchChange(record.Version+1, record.Version+2, 0)); kind != errkind.VersionConflict {
			t.Fatalf("based on a future version: %v", kind)
		}
	})
}

// TestHistory_dropsOldestChunks writes more chunks than there are keys: changes in
// overwritten chunks must have an unknown outcome, and all newer ones must be found.
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
			t.Fatalf("change %d of %d: %v, although an older one was found", index, len(log.changes), kind)
		}
		counts[kind]++
	}
	if counts[errkind.None] < (chunkCount-1)*chunkLength+minRecent || counts[errkind.OutcomeExpired] != oldestKnown {
		t.Fatalf("unexpected number of results of each kind: %v", counts)
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
	t.Logf("%d of %d changes found; %d bytes of history per write on average; %d chunks with %d bytes in total",
		counts[errkind.None], counts[errkind.None]+counts[errkind.OutcomeExpired], historyBytes/chunkLength, len(log.chunks), chunkBytes)
}

// TestHistory_missingChunkIsUndecided looks up a change in a chunk that is missing or
// overwritten, which must have an unknown outcome, and in one that is truncated, which is
// an internal error.
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
			t.Fatalf("missing or overwritten chunk: got kind %v, want OutcomeExpired", kind)
		}
	}
	log.chunks[chunkKey(0)] = chunk[:len(chunk)-1]
	if kind := log.lookup(log.changes[3]); kind != errkind.Internal {
		t.Fatalf("truncated chunk: got kind %v, want Internal", kind)
	}
	if kind := log.lookup(log.changes[len(log.changes)-1]); kind != errkind.None {
		t.Fatalf("newest change, which is not in a chunk: %v", kind)
	}
}

// TestHistory_boundedWithoutChunks applies more than maxRecent changes without writing a
// chunk: the record must stay bounded, and the oldest changes have an unknown outcome.
func TestHistory_boundedWithoutChunks(t *testing.T) {
	log := newChangeLog(t)
	for range maxRecent/chunkLength + 3 {
		log.appendChanges(chunkLength)
	}
	record, err := DecodeCompressed(log.value)
	if err != nil || len(record.History.Recent) > maxRecent*(digestLength+1) {
		t.Fatalf("%d bytes of entries, error %v", len(record.History.Recent), err)
	}
	if kind := log.lookup(log.changes[0]); kind != errkind.OutcomeExpired {
		t.Fatalf("oldest change: got kind %v, want OutcomeExpired", kind)
	}
	log.seal()
	if kind := log.lookup(log.changes[len(log.changes)/2]); kind != errkind.None {
		t.Fatalf("change within maxRecent: %v", kind)
	}
}

// olderRecord is Record as an older build stored it, with the same schema name and
// other fields.
type olderRecord struct {
	Serial   ids.Version `avro:"Serial"`
	Document []byte      `avro:"Document"`
}

// SchemaName returns the schema name of Record.
func (olderRecord) SchemaName() string { return Record{}.SchemaName() }

// TestDecode_rejectsOtherSchema checks that a value with another schema, such as one
// stored by an older build, is rejected instead of being decoded wrongly.
func TestDecode_rejectsOtherSchema(t *testing.T) {
	value, err := transport.Marshal(olderRecord{Serial: 7, Document: []byte(validConfig)})
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{value, value[4:], []byte("odd")} {
		if _, err := Decode(value); err == nil {
			t.Fatal("a value with another schema was decoded")
		}
		if _, err := (Change{BaseVersion: 7, Body: []byte(validConfig)}).Apply(value); errkind.KindOf(err) != errkind.Internal {
			t.Fatalf("got error %v, want one of kind Internal", err)
		}
	}
}

// BenchmarkHistoryLookup measures one lookup in the history, without reads from the
// register, and reports the size of the history in each write.
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

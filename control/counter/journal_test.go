package counter

import (
	"fmt"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/control/state/wal"
	"onyxwell/simulation/simdisk"
)

// openTestJournal opens the journal of a disk with a low MinCompactBytes, so that the log is
// compacted often.
func openTestJournal(t rapid.TB, disk *simdisk.Disk, newOrigin func() int64) *journal {
	t.Helper()
	options := wal.Options{FS: disk.Mount(), MinCompactBytes: 300}
	j, err := openJournal(options, &sync.Mutex{}, NewState(), clock.NewFake(), newOrigin)
	if err != nil {
		t.Fatal(err)
	}
	j.onCommit = func() {}
	return j
}

// commitOne commits a single add and returns its result.
func (j *journal) commitOne(key Key, amount int64) committedAdd {
	j.mu.Lock()
	done := j.enqueueAdd(key, "a", amount)
	j.mu.Unlock()
	j.commit()
	return <-done
}

// TestJournal_recoversCommittedAdds repeatedly ends the process with a power loss, between
// commits and compactions. After each restart, every committed add must have the sequence
// number that it was committed with, and the disk must keep its origin.
func TestJournal_recoversCommittedAdds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk := simdisk.New(simdisk.Options{OneIn: func(odds int) bool { return rapid.IntRange(1, odds).Draw(t, "odds") == 1 }})
		origins := int64(100)
		newOrigin := func() int64 { origins++; return origins }
		committed := map[Key]int64{}
		for process := range rapid.IntRange(2, 4).Draw(t, "processes") {
			j := openTestJournal(t, disk, newOrigin)
			if j.origin != 101 {
				t.Fatalf("process %d: origin %d, want 101", process, j.origin)
			}
			for key, sequence := range committed {
				if _, found, ok := j.state.find(key); !ok || found != sequence {
					t.Fatalf("process %d: sequence number %d for an add that was committed as %d", process, found, sequence)
				}
			}
			for number := range rapid.IntRange(0, 25).Draw(t, "adds") {
				key := KeyOf("a", fmt.Sprint(process, number))
				result := j.commitOne(key, 1)
				if result.err != nil {
					t.Fatal(result.err)
				}
				committed[key] = result.sequence
			}
			disk.LosePower()
			j.log.Close()
		}
	})
}

// TestJournal_stagesEachRecordOnce puts adds and records of other origins into one commit,
// with duplicates and gaps. No add may get two sequence numbers, and no record may be
// accepted without those before it.
func TestJournal_stagesEachRecordOnce(t *testing.T) {
	j := openTestJournal(t, simdisk.New(simdisk.Options{}), func() int64 { return 7 })
	defer j.log.Close()
	builder := batchBuilder{batch: Batch{Origin: 9, First: 1}}
	for id := range 4 {
		builder.add(KeyOf("a", fmt.Sprint("other", id)), "a", 10)
	}
	other := NewState()
	other.Apply(builder.batch)
	j.mu.Lock()
	first, again := j.enqueueAdd(KeyOf("a", "own"), "a", 1), j.enqueueAdd(KeyOf("a", "own"), "a", 1)
	j.enqueueBatches([]Batch{other.Batch(9, 0, 2), other.Batch(9, 0, 3)})
	j.enqueueBatches([]Batch{other.Batch(9, 3, 1), other.Batch(7, 0, 1)})
	j.enqueueBatches([]Batch{{Origin: 9, First: 9, Names: []string{"a"}, Keys: make([]byte, keySize), Counters: []int64{0}, Amounts: []int64{1000}}})
	j.mu.Unlock()
	j.commit()
	if one, two := <-first, <-again; one != two || one.origin != 7 || one.sequence != 1 {
		t.Errorf("results of the two adds of one ID: %+v and %+v, want origin 7, sequence 1 for both", one, two)
	}
	if total := j.state.Total("a").Int64(); total != 41 || j.state.held(9) != 4 {
		t.Errorf("total %d, want 41; %d records of the other origin, want 4", total, j.state.held(9))
	}
}

// TestJournal_changesOriginAfterDiskRollback covers a disk that was restored to an older
// state, so that another controller holds more records of its origin than it does. The
// journal must not assign those sequence numbers again: it switches to a new origin and
// accepts the records of the old one from others.
func TestJournal_changesOriginAfterDiskRollback(t *testing.T) {
	origin := int64(6)
	j := openTestJournal(t, simdisk.New(simdisk.Options{}), func() int64 { origin++; return origin })
	defer j.log.Close()
	builder := batchBuilder{batch: Batch{Origin: 7, First: 1}}
	builder.add(KeyOf("a", "forgotten"), "a", 10)
	j.mu.Lock()
	j.checkOrigin(vector{7: 1})
	received := j.enqueueBatches([]Batch{builder.batch})
	j.mu.Unlock()
	if result := j.commitOne(KeyOf("a", "new"), 1); result.err != nil || result.origin != 8 || result.sequence != 1 {
		t.Fatalf("result of the add: %+v, want origin 8, sequence 1", result)
	}
	if err := <-received; err != nil || j.state.Total("a").Int64() != 11 {
		t.Errorf("error %v, want none; total %v, want 11", err, j.state.Total("a"))
	}
}

package wal_test

import (
	"bytes"
	"errors"
	"testing"

	"onyxwell/base/proptest"
	"onyxwell/control/state/wal"
	"onyxwell/simulation/simdisk"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestOpen_corruptFileCountsAsBlank spoils a file before its last record.
func TestOpen_corruptFileCountsAsBlank(t *testing.T) {
	simulated := simdisk.New(simdisk.Options{Draw: func(int) bool { return false }})
	open := func() (*wal.Log, [][]byte) {
		opened, records, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j", Snapshot: func() [][]byte { return nil }})
		if err != nil {
			t.Fatal(err)
		}
		return opened, records
	}
	for range 2 {
		opened, records := open()
		if len(records) != 0 {
			t.Fatalf("%q", records)
		}
		for number := range 3 {
			if err := opened.Save(counterRecord(0, number)); err != nil {
				t.Fatal(err)
			}
		}
		opened.Close()
		size := simulated.Bytes("j")
		at := simulated.Spoil("j")
		simulated.Kill()
		opened, records = open()
		found := opened.Corruption
		if found == nil || len(records) != 0 || found.File != "j" || found.QuarantinedAs != "j.damaged" || found.Bytes != size || found.Offset > at {
			t.Fatalf("%+v, %d records", found, len(records))
		}
		if simulated.Bytes(found.QuarantinedAs) != size {
			t.Fatal("the file is not kept")
		}
		opened.Close()
		simulated.Kill()
		if opened, _ = open(); opened.Corruption != nil {
			t.Fatalf("damage is told twice: %+v", opened.Corruption)
		}
		opened.Close()
	}
}

// TestOpen_recordsAreDurable kills the process between a write and its sync: what the
// next process reads must not go with the power after that.
func TestOpen_recordsAreDurable(t *testing.T) {
	var simulated *simdisk.Disk
	deadly := false
	simulated = simdisk.New(simdisk.Options{Draw: func(odds int) bool { return odds == 4 }, Pause: func(act string, _ int) error {
		if deadly && act == simdisk.ActSync {
			simulated.Kill()
		}
		return nil
	}})
	for life, want := range []int{0, 1, 1} {
		deadly = false
		opened, records, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j"})
		if err != nil || len(records) != want {
			t.Fatalf("life %d: %q %v", life, records, err)
		}
		if deadly = life == 0; !deadly {
			simulated.LosePower()
		} else if err := opened.Save(counterRecord(0, 1)); !errors.Is(err, simdisk.ErrDead) {
			t.Fatal(err)
		}
		opened.Close()
	}
}

// TestSave_recoversFromFullDisk fills a disk: nothing is acknowledged without room, what
// has no room beside the file goes into it, and room brings the journal back.
func TestSave_recoversFromFullDisk(t *testing.T) {
	refused := ""
	simulated := simdisk.New(simdisk.Options{Pause: func(act string, _ int) error {
		if act == refused {
			return simdisk.ErrFull
		}
		return nil
	}})
	state := bytes.Repeat([]byte("s"), 1000)
	opened, _, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j", Snapshot: func() [][]byte { return [][]byte{state} }, MinCompactBytes: 4000})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	for round := range 60 {
		refused = []string{"", "", simdisk.ActWrite, "", simdisk.ActCreate, simdisk.ActCreate}[round/2%6]
		if err := opened.Save(state); (err != nil) != (refused == simdisk.ActWrite) {
			t.Fatalf("round %d, without %q: %v", round, refused, err)
		}
	}
}

// TestSave_awaitsSync holds up a sync.
func TestSave_awaitsSync(t *testing.T) {
	stalls, reached, over := false, make(chan bool), make(chan bool)
	simulated := simdisk.New(simdisk.Options{Pause: func(act string, _ int) error {
		if stalls && act == simdisk.ActSync {
			reached <- true
			<-over
		}
		return nil
	}})
	opened, _, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j"})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	stalls = true
	told := make(chan error, 1)
	go func() { told <- opened.Save(counterRecord(0, 1)) }()
	select {
	case <-reached:
	case err := <-told:
		t.Fatalf("told of a record that no sync covered: %v", err)
	}
	select {
	case err := <-told:
		t.Fatalf("told while the sync is held up: %v", err)
	default:
	}
	close(over)
	if err := <-told; err != nil {
		t.Fatal(err)
	}
}

// TestSave_keepsWithinMaxBytes lets a state grow up to the limit, where none is
// refused, beyond it, and shrink again.
func TestSave_keepsWithinMaxBytes(t *testing.T) {
	const limit = 10_000
	var simulated *simdisk.Disk
	simulated = simdisk.New(simdisk.Options{Pause: func(act string, _ int) error {
		if old, fresh := simulated.Bytes("j"), simulated.Bytes("j.new"); max(old, fresh) > limit {
			t.Errorf("%d and %d bytes at a %s", old, fresh, act)
		}
		return nil
	}})
	size := 10
	opened, _, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j", MinCompactBytes: 1000, MaxBytes: limit,
		Snapshot: func() [][]byte { return [][]byte{make([]byte, size)} }})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	refused := false
	for size < 15_000 {
		size += 350
		err := opened.Save(make([]byte, size))
		refused = refused || err != nil
		if err != nil && (!errors.Is(err, wal.ErrNoSpace) || size < limit-100) {
			t.Fatalf("%d bytes: %v", size, err)
		}
	}
	if !refused {
		t.Fatal("the state grew beyond the limit and nothing was refused")
	}
	for _, phase := range []struct {
		size  int
		fails bool
	}{{10, false}, {8_000, false}, {15_000, true}, {10, false}} {
		size = phase.size
		for range 300 {
			if err = opened.Save(make([]byte, 100)); err != nil && !phase.fails {
				t.Fatalf("a state of %d bytes: %v", size, err)
			}
		}
		if (err != nil) != phase.fails {
			t.Fatalf("a state of %d bytes: %v", size, err)
		}
	}
	if err := opened.Save(nil); !errors.Is(err, wal.ErrRecordSize) {
		t.Fatal(err)
	}
}

func TestSave_compactsLongFile(t *testing.T) {
	simulated := simdisk.New(simdisk.Options{})
	state := bytes.Repeat([]byte("s"), 1000)
	opened, _, err := wal.Open(wal.Options{FS: simulated.Mount(), Name: "j", Snapshot: func() [][]byte { return [][]byte{state} }})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Close()
	const shortestLong = 1 << 20
	for range 2*shortestLong/len(state) + 2 {
		if err := opened.Save(state); err != nil {
			t.Fatal(err)
		}
		if length := simulated.Bytes("j"); length > shortestLong+int64(4*len(state)) {
			t.Fatalf("the file has %d bytes", length)
		}
	}
}

func TestDir_keepsRecords(t *testing.T) {
	folder := wal.Dir(t.TempDir() + "/new/deep")
	for round := range 3 {
		opened, records, err := wal.Open(wal.Options{FS: folder, Name: "j", Snapshot: func() [][]byte { return nil }})
		if err != nil || len(records) != round {
			t.Fatalf("round %d: %d records, %v", round, len(records), err)
		}
		if err := opened.Save([]byte{byte(round), 1}); err != nil {
			t.Fatal(err)
		}
		opened.Close()
	}
}

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

// openEmpty opens a new log.
func openEmpty(t *testing.T, options wal.Options) *wal.Log {
	t.Helper()
	log, _, err := wal.Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// TestOpen_corruptFileStartsEmpty damages a file before its last record.
func TestOpen_corruptFileStartsEmpty(t *testing.T) {
	disk := simdisk.New(simdisk.Options{OneIn: func(int) bool { return false }})
	open := func() (*wal.Log, [][]byte) {
		log, records, err := wal.Open(wal.Options{FS: disk.Mount(), Name: "j", Snapshot: func() [][]byte { return nil }})
		if err != nil {
			t.Fatal(err)
		}
		return log, records
	}
	for range 2 {
		log, records := open()
		if len(records) != 0 {
			t.Fatalf("%q", records)
		}
		for number := range 3 {
			if err := log.Save(counterRecord(0, number)); err != nil {
				t.Fatal(err)
			}
		}
		log.Close()
		size := disk.Size("j")
		flippedAt := disk.FlipBit("j")
		disk.Kill()
		log, records = open()
		corruption := log.Corruption
		if corruption == nil || len(records) != 0 || corruption.File != "j" || corruption.QuarantinedAs != "j.damaged" || corruption.Bytes != size || corruption.Offset > flippedAt {
			t.Fatalf("%+v, %d records", corruption, len(records))
		}
		if disk.Size(corruption.QuarantinedAs) != size {
			t.Fatal("the file is not kept")
		}
		log.Close()
		disk.Kill()
		if log, _ = open(); log.Corruption != nil {
			t.Fatalf("the corruption is reported twice: %+v", log.Corruption)
		}
		log.Close()
	}
}

// TestOpen_recordsAreDurable kills the process between a write and its sync: what
// the next process reads must survive a loss of power after that.
func TestOpen_recordsAreDurable(t *testing.T) {
	var disk *simdisk.Disk
	killOnSync := false
	disk = simdisk.New(simdisk.Options{OneIn: func(odds int) bool { return odds == 4 }, Delay: func(op string, _ int) error {
		if killOnSync && op == simdisk.OpSync {
			disk.Kill()
		}
		return nil
	}})
	for process, want := range []int{0, 1, 1} {
		killOnSync = false
		log, records, err := wal.Open(wal.Options{FS: disk.Mount(), Name: "j"})
		if err != nil || len(records) != want {
			t.Fatalf("process %d: %q %v", process, records, err)
		}
		if killOnSync = process == 0; !killOnSync {
			disk.LosePower()
		} else if err := log.Save(counterRecord(0, 1)); !errors.Is(err, simdisk.ErrProcessDead) {
			t.Fatal(err)
		}
		log.Close()
	}
}

// TestSave_recoversFromFullDisk fills a disk: nothing is acknowledged without
// space, what has no space for a compaction is appended, and saves resume with
// space.
func TestSave_recoversFromFullDisk(t *testing.T) {
	failingOp := ""
	disk := simdisk.New(simdisk.Options{Delay: func(op string, _ int) error {
		if op == failingOp {
			return simdisk.ErrFull
		}
		return nil
	}})
	snapshot := bytes.Repeat([]byte("s"), 1000)
	log := openEmpty(t, wal.Options{FS: disk.Mount(), Name: "j", Snapshot: func() [][]byte { return [][]byte{snapshot} }, MinCompactBytes: 4000})
	defer log.Close()
	for round := range 60 {
		failingOp = []string{"", "", simdisk.OpWrite, "", simdisk.OpCreate, simdisk.OpCreate}[round/2%6]
		if err := log.Save(snapshot); (err != nil) != (failingOp == simdisk.OpWrite) {
			t.Fatalf("round %d, without %q: %v", round, failingOp, err)
		}
	}
}

// TestSave_awaitsSync stalls a sync.
func TestSave_awaitsSync(t *testing.T) {
	stalling, reached, release := false, make(chan bool), make(chan bool)
	disk := simdisk.New(simdisk.Options{Delay: func(op string, _ int) error {
		if stalling && op == simdisk.OpSync {
			reached <- true
			<-release
		}
		return nil
	}})
	log := openEmpty(t, wal.Options{FS: disk.Mount(), Name: "j"})
	defer log.Close()
	stalling = true
	result := make(chan error, 1)
	go func() { result <- log.Save(counterRecord(0, 1)) }()
	select {
	case <-reached:
	case err := <-result:
		t.Fatalf("Save returned before the sync: %v", err)
	}
	select {
	case err := <-result:
		t.Fatalf("Save returned during the sync: %v", err)
	default:
	}
	close(release)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
}

// TestSave_enforcesMaxBytes has a snapshot grow up to the limit, where none is
// refused, beyond it, and shrink again.
func TestSave_enforcesMaxBytes(t *testing.T) {
	const limit = 10_000
	var disk *simdisk.Disk
	disk = simdisk.New(simdisk.Options{Delay: func(op string, _ int) error {
		if current, next := disk.Size("j"), disk.Size("j.new"); max(current, next) > limit {
			t.Errorf("%d and %d bytes at a %s", current, next, op)
		}
		return nil
	}})
	size := 10
	log := openEmpty(t, wal.Options{FS: disk.Mount(), Name: "j", MinCompactBytes: 1000, MaxBytes: limit,
		Snapshot: func() [][]byte { return [][]byte{make([]byte, size)} }})
	defer log.Close()
	refused := false
	for size < 15_000 {
		size += 350
		err := log.Save(make([]byte, size))
		refused = refused || err != nil
		if err != nil && (!errors.Is(err, wal.ErrLimitExceeded) || size < limit-100) {
			t.Fatalf("%d bytes: %v", size, err)
		}
	}
	if !refused {
		t.Fatal("the snapshot grew beyond the limit and nothing was refused")
	}
	for _, phase := range []struct {
		size  int
		fails bool
	}{{10, false}, {8_000, false}, {15_000, true}, {10, false}} {
		size = phase.size
		var err error
		for range 300 {
			if err = log.Save(make([]byte, 100)); err != nil && !phase.fails {
				t.Fatalf("a snapshot of %d bytes: %v", size, err)
			}
		}
		if (err != nil) != phase.fails {
			t.Fatalf("a snapshot of %d bytes: %v", size, err)
		}
	}
	if err := log.Save(nil); !errors.Is(err, wal.ErrRecordSize) {
		t.Fatal(err)
	}
}

// TestSave_compactsLongFile appends twice the default MinCompactBytes.
func TestSave_compactsLongFile(t *testing.T) {
	disk := simdisk.New(simdisk.Options{})
	snapshot := bytes.Repeat([]byte("s"), 1000)
	log := openEmpty(t, wal.Options{FS: disk.Mount(), Name: "j", Snapshot: func() [][]byte { return [][]byte{snapshot} }})
	defer log.Close()
	const minCompactBytes = 1 << 20
	for range 2*minCompactBytes/len(snapshot) + 2 {
		if err := log.Save(snapshot); err != nil {
			t.Fatal(err)
		}
		if length := disk.Size("j"); length > minCompactBytes+int64(4*len(snapshot)) {
			t.Fatalf("the file has %d bytes", length)
		}
	}
}

// TestDir_keepsRecords reopens a log in a directory that is made.
func TestDir_keepsRecords(t *testing.T) {
	dir := wal.Dir(t.TempDir() + "/new/deep")
	for round := range 3 {
		log, records, err := wal.Open(wal.Options{FS: dir, Name: "j", Snapshot: func() [][]byte { return nil }})
		if err != nil || len(records) != round {
			t.Fatalf("round %d: %d records, %v", round, len(records), err)
		}
		if err := log.Save([]byte{byte(round), 1}); err != nil {
			t.Fatal(err)
		}
		log.Close()
	}
}

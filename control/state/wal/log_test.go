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

// openEmpty opens a log that does not exist yet.
func openEmpty(t *testing.T, options wal.Options) *wal.Log {
	t.Helper()
	log, _, err := wal.Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return log
}

// TestOpen_corruptFileStartsEmpty flips a bit of the synced part of a file: Open
// must quarantine the file, start empty, and not report the corruption again on
// the next start. The second run overwrites the quarantined file of the first.
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
			t.Fatalf("a new log has records: %q", records)
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
			t.Fatalf("wrong report of the corruption, or records of a corrupted file: %+v, %d records", corruption, len(records))
		}
		if disk.Size(corruption.QuarantinedAs) != size {
			t.Fatal("the corrupted file was not kept")
		}
		log.Close()
		disk.Kill()
		if log, _ = open(); log.Corruption != nil {
			t.Fatalf("the corruption is reported again: %+v", log.Corruption)
		}
		log.Close()
	}
}

// TestOpen_recordsAreDurable kills the process between a write and its sync. A
// record that the next process reads must survive a power loss after that.
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
			t.Fatalf("process %d read %q, error %v", process, records, err)
		}
		if killOnSync = process == 0; !killOnSync {
			disk.LosePower()
		} else if err := log.Save(counterRecord(0, 1)); !errors.Is(err, simdisk.ErrProcessDead) {
			t.Fatal(err)
		}
		log.Close()
	}
}

// TestSave_recoversFromFullDisk has writes or file creations fail as on a full
// disk. Save must fail while writes do; if only a compaction is impossible, the
// record must be appended to the old file; and once there is space, Save must
// succeed again.
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
			t.Fatalf("round %d, with operation %q failing: %v", round, failingOp, err)
		}
	}
}

// TestSave_awaitsSync stalls a sync: Save must not return before the sync does.
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

// TestSave_enforcesMaxBytes lets the snapshot grow up to MaxBytes, where no
// record may be rejected, grow beyond it, and shrink again. No file may ever
// exceed MaxBytes.
func TestSave_enforcesMaxBytes(t *testing.T) {
	const limit = 10_000
	var disk *simdisk.Disk
	disk = simdisk.New(simdisk.Options{Delay: func(op string, _ int) error {
		if current, next := disk.Size("j"), disk.Size("j.new"); max(current, next) > limit {
			t.Errorf("j has %d bytes and j.new %d, which exceeds MaxBytes, at operation %s", current, next, op)
		}
		return nil
	}})
	size := 10
	log := openEmpty(t, wal.Options{FS: disk.Mount(), Name: "j", MinCompactBytes: 1000, MaxBytes: limit,
		Snapshot: func() [][]byte { return [][]byte{make([]byte, size)} }})
	defer log.Close()
	rejected := false
	for size < 15_000 {
		size += 350
		err := log.Save(make([]byte, size))
		rejected = rejected || err != nil
		if err != nil && (!errors.Is(err, wal.ErrLimitExceeded) || size < limit-100) {
			t.Fatalf("record and snapshot of %d bytes: %v", size, err)
		}
	}
	if !rejected {
		t.Fatal("the snapshot grew beyond MaxBytes and no record was rejected")
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

// TestSave_compactsLongFile appends twice the default MinCompactBytes: the file
// must be compacted in time.
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
			t.Fatalf("the file was not compacted: %d bytes", length)
		}
	}
}

// TestDir_keepsRecords reopens a log in a directory that did not exist before.
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

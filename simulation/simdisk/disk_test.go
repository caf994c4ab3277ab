package simdisk

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
	"onyxwell/control/state/wal"
)

func TestMain(m *testing.M) { proptest.Run(m) }

// drawOneIn draws from a property test.
func drawOneIn(t *rapid.T) func(int) bool {
	return func(odds int) bool { return rapid.IntRange(1, odds).Draw(t, "odds") == 1 }
}

// must panics on an error that no case expects.
func must[Result any](result Result, err error) Result {
	if err != nil {
		panic(err)
	}
	return result
}

// TestLosePower_keepsOnlySynced checks that bytes survive a loss of power once a
// sync covered them and names once a sync of the directory did, and that of the
// rest each outcome comes about.
func TestLosePower_keepsOnlySynced(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		disk := New(Options{OneIn: drawOneIn(t)})
		fs := disk.Mount()
		kept := must(fs.Create("kept"))
		must(kept.Write([]byte("synced")))
		if err := errors.Join(kept.Sync(), fs.SyncDir()); err != nil {
			t.Fatal(err)
		}
		must(kept.Write([]byte("-one")))
		must(kept.Write([]byte("-two")))
		loose := must(fs.Create("loose"))
		if err := errors.Join(loose.Sync(), fs.Rename("kept", "moved")); err != nil {
			t.Fatal(err)
		}
		disk.LosePower()
		if _, err := kept.Write([]byte("x")); !errors.Is(err, ErrProcessDead) || !errors.Is(kept.Sync(), ErrProcessDead) || !errors.Is(fs.SyncDir(), ErrProcessDead) {
			t.Fatal("a dead process still writes")
		}
		after := disk.Mount()
		for _, name := range []string{"kept", "moved", "loose"} {
			body := must(after.Read(name))
			outcomes[fmt.Sprintf("%s %v", name, len(body) > 0)]++
			if name != "loose" && len(body) > 0 && string(body[:6]) != "synced" {
				t.Fatalf("%s: %q", name, body)
			}
			if len(body) > 0 {
				outcomes[string(body)]++
			}
		}
	})
	for _, want := range []string{"kept true", "kept false", "moved true", "moved false", "synced", "synced-one", "synced-one-two", "synced\x00\x00\x00\x00-two"} {
		if outcomes[want] == 0 {
			t.Errorf("%q never came about: %v", want, outcomes)
		}
	}
}

func TestKill_keepsWritesWipeDoesNot(t *testing.T) {
	disk := New(Options{Capacity: 8})
	fs := disk.Mount()
	written := must(fs.Create("a"))
	must(written.Write([]byte("12345678")))
	if _, err := written.Write([]byte("9")); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	disk.Kill()
	if _, err := fs.Read("a"); !errors.Is(err, ErrProcessDead) {
		t.Fatal(err)
	}
	if body := must(disk.Mount().Read("a")); string(body) != "12345678" || disk.Size("a") != 8 || disk.BytesWritten() != 8 {
		t.Fatalf("%q", body)
	}
	disk.Wipe()
	if body := must(disk.Mount().Read("a")); len(body) != 0 {
		t.Fatalf("%q", body)
	}
}

func TestDelay_errorPreventsOperation(t *testing.T) {
	refused := ""
	disk := New(Options{Delay: func(op string, _ int) error {
		if op == refused {
			return errors.New("refused")
		}
		return nil
	}})
	fs := disk.Mount()
	must(fs.Create("a"))
	for op, perform := range map[string]func() error{
		OpCreate:  func() error { _, err := fs.Create("b"); return err },
		OpRename:  func() error { return fs.Rename("a", "b") },
		OpRemove:  func() error { return fs.Remove("a") },
		OpSyncDir: func() error { return fs.SyncDir() },
	} {
		refused = op
		if perform() == nil {
			t.Errorf("%s did not fail", op)
		}
	}
	refused = ""
	if err := fs.Remove("a"); err != nil {
		t.Fatal(err)
	}
	if _, err := fs.Append("a", 0); !errors.Is(err, ErrNotExist) {
		t.Fatal(err)
	}
	if disk.FlipBit("a") != -1 {
		t.Fatal("a bit of a missing file was flipped")
	}
}

var _ wal.FS = (*mount)(nil)

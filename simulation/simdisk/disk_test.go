package simdisk

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
	"onyxwell/control/state/wal"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

func drawOneIn(t *rapid.T) func(int) bool {
	return func(odds int) bool { return rapid.IntRange(1, odds).Draw(t, "odds") == 1 }
}

func must[Result any](result Result, err error) Result {
	if err != nil {
		panic(err)
	}
	return result
}

// TestLosePower_keepsOnlySynced checks that bytes outlast the power once a sync
// covered them, names once a folder sync did, and that the rest may go.
func TestLosePower_keepsOnlySynced(t *testing.T) {
	outcomes := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		machine := New(Options{OneIn: drawOneIn(t)})
		process := machine.Mount()
		kept := must(process.Create("kept"))
		must(kept.Write([]byte("synced")))
		if err := errors.Join(kept.Sync(), process.SyncDir()); err != nil {
			t.Fatal(err)
		}
		must(kept.Write([]byte("-one")))
		must(kept.Write([]byte("-two")))
		loose := must(process.Create("loose"))
		if err := errors.Join(loose.Sync(), process.Rename("kept", "moved")); err != nil {
			t.Fatal(err)
		}
		machine.LosePower()
		if _, err := kept.Write([]byte("x")); !errors.Is(err, ErrProcessDead) || !errors.Is(kept.Sync(), ErrProcessDead) || !errors.Is(process.SyncDir(), ErrProcessDead) {
			t.Fatal("a dead process still writes")
		}
		after := machine.Mount()
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
	for _, wanted := range []string{"kept true", "kept false", "moved true", "moved false", "synced", "synced-one", "synced-one-two", "synced\x00\x00\x00\x00-two"} {
		if outcomes[wanted] == 0 {
			t.Errorf("%q never came: %v", wanted, outcomes)
		}
	}
}

func TestKill_keepsWritesWipeDoesNot(t *testing.T) {
	machine := New(Options{Capacity: 8})
	process := machine.Mount()
	opened := must(process.Create("a"))
	must(opened.Write([]byte("12345678")))
	if _, err := opened.Write([]byte("9")); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	machine.Kill()
	if _, err := process.Read("a"); !errors.Is(err, ErrProcessDead) {
		t.Fatal(err)
	}
	if body := must(machine.Mount().Read("a")); string(body) != "12345678" || machine.Size("a") != 8 || machine.BytesWritten() != 8 {
		t.Fatalf("%q", body)
	}
	machine.Wipe()
	if body := must(machine.Mount().Read("a")); len(body) != 0 {
		t.Fatalf("%q", body)
	}
}

func TestDelay_errorPreventsOperation(t *testing.T) {
	refusing := ""
	machine := New(Options{Delay: func(act string, _ int) error {
		if act == refusing {
			return errors.New("refused")
		}
		return nil
	}})
	process := machine.Mount()
	must(process.Create("a"))
	for act, do := range map[string]func() error{
		OpCreate:     func() error { _, err := process.Create("b"); return err },
		OpRename:     func() error { return process.Rename("a", "b") },
		OpRemove:     func() error { return process.Remove("a") },
		OpSyncFolder: func() error { return process.SyncDir() },
	} {
		refusing = act
		if do() == nil {
			t.Errorf("%s was not refused", act)
		}
	}
	refusing = ""
	if err := process.Remove("a"); err != nil {
		t.Fatal(err)
	}
	if _, err := process.Append("a", 0); !errors.Is(err, ErrNotExist) {
		t.Fatal(err)
	}
	if machine.FlipBit("a") != -1 {
		t.Fatal("a missing file was spoilt")
	}
}

var _ wal.FS = (*mount)(nil)

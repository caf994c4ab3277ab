package program

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

const bootText = `
node_name = "%s"
ip = "127.0.0.1"
zone = "zone"
region = "region"
port_range = [7720,7735]
seed_nodes = ["127.0.0.1:8166"]
[limits]
memory_mb = 284
open_files = 4100
[bounds]
retry_window_s = 10
grace_s = 8
apply_within_ms = 3000
[cloud_api]
address = "127.0.0.1:8169"
rate_per_s = 42.0
`

// TestHangupRereads sends this process a SIGHUP at once after Hangups: it lives,
// and the changed file is there though no time passes.
func TestHangupRereads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(name string) {
		if err := os.WriteFile(path, fmt.Appendf(nil, bootText, name), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	hangups := Hangups()
	file, settings, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	top, end := scope.New(scope.Options{Clock: clock.NewFake(), Boot: settings}).WithEnd()
	defer end()
	reread := file.Watch(top, hangups)
	for _, name := range []string{"the second", "the third one"} {
		write(name)
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if fresh := <-reread; fresh.NodeName != name {
			t.Fatalf("%q was read, not %q", fresh.NodeName, name)
		}
	}
}

// TestChangeDuringTheFirstReadIsSeen has the settings file change after it was
// read and before anybody watches it.
func TestChangeDuringTheFirstReadIsSeen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	if err := os.WriteFile(path, fmt.Appendf(nil, bootText, "one"), 0o600); err != nil {
		t.Fatal(err)
	}
	hangups := Hangups()
	file, settings, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, fmt.Appendf(nil, bootText, "the second"), 0o600); err != nil {
		t.Fatal(err)
	}
	top, end := scope.New(scope.Options{Clock: clock.NewFake(), Boot: settings}).WithEnd()
	defer end()
	reread := file.Watch(top, hangups)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case fresh := <-reread:
		if fresh.NodeName != "the second" {
			t.Errorf("%q was read", fresh.NodeName)
		}
	case <-time.After(5 * time.Second):
		t.Error("the change is never seen")
	}
}

// TestHangupRereadsWhateverTheStampSays has the file change without its size and
// time showing it.
func TestHangupRereadsWhateverTheStampSays(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.toml")
	write := func(name string) {
		if err := os.WriteFile(path, fmt.Appendf(nil, bootText, name), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, time.Time{}, time.Unix(1_000_000, 0)); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	hangups := Hangups()
	file, settings, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	top, end := scope.New(scope.Options{Clock: clock.NewFake(), Boot: settings}).WithEnd()
	defer end()
	reread := file.Watch(top, hangups)
	write("two")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case fresh := <-reread:
		if fresh.NodeName != "two" {
			t.Errorf("%q was read", fresh.NodeName)
		}
	case <-time.After(5 * time.Second):
		t.Error("the change is never seen")
	}
}

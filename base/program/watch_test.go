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
	"onyxwell/base/settings"
)

const settingsText = `
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

// settingsFile is the path of a boot file.
type settingsFile string

func (s settingsFile) write(t *testing.T, name string) {
	t.Helper()
	if err := os.WriteFile(string(s), fmt.Appendf(nil, settingsText, name), 0o600); err != nil {
		t.Fatal(err)
	}
}

// open reads the file for the first time and returns a function that begins to
// watch it, on a clock that stands still: no poll ever happens.
func (s settingsFile) open(t *testing.T) (watch func() <-chan *settings.Settings) {
	t.Helper()
	hangups := NotifyHangup()
	file, node, err := OpenSettings(string(s))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := scope.New(scope.Options{Clock: clock.NewFake(), Settings: node}).WithCancel()
	t.Cleanup(cancel)
	return func() <-chan *settings.Settings { return file.Watch(ctx, hangups) }
}

// hangUpAndExpect sends this process a SIGHUP and expects settings with that node
// name.
func hangUpAndExpect(t *testing.T, reread <-chan *settings.Settings, name string) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case node := <-reread:
		if node.NodeName != name {
			t.Fatalf("reread settings of %q, want %q", node.NodeName, name)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("settings of %q are never reread", name)
	}
}

// A SIGHUP right after NotifyHangup reloads the file, though no time passes.
func TestHangup_reloadsSettings(t *testing.T) {
	path := settingsFile(filepath.Join(t.TempDir(), "boot.toml"))
	path.write(t, "one")
	reread := path.open(t)()
	for _, name := range []string{"the second", "the third one"} {
		path.write(t, name)
		hangUpAndExpect(t, reread, name)
	}
}

// The file changes after it was read and before it is watched.
func TestWatch_changeBeforeWatchIsSeen(t *testing.T) {
	path := settingsFile(filepath.Join(t.TempDir(), "boot.toml"))
	path.write(t, "one")
	watch := path.open(t)
	path.write(t, "the second")
	hangUpAndExpect(t, watch(), "the second")
}

// The file changes, but neither its size nor its modification time does.
func TestHangup_reloadsDespiteUnchangedStamp(t *testing.T) {
	path := settingsFile(filepath.Join(t.TempDir(), "boot.toml"))
	write := func(name string) {
		path.write(t, name)
		if err := os.Chtimes(string(path), time.Time{}, time.Unix(1_000_000, 0)); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	reread := path.open(t)()
	write("two")
	hangUpAndExpect(t, reread, "two")
}

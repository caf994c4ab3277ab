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

// settingsAt is a settings file of a test.
type settingsAt string

func (s settingsAt) write(t *testing.T, name string) {
	t.Helper()
	if err := os.WriteFile(string(s), fmt.Appendf(nil, bootText, name), 0o600); err != nil {
		t.Fatal(err)
	}
}

// read reads the file for the first time; what it gives begins to watch it, on a
// clock that stands still.
func (s settingsAt) read(t *testing.T) (watch func() <-chan *settings.Boot) {
	t.Helper()
	hangups := Hangups()
	file, node, err := Open(string(s))
	if err != nil {
		t.Fatal(err)
	}
	top, end := scope.New(scope.Options{Clock: clock.NewFake(), Boot: node}).WithEnd()
	t.Cleanup(end)
	return func() <-chan *settings.Boot { return file.Watch(top, hangups) }
}

// hangUp sends this process a SIGHUP and wants the settings of that name.
func hangUp(t *testing.T, reread <-chan *settings.Boot, name string) {
	t.Helper()
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	select {
	case fresh := <-reread:
		if fresh.NodeName != name {
			t.Fatalf("%q was read, not %q", fresh.NodeName, name)
		}
	case <-time.After(5 * time.Second):
		t.Fatalf("%q is never seen", name)
	}
}

// TestHangupRereads sends this process a SIGHUP at once after Hangups: it lives,
// and the changed file is there though no time passes.
func TestHangupRereads(t *testing.T) {
	path := settingsAt(filepath.Join(t.TempDir(), "boot.toml"))
	path.write(t, "one")
	reread := path.read(t)()
	for _, name := range []string{"the second", "the third one"} {
		path.write(t, name)
		hangUp(t, reread, name)
	}
}

// TestChangeDuringTheFirstReadIsSeen has the settings file change after it was
// read and before anybody watches it.
func TestChangeDuringTheFirstReadIsSeen(t *testing.T) {
	path := settingsAt(filepath.Join(t.TempDir(), "boot.toml"))
	path.write(t, "one")
	watch := path.read(t)
	path.write(t, "the second")
	hangUp(t, watch(), "the second")
}

// TestHangupRereadsWhateverTheStampSays has the file change without its size and
// time showing it.
func TestHangupRereadsWhateverTheStampSays(t *testing.T) {
	path := settingsAt(filepath.Join(t.TempDir(), "boot.toml"))
	write := func(name string) {
		path.write(t, name)
		if err := os.Chtimes(string(path), time.Time{}, time.Unix(1_000_000, 0)); err != nil {
			t.Fatal(err)
		}
	}
	write("one")
	reread := path.read(t)()
	write("two")
	hangUp(t, reread, "two")
}

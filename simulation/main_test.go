package simulation

import (
	"flag"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"testing"
)

// TestMain runs the tests on one thread, as the command does: several would only
// wait for each other.
func TestMain(m *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	os.Exit(m.Run())
}

// runWithoutRaceDetector runs a test in another process if this one has the race
// detector, under which a run takes twenty times as long. It reports whether it
// did.
func runWithoutRaceDetector(t *testing.T) bool {
	t.Helper()
	if !raceEnabled {
		return false
	}
	t.Parallel()
	output, err := exec.Command("go", "test", "-race=false", "-count=1", "-run", "^"+t.Name()+"$", ".").CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, output)
	}
	return true
}

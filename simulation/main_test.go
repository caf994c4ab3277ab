package simulation

import (
	"flag"
	"os"
	"os/exec"
	"runtime"
	"runtime/debug"
	"testing"
)

// TestMain has one thread play, as the command does: many would only wait for
// each other.
func TestMain(tests *testing.M) {
	flag.Parse()
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	os.Exit(tests.Run())
}

// runWithoutRaceDetector plays a test in another process where this one has the race detector,
// under which a run takes twenty times as long. It tells whether it did.
func runWithoutRaceDetector(t *testing.T) bool {
	if !raceEnabled {
		return false
	}
	t.Parallel()
	said, err := exec.Command("go", "test", "-race=false", "-count=1", "-run", "^"+t.Name()+"$", ".").CombinedOutput()
	if err != nil {
		t.Errorf("%v\n%s", err, said)
	}
	return true
}

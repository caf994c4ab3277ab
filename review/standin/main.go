// Standin runs the cases of the review: it starts the project's own daemons as separate
// processes on loopback addresses, plays their clients, operator, runners and platform,
// and checks one rule. Its exit status is 0 if the rule held, 1 if it was broken, and 2 if
// the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
)

// maxDuration bounds a case; a case that takes longer could not run.
const maxDuration = 110 * time.Second

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

// testCase is a case: what it plays, and whether rollouts are in force.
type testCase struct {
	play     func(*cluster) error
	rollouts bool
}

// cases are the cases by name.
var cases = map[string]testCase{
	"pipelined": {play: runPipelined},
	"rollout":   {play: runRollout, rollouts: true},
	"lookups":   {play: runLookups},
}

func main() {
	name := flag.String("case", "", "the case to run")
	folder := flag.String("folder", ".", "the folder for record.txt")
	flag.Parse()
	os.Exit(run(*name, *folder, os.Getenv("TROUBLE") != "0"))
}

// run runs a case and returns the exit status.
func run(name, folder string, trouble bool) int {
	chosen := cases[name]
	if chosen.play == nil {
		fmt.Fprintf(os.Stderr, "standin: there is no case %q\n", name)
		return statusFailed
	}
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return statusFailed
	}
	defer rec.close()
	rec.printf("case %s, trouble %v", name, trouble)
	time.AfterFunc(maxDuration, func() {
		rec.printf("the case took longer than %v", maxDuration)
		os.Exit(statusFailed)
	})
	c, err := newCluster(rec, trouble, chosen.rollouts)
	if err == nil {
		defer c.stop()
		err = chosen.play(c)
	}
	switch {
	case err == nil:
		rec.printf("result: the rule held")
		return statusHeld
	case errors.Is(err, errBroken):
		rec.printf("result: %v", err)
		return statusBroken
	}
	rec.printf("result: the case could not run: %v", err)
	return statusFailed
}

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, values...) + "\n"
	_, _ = r.file.WriteString(line)
	fmt.Print(line)
}

func (r *record) close() { _ = r.file.Close() }

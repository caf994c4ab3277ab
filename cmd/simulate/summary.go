package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"gonum.org/v1/gonum/stat"

	"onyxwell/simulation"
)

// maxResultLine is the longest line of a batch's output.
const maxResultLine = 16 << 20

// summary sums up the results of many seeds. It is safe for concurrent use until
// it is printed.
type summary struct {
	mu        sync.Mutex
	played    map[uint64]bool
	violating []simulation.Result
	counts    map[string]int
	// failures tell of processes that did not play all their seeds.
	failures        []string
	recoverySeconds []float64
	ackSeconds      []float64
	ackGapSeconds   []float64
	// redundancySeconds is Result.RedundancyTimes, by drill.
	redundancySeconds map[string][]float64
	availability      simulation.Availability
}

func newSummary() *summary {
	return &summary{played: map[uint64]bool{}, counts: map[string]int{}, redundancySeconds: map[string][]float64{}}
}

// runProcess plays seeds in another process and adds their results. It returns
// when the process has ended; ctx kills it.
func (s *summary) runProcess(ctx context.Context, flags runFlags, first uint64, seeds int) {
	program, err := os.Executable()
	if err != nil {
		s.addFailure(first, err.Error())
		return
	}
	args := append([]string{"batch", "--from", strconv.FormatUint(first, 10), "--seeds", strconv.Itoa(seeds)}, flags.args()...)
	child := exec.CommandContext(ctx, program, args...)
	var stderr bytes.Buffer
	child.Stderr = &stderr
	stdout, err := child.StdoutPipe()
	if err == nil {
		err = child.Start()
	}
	if err != nil {
		s.addFailure(first, err.Error())
		return
	}
	next := first
	lines := bufio.NewScanner(stdout)
	lines.Buffer(nil, maxResultLine)
	for lines.Scan() {
		var result simulation.Result
		if json.Unmarshal(lines.Bytes(), &result) == nil && result.Counts != nil {
			s.add(result)
			next = result.Seed + 1
		}
	}
	if err := child.Wait(); err != nil && ctx.Err() == nil {
		head, _, _ := strings.Cut(stderr.String(), "\n\n")
		s.addFailure(next, err.Error()+": "+head)
	}
}

// args are the flags as a process is given them.
func (r runFlags) args() []string {
	args := []string{"--site", r.Site, "--point", strconv.Itoa(r.Point), "--length", r.Length.String(), "--operators", strconv.Itoa(r.Operators), "--callers", strconv.Itoa(r.Callers)}
	if r.Quiet {
		args = append(args, "--quiet")
	}
	if r.Hurry {
		args = append(args, "--hurry")
	}
	if r.Drill != "" {
		args = append(args, "--drill", r.Drill)
	}
	if r.Service != "" {
		args = append(args, "--service", r.Service)
	}
	for _, name := range r.Trouble {
		args = append(args, "--trouble", name)
	}
	return args
}

func (s *summary) addFailure(seed uint64, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf("seed %d was not played to its end: %.600s", seed, reason))
}

func (s *summary) add(result simulation.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played[result.Seed] = true
	for name, count := range result.Counts {
		s.counts[name] += count
	}
	s.recoverySeconds = appendSeconds(s.recoverySeconds, result.RecoveryTimes)
	s.ackSeconds = appendSeconds(s.ackSeconds, result.AckLatencies)
	s.ackGapSeconds = append(s.ackGapSeconds, result.LongestAckGap.Seconds())
	for drill, times := range result.RedundancyTimes {
		s.redundancySeconds[drill] = appendSeconds(s.redundancySeconds[drill], times)
	}
	s.availability.Duration += result.Availability.Duration
	s.availability.Changes += result.Availability.Changes
	s.availability.AckLatencies = append(s.availability.AckLatencies, result.Availability.AckLatencies...)
	s.availability.Silences = append(s.availability.Silences, result.Availability.Silences...)
	if len(result.Violations) > 0 {
		s.violating = append(s.violating, result)
	}
}

func appendSeconds(seconds []float64, durations []time.Duration) []float64 {
	for _, duration := range durations {
		seconds = append(seconds, duration.Seconds())
	}
	return seconds
}

// print writes the summary and returns the exit status.
func (s *summary) print(flags runFlags, seeds int) int {
	for _, name := range sortedKeys(s.counts) {
		fmt.Printf("%10d %s\n", s.counts[name], name)
	}
	printQuantiles("seconds from the end of all faults until fully replicated", s.recoverySeconds)
	printQuantiles("seconds until a command is acknowledged", s.ackSeconds)
	printQuantiles("longest seconds of a run without an acknowledgement", s.ackGapSeconds)
	sort.Slice(s.violating, func(i, j int) bool { return s.violating[i].Seed < s.violating[j].Seed })
	for _, result := range s.violating {
		for _, violation := range result.Violations {
			fmt.Printf("BROKEN seed %d: %s\n", result.Seed, violation)
		}
		fmt.Printf("  again: simulate seed %d %s --trace\n", result.Seed, strings.Join(flags.args(), " "))
	}
	for _, failure := range s.failures {
		fmt.Println("NOT PLAYED " + failure)
	}
	fmt.Printf("%d of %d seeds played on %s, point %d: %d broke a promise\n", len(s.played), seeds, flags.Site, flags.Point, len(s.violating))
	if len(s.violating)+len(s.failures) > 0 {
		return exitViolation
	}
	return exitOK
}

// printFailures writes which seeds had violations or were not played, and returns
// the exit status.
func (s *summary) printFailures(name string, seeds int) int {
	for _, result := range s.violating {
		fmt.Printf("BROKEN %s, seed %d: %s\n", name, result.Seed, strings.Join(result.Violations, "; "))
	}
	for _, failure := range s.failures {
		fmt.Printf("NOT PLAYED %s, %s\n", name, failure)
	}
	if len(s.played) < seeds {
		fmt.Printf("%s: %d of %d seeds played\n", name, len(s.played), seeds)
	}
	if len(s.violating) > 0 || len(s.played) < seeds {
		return exitViolation
	}
	return exitOK
}

func printQuantiles(what string, seconds []float64) {
	if len(seconds) == 0 {
		return
	}
	fmt.Printf("%s: median %s, 99 in 100 %s, worst %s (%d)\n", what,
		formatSeconds(quantile(seconds, 0.5)), formatSeconds(quantile(seconds, 0.99)), formatSeconds(quantile(seconds, 1)), len(seconds))
}

// quantile returns the empirical quantile of the values, of which there must be
// one.
func quantile(values []float64, share float64) float64 {
	return stat.Quantile(share, stat.Empirical, slices.Sorted(slices.Values(values)), nil)
}

// formatSeconds formats seconds as a duration in whole milliseconds.
func formatSeconds(seconds float64) string {
	return (time.Duration(seconds*1e3) * time.Millisecond).String()
}

func sortedKeys[Value any](values map[string]Value) []string {
	var keys []string
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

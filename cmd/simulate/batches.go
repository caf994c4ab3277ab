package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"

	"onyxwell/simulation"
)

// batchSize is how many seeds a process plays before another takes its place.
const batchSize = 20

// summary is what many runs came to.
type summary struct {
	mu              sync.Mutex
	played          map[uint64]bool
	violating       []simulation.Result
	counts          map[string]int
	recoverySeconds []float64
	ackSeconds      []float64
	ackGapSeconds   []float64
	failures        []string
	// redundancySeconds are the seconds until all was whole again, by kind of loss.
	redundancySeconds map[string][]float64
	availability      simulation.Availability
}

func newSummary() *summary {
	return &summary{played: map[uint64]bool{}, counts: map[string]int{}, redundancySeconds: map[string][]float64{}}
}

// runSeeds plays seeds in several processes until they are done or time is up.
func (c commandLine) runSeeds() (int, error) {
	asked := c.Run
	if _, err := asked.options(); err != nil {
		return 0, err
	}
	if asked.Seeds < 1 || asked.Jobs < 1 {
		return 0, fmt.Errorf("--seeds and --jobs want a number above 0")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, end := context.WithTimeout(ctx, asked.Within)
	defer end()
	total := newSummary()
	batches := make(chan uint64)
	var group sync.WaitGroup
	for range asked.Jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for first := range batches {
				total.runProcess(ctx, asked.runFlags, first, min(batchSize, int(asked.From+uint64(asked.Seeds)-first)))
			}
		}()
	}
	for first := asked.From; first < asked.From+uint64(asked.Seeds) && ctx.Err() == nil; first += batchSize {
		select {
		case batches <- first:
		case <-ctx.Done():
		}
	}
	close(batches)
	group.Wait()
	return total.print(asked.runFlags, asked.Seeds), nil
}

// arguments are those of a process that plays some seeds.
func (r runFlags) arguments() []string {
	made := []string{"--site", r.Site, "--point", strconv.Itoa(r.Point), "--length", r.Length.String(), "--operators", strconv.Itoa(r.Operators)}
	for name, set := range map[string]bool{"--quiet": r.Quiet, "--hurry": r.Hurry} {
		if set {
			made = append(made, name)
		}
	}
	for name, value := range map[string]string{"--drill": r.Drill, "--service": r.Service} {
		if value != "" {
			made = append(made, name, value)
		}
	}
	for _, name := range r.Trouble {
		made = append(made, "--trouble", name)
	}
	return made
}

func (s *summary) runProcess(ctx context.Context, set runFlags, first uint64, seeds int) {
	program, err := os.Executable()
	if err != nil {
		s.addFailure(first, err.Error())
		return
	}
	arguments := append([]string{"batch", "--from", strconv.FormatUint(first, 10), "--seeds", strconv.Itoa(seeds)}, set.arguments()...)
	child := exec.CommandContext(ctx, program, arguments...)
	var said bytes.Buffer
	child.Stderr = &said
	output, err := child.StdoutPipe()
	if err == nil {
		err = child.Start()
	}
	if err != nil {
		s.addFailure(first, err.Error())
		return
	}
	next := first
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var result simulation.Result
		if json.Unmarshal(lines.Bytes(), &result) == nil && result.Counts != nil {
			s.add(result)
			next = result.Seed + 1
		}
	}
	if err := child.Wait(); err != nil && ctx.Err() == nil {
		head, _, _ := strings.Cut(said.String(), "\n\n")
		s.addFailure(next, err.Error()+": "+head)
	}
}

func (s *summary) addFailure(seed uint64, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf("seed %d was not played to its end: %.600s", seed, text))
}

func (s *summary) add(result simulation.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played[result.Seed] = true
	for name, count := range result.Counts {
		s.counts[name] += count
	}
	for _, span := range result.RecoveryTimes {
		s.recoverySeconds = append(s.recoverySeconds, span.Seconds())
	}
	for _, span := range result.AckLatencies {
		s.ackSeconds = append(s.ackSeconds, span.Seconds())
	}
	for name, spans := range result.RedundancyTimes {
		for _, span := range spans {
			s.redundancySeconds[name] = append(s.redundancySeconds[name], span.Seconds())
		}
	}
	s.availability.Duration += result.Availability.Duration
	s.availability.Changes += result.Availability.Changes
	s.availability.AckLatencies = append(s.availability.AckLatencies, result.Availability.AckLatencies...)
	s.availability.Silences = append(s.availability.Silences, result.Availability.Silences...)
	s.ackGapSeconds = append(s.ackGapSeconds, result.LongestAckGap.Seconds())
	if len(result.Violations) > 0 {
		s.violating = append(s.violating, result)
	}
}

// print sums up and gives the exit status.
func (s *summary) print(set runFlags, asked int) int {
	for _, name := range sortedKeys(s.counts) {
		fmt.Printf("%10d %s\n", s.counts[name], name)
	}
	printQuantiles("seconds from the end of trouble until all is whole", s.recoverySeconds)
	printQuantiles("seconds until an order is acknowledged", s.ackSeconds)
	printQuantiles("longest seconds of a run without an acknowledgement", s.ackGapSeconds)
	sort.Slice(s.violating, func(left, right int) bool { return s.violating[left].Seed < s.violating[right].Seed })
	for _, result := range s.violating {
		for _, text := range result.Violations {
			fmt.Printf("BROKEN seed %d: %s\n", result.Seed, text)
		}
		fmt.Printf("  again: simulate seed %d %s --trace\n", result.Seed, strings.Join(set.arguments(), " "))
	}
	for _, text := range s.failures {
		fmt.Println("NOT PLAYED " + text)
	}
	fmt.Printf("%d of %d seeds played on %s, point %d: %d broke a promise\n", len(s.played), asked, set.Site, set.Point, len(s.violating))
	if len(s.violating)+len(s.failures) > 0 {
		return 1
	}
	return 0
}

func printQuantiles(what string, values []float64) {
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	at := func(part float64) float64 { return stat.Quantile(part, stat.Empirical, values, nil) }
	fmt.Printf("%s: median %s, 99 in 100 %s, worst %s (%d)\n", what, formatSeconds(at(0.5)), formatSeconds(at(0.99)), formatSeconds(values[len(values)-1]), len(values))
}

func formatSeconds(value float64) string {
	return (time.Duration(value*1e3) * time.Millisecond).String()
}

func sortedKeys[Value any](counts map[string]Value) []string {
	var found []string
	for name := range counts {
		found = append(found, name)
	}
	sort.Strings(found)
	return found
}

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

// sum is what many runs came to.
type sum struct {
	mu       sync.Mutex
	played   map[uint64]bool
	broken   []simulation.Result
	counts   map[string]int
	whole    []float64
	acks     []float64
	gaps     []float64
	unplayed []string
	// redundancy are the seconds until all was whole again, by kind of loss.
	redundancy map[string][]float64
	service    simulation.Service
}

func newSum() *sum {
	return &sum{played: map[uint64]bool{}, counts: map[string]int{}, redundancy: map[string][]float64{}}
}

// many plays seeds in several processes until they are done or time is up.
func (c commandLine) many() (int, error) {
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
	total := newSum()
	batches := make(chan uint64)
	var group sync.WaitGroup
	for range asked.Jobs {
		group.Add(1)
		go func() {
			defer group.Done()
			for first := range batches {
				total.play(ctx, asked.setting, first, min(batchSize, int(asked.From+uint64(asked.Seeds)-first)))
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
	return total.tell(asked.setting, asked.Seeds), nil
}

// arguments are those of a process that plays some seeds.
func (s setting) arguments() []string {
	made := []string{"--site", s.Site, "--point", strconv.Itoa(s.Point), "--length", s.Length.String(), "--operators", strconv.Itoa(s.Operators)}
	for name, set := range map[string]bool{"--quiet": s.Quiet, "--hurry": s.Hurry} {
		if set {
			made = append(made, name)
		}
	}
	for name, value := range map[string]string{"--drill": s.Drill, "--service": s.Service} {
		if value != "" {
			made = append(made, name, value)
		}
	}
	for _, name := range s.Trouble {
		made = append(made, "--trouble", name)
	}
	return made
}

func (s *sum) play(ctx context.Context, set setting, first uint64, seeds int) {
	program, err := os.Executable()
	if err != nil {
		s.fail(first, err.Error())
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
		s.fail(first, err.Error())
		return
	}
	next := first
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var result simulation.Result
		if json.Unmarshal(lines.Bytes(), &result) == nil && result.Counts != nil {
			s.take(result)
			next = result.Seed + 1
		}
	}
	if err := child.Wait(); err != nil && ctx.Err() == nil {
		head, _, _ := strings.Cut(said.String(), "\n\n")
		s.fail(next, err.Error()+": "+head)
	}
}

func (s *sum) fail(seed uint64, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unplayed = append(s.unplayed, fmt.Sprintf("seed %d was not played to its end: %.600s", seed, text))
}

func (s *sum) take(result simulation.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.played[result.Seed] = true
	for name, count := range result.Counts {
		s.counts[name] += count
	}
	for _, span := range result.Whole {
		s.whole = append(s.whole, span.Seconds())
	}
	for _, span := range result.Acks {
		s.acks = append(s.acks, span.Seconds())
	}
	for name, spans := range result.Redundancy {
		for _, span := range spans {
			s.redundancy[name] = append(s.redundancy[name], span.Seconds())
		}
	}
	s.service.Span += result.Service.Span
	s.service.Changes += result.Service.Changes
	s.service.Acks = append(s.service.Acks, result.Service.Acks...)
	s.service.Silences = append(s.service.Silences, result.Service.Silences...)
	s.gaps = append(s.gaps, result.Gap.Seconds())
	if len(result.Broken) > 0 {
		s.broken = append(s.broken, result)
	}
}

// tell sums up and gives the exit status.
func (s *sum) tell(set setting, asked int) int {
	for _, name := range names(s.counts) {
		fmt.Printf("%10d %s\n", s.counts[name], name)
	}
	show("seconds from the end of trouble until all is whole", s.whole)
	show("seconds until an order is acknowledged", s.acks)
	show("longest seconds of a run without an acknowledgement", s.gaps)
	sort.Slice(s.broken, func(left, right int) bool { return s.broken[left].Seed < s.broken[right].Seed })
	for _, result := range s.broken {
		for _, text := range result.Broken {
			fmt.Printf("BROKEN seed %d: %s\n", result.Seed, text)
		}
		fmt.Printf("  again: simulate seed %d %s --trace\n", result.Seed, strings.Join(set.arguments(), " "))
	}
	for _, text := range s.unplayed {
		fmt.Println("NOT PLAYED " + text)
	}
	fmt.Printf("%d of %d seeds played on %s, point %d: %d broke a promise\n", len(s.played), asked, set.Site, set.Point, len(s.broken))
	if len(s.broken)+len(s.unplayed) > 0 {
		return 1
	}
	return 0
}

func show(what string, values []float64) {
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	at := func(part float64) float64 { return stat.Quantile(part, stat.Empirical, values, nil) }
	fmt.Printf("%s: median %s, 99 in 100 %s, worst %s (%d)\n", what, seconds(at(0.5)), seconds(at(0.99)), seconds(values[len(values)-1]), len(values))
}

func seconds(value float64) string {
	return (time.Duration(value*1e3) * time.Millisecond).String()
}

func names[Value any](counts map[string]Value) []string {
	var found []string
	for name := range counts {
		found = append(found, name)
	}
	sort.Strings(found)
	return found
}

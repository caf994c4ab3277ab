package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"testing"

	"onyxwell/simulation"
)

// memoryLimit bounds the heap while the collector runs between seeds alone.
const memoryLimit = 2 << 30

// inSimulatedTime runs f in a test, since only tests have simulated time. It ends
// the process.
func inSimulatedTime(f func(t *testing.T)) {
	runtime.GOMAXPROCS(1)
	// The collector's own goroutines would change the order of the others.
	debug.SetGCPercent(-1)
	debug.SetMemoryLimit(memoryLimit)
	os.Args = os.Args[:1]
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{{Name: "simulate", F: f}}, nil, nil)
}

// runSeed plays a seed again.
func (c commandLine) runSeed() (int, error) {
	options, err := c.Seed.options()
	if err != nil {
		return 0, err
	}
	options.Seed = c.Seed.Number
	if c.Seed.Trace {
		options.Trace = os.Stdout
	}
	inSimulatedTime(func(t *testing.T) {
		result := simulation.Run(t, options)
		for _, name := range sortedKeys(result.Counts) {
			fmt.Printf("%8d %s\n", result.Counts[name], name)
		}
		for _, violation := range result.Violations {
			t.Errorf("seed %d: %s", result.Seed, violation)
		}
	})
	return exitOK, nil
}

// runBatch plays some seeds for the process that started it, and writes each
// Result as a line of JSON.
func (c commandLine) runBatch() (int, error) {
	options, err := c.Batch.options()
	if err != nil {
		return 0, err
	}
	inSimulatedTime(func(t *testing.T) {
		for offset := range c.Batch.Seeds {
			options.Seed = c.Batch.From + uint64(offset)
			line, err := json.Marshal(simulation.Run(t, options))
			if err != nil {
				t.Fatal(err)
			}
			fmt.Println(string(line))
			runtime.GC()
		}
	})
	return exitOK, nil
}

package wal_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/control/state/wal"
	"onyxwell/simulation/simdisk"
)

var errInjected = errors.New("injected error")

// counterState models the state that a log makes durable: numbers that only
// increase.
type counterState struct {
	mu      sync.Mutex
	numbers [3]int
}

func counterRecord(key int, number int) []byte {
	return []byte(fmt.Sprintf("%d %d %s", key, number, bytes.Repeat([]byte("."), number%60)))
}

func (c *counterState) snapshot() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	var records [][]byte
	for key, number := range c.numbers {
		records = append(records, counterRecord(key, number))
	}
	return records
}

// host is a machine with a log on a simulated disk. acknowledged and submitted
// hold the last number of each key.
type host struct {
	t            *rapid.T
	random       *rand.Rand
	disk         *simdisk.Disk
	state        *counterState
	log          *wal.Log
	acknowledged [3]int
	submitted    [3]int
	// failOneIn means that one in so many disk operations fails; 0 means none.
	failOneIn int
	// opsUntilCrash is the number of disk operations before a crash; if it is
	// negative, there is no crash.
	opsUntilCrash int
	powerLoss     bool
}

// beforeOp implements simdisk.Options.Delay.
func (h *host) beforeOp(string, int) error {
	if h.opsUntilCrash == 0 {
		h.crash()
	}
	h.opsUntilCrash--
	if h.failOneIn > 0 && h.random.IntN(h.failOneIn) == 0 {
		return errInjected
	}
	return nil
}

// crash kills the process or cuts the power.
func (h *host) crash() {
	if h.powerLoss {
		h.disk.LosePower()
		return
	}
	h.disk.Kill()
}

// start opens the log and checks the records that it reads. If an operation fails
// or the machine crashes, it tries again without faults.
func (h *host) start() {
	for {
		h.state = &counterState{}
		state := h.state
		log, records, err := wal.Open(wal.Options{FS: h.disk.Mount(), Name: "j", Snapshot: state.snapshot, MinCompactBytes: 300, MaxBytes: 64 << 10})
		if err != nil {
			h.opsUntilCrash, h.failOneIn = -1, 0
			continue
		}
		if log.Corruption != nil {
			h.t.Fatalf("corruption reported though nothing was damaged: %+v", log.Corruption)
		}
		for _, record := range records {
			key, number := 0, 0
			if _, err := fmt.Sscanf(string(record), "%d %d", &key, &number); err != nil {
				h.t.Fatal(err)
			}
			state.numbers[key] = max(state.numbers[key], number)
		}
		for key, number := range state.numbers {
			if number < h.acknowledged[key] || number > h.submitted[key] {
				h.t.Fatalf("key %d: %d was acknowledged and %d submitted, but %d was read back", key, h.acknowledged[key], h.submitted[key], number)
			}
			// The process relies on what Open returned, so it must be durable
			// too.
			h.acknowledged[key] = number
		}
		h.log = log
		return
	}
}

// save submits the next number of keys 0 to keys-1 concurrently.
func (h *host) save(keys int) error {
	errs := make([]error, keys)
	var saves sync.WaitGroup
	for key := range keys {
		h.submitted[key]++
		number := h.submitted[key]
		h.state.mu.Lock()
		h.state.numbers[key] = number
		h.state.mu.Unlock()
		saves.Go(func() { errs[key] = h.log.Save(counterRecord(key, number)) })
	}
	saves.Wait()
	for key := range keys {
		if errs[key] == nil {
			h.acknowledged[key] = h.submitted[key]
		}
	}
	return errors.Join(errs...)
}

// TestSave_acknowledgedRecordsSurviveCrashes injects an error, kills the process
// or cuts the power at any disk operation, including those in Open, in a
// compaction, and between a rename and its sync. Acknowledged records must
// survive.
func TestSave_acknowledgedRecordsSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &host{t: t, opsUntilCrash: -1, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		h.disk = simdisk.New(simdisk.Options{Delay: h.beforeOp, OneIn: func(odds int) bool { return h.random.IntN(odds) == 0 }})
		for range rapid.IntRange(1, 8).Draw(t, "lives") {
			h.opsUntilCrash = rapid.IntRange(-1, 60).Draw(t, "acts until crash")
			h.powerLoss = rapid.Bool().Draw(t, "power loss")
			h.failOneIn = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "fail one in at start")
			h.start()
			for range rapid.IntRange(0, 15).Draw(t, "saves") {
				h.failOneIn = rapid.SampledFrom([]int{0, 0, 0, 2, 5}).Draw(t, "fail one in")
				_ = h.save(rapid.IntRange(1, 3).Draw(t, "keys"))
			}
			h.failOneIn = 0
			if rapid.Bool().Draw(t, "goes on") {
				if err := h.save(1); err != nil && !errors.Is(err, simdisk.ErrProcessDead) {
					t.Fatalf("Save failed though no error is injected any more: %v", err)
				}
			}
			h.log.Close()
			h.crash()
		}
		h.opsUntilCrash = -1
		h.start()
		h.log.Close()
	})
}

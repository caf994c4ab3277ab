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

var errInjected = errors.New("model: the act failed")

// counterState is a small model of the state behind a log: numbers that only grow.
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

// host is a machine with a log on a simulated disk, and what it acknowledged.
type host struct {
	t            *rapid.T
	random       *rand.Rand
	disk         *simdisk.Disk
	state        *counterState
	log          *wal.Log
	acknowledged [3]int
	submitted    [3]int
	// failOneIn is one act in how many fails; 0 is none.
	failOneIn int
	// opsUntilCrash counts the disk acts until a crash; below 0 there is none.
	opsUntilCrash int
	powerLoss     bool
}

// beforeOp is simdisk.Options.Delay.
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

// crash ends the process, or the power.
func (h *host) crash() {
	if h.powerLoss {
		h.disk.LosePower()
		return
	}
	h.disk.Kill()
}

// start opens the log, crashing on the way at times, and checks what it reads.
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
			h.t.Fatalf("nothing was damaged: %+v", log.Corruption)
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
				h.t.Fatalf("key %d: %d was acknowledged, %d submitted, %d read back", key, h.acknowledged[key], h.submitted[key], number)
			}
			// What Open returned is acted on, so it must be durable too.
			h.acknowledged[key] = number
		}
		h.log = log
		return
	}
}

// save submits the next number of each key at once.
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

// TestSave_acknowledgedRecordsSurviveCrashes fails, kills and loses power at any act,
// also in Open, during a compaction, and between a rename and its sync.
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
					t.Fatalf("no act fails any more: %v", err)
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

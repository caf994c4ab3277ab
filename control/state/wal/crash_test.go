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

var errRefused = errors.New("model: the disk refuses")

// counterState is a small model of what a journal serves: numbers that only grow.
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
	var all [][]byte
	for key, number := range c.numbers {
		all = append(all, counterRecord(key, number))
	}
	return all
}

// host is a voter on a simulated disk, and what it acknowledged.
type host struct {
	t            *rapid.T
	random       *rand.Rand
	disk         *simdisk.Disk
	state        *counterState
	log          *wal.Log
	acknowledged [3]int
	submitted    [3]int
	failOneIn    int
	// actsUntilCrash is how many acts are left before the machine dies; below 0 for ever.
	actsUntilCrash int
	powerLoss      bool
}

func (h *host) beforeAct(string, int) error {
	if h.actsUntilCrash == 0 {
		h.crash()
	}
	h.actsUntilCrash--
	if h.failOneIn > 0 && h.random.IntN(h.failOneIn) == 0 {
		return errRefused
	}
	return nil
}

func (h *host) crash() {
	if h.powerLoss {
		h.disk.LosePower()
		return
	}
	h.disk.Kill()
}

// start opens the journal, with the machine dying on the way at times.
func (h *host) start() {
	for {
		h.state = &counterState{}
		own := h.state
		opened, records, err := wal.Open(wal.Options{FS: h.disk.Mount(), Name: "j", Snapshot: own.snapshot, MinCompactBytes: 300, MaxBytes: 64 << 10})
		if err != nil {
			h.actsUntilCrash, h.failOneIn = -1, 0
			continue
		}
		if opened.Corruption != nil {
			h.t.Fatalf("nothing was spoilt: %+v", opened.Corruption)
		}
		for _, body := range records {
			key, number := 0, 0
			if _, err := fmt.Sscanf(string(body), "%d %d", &key, &number); err != nil {
				h.t.Fatal(err)
			}
			own.numbers[key] = max(own.numbers[key], number)
		}
		for key, number := range own.numbers {
			if number < h.acknowledged[key] || number > h.submitted[key] {
				h.t.Fatalf("key %d: %d was acknowledged, %d handed over, %d read back", key, h.acknowledged[key], h.submitted[key], number)
			}
			// What Open gave is acted on, so it lasts too.
			h.acknowledged[key] = number
		}
		h.log = opened
		return
	}
}

// save hands over the next number of each key at once.
func (h *host) save(keys int) error {
	faults := make([]error, keys)
	var all sync.WaitGroup
	for key := range keys {
		h.submitted[key]++
		number := h.submitted[key]
		h.state.mu.Lock()
		h.state.numbers[key] = number
		h.state.mu.Unlock()
		all.Go(func() { faults[key] = h.log.Save(counterRecord(key, number)) })
	}
	all.Wait()
	for key := range keys {
		if faults[key] == nil {
			h.acknowledged[key] = h.submitted[key]
		}
	}
	return errors.Join(faults...)
}

// TestSave_acknowledgedSurvivesCrashes kills, refuses and loses power at any act,
// also in Open, while a file is renewed, and between a rename and its sync.
func TestSave_acknowledgedSurvivesCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &host{t: t, actsUntilCrash: -1, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		machine.disk = simdisk.New(simdisk.Options{Pause: machine.beforeAct, Draw: func(odds int) bool { return machine.random.IntN(odds) == 0 }})
		for range rapid.IntRange(1, 8).Draw(t, "lives") {
			machine.actsUntilCrash = rapid.IntRange(-1, 60).Draw(t, "acts until the end")
			machine.powerLoss = rapid.Bool().Draw(t, "power")
			machine.failOneIn = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "refuses at the start")
			machine.start()
			for range rapid.IntRange(0, 15).Draw(t, "saves") {
				machine.failOneIn = rapid.SampledFrom([]int{0, 0, 0, 2, 5}).Draw(t, "refuses")
				_ = machine.save(rapid.IntRange(1, 3).Draw(t, "keys"))
			}
			machine.failOneIn = 0
			if rapid.Bool().Draw(t, "goes on") {
				if err := machine.save(1); err != nil && !errors.Is(err, simdisk.ErrDead) {
					t.Fatalf("the trouble is over: %v", err)
				}
			}
			machine.log.Close()
			machine.crash()
		}
		machine.actsUntilCrash = -1
		machine.start()
		machine.log.Close()
	})
}

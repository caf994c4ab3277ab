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

// voter is a small model of what a journal serves: numbers that only grow.
type voter struct {
	mu      sync.Mutex
	numbers [3]int
}

func record(key int, number int) []byte {
	return []byte(fmt.Sprintf("%d %d %s", key, number, bytes.Repeat([]byte("."), number%60)))
}

func (v *voter) whole() [][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	var all [][]byte
	for key, number := range v.numbers {
		all = append(all, record(key, number))
	}
	return all
}

// machine is a voter on a simulated disk, and what it acknowledged.
type machine struct {
	t       *rapid.T
	source  *rand.Rand
	disk    *simdisk.Disk
	voter   *voter
	opened  *wal.Journal
	acked   [3]int
	handed  [3]int
	refuses int
	// until is how many acts are left before the machine dies; below 0 for ever.
	until int
	power bool
}

func (m *machine) pause(string, int) error {
	if m.until == 0 {
		m.end()
	}
	m.until--
	if m.refuses > 0 && m.source.IntN(m.refuses) == 0 {
		return errRefused
	}
	return nil
}

func (m *machine) end() {
	if m.power {
		m.disk.LosePower()
		return
	}
	m.disk.Kill()
}

// start opens the journal, with the machine dying on the way at times.
func (m *machine) start() {
	for {
		m.voter = &voter{}
		own := m.voter
		opened, records, err := wal.Open(wal.Options{Disk: m.disk.Mount(), Name: "j", Whole: own.whole, Shortest: 300, Limit: 64 << 10})
		if err != nil {
			m.until, m.refuses = -1, 0
			continue
		}
		if opened.Damage != nil {
			m.t.Fatalf("nothing was spoilt: %+v", opened.Damage)
		}
		for _, body := range records {
			key, number := 0, 0
			if _, err := fmt.Sscanf(string(body), "%d %d", &key, &number); err != nil {
				m.t.Fatal(err)
			}
			own.numbers[key] = max(own.numbers[key], number)
		}
		for key, number := range own.numbers {
			if number < m.acked[key] || number > m.handed[key] {
				m.t.Fatalf("key %d: %d was acknowledged, %d handed over, %d read back", key, m.acked[key], m.handed[key], number)
			}
			// What Open gave is acted on, so it lasts too.
			m.acked[key] = number
		}
		m.opened = opened
		return
	}
}

// save hands over the next number of each key at once.
func (m *machine) save(keys int) error {
	faults := make([]error, keys)
	var all sync.WaitGroup
	for key := range keys {
		m.handed[key]++
		number := m.handed[key]
		m.voter.mu.Lock()
		m.voter.numbers[key] = number
		m.voter.mu.Unlock()
		all.Go(func() { faults[key] = m.opened.Save(record(key, number)) })
	}
	all.Wait()
	for key := range keys {
		if faults[key] == nil {
			m.acked[key] = m.handed[key]
		}
	}
	return errors.Join(faults...)
}

// TestSavedRecordsOutliveEverything kills, refuses and loses power at any act,
// also in Open, while a file is renewed, and between a rename and its sync.
func TestSavedRecordsOutliveEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		machine := &machine{t: t, until: -1, source: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		machine.disk = simdisk.New(simdisk.Options{Pause: machine.pause, Draw: func(odds int) bool { return machine.source.IntN(odds) == 0 }})
		for range rapid.IntRange(1, 8).Draw(t, "lives") {
			machine.until = rapid.IntRange(-1, 60).Draw(t, "acts until the end")
			machine.power = rapid.Bool().Draw(t, "power")
			machine.refuses = rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "refuses at the start")
			machine.start()
			for range rapid.IntRange(0, 15).Draw(t, "saves") {
				machine.refuses = rapid.SampledFrom([]int{0, 0, 0, 2, 5}).Draw(t, "refuses")
				_ = machine.save(rapid.IntRange(1, 3).Draw(t, "keys"))
			}
			machine.refuses = 0
			if rapid.Bool().Draw(t, "goes on") {
				if err := machine.save(1); err != nil && !errors.Is(err, simdisk.ErrDead) {
					t.Fatalf("the trouble is over: %v", err)
				}
			}
			machine.opened.Close()
			machine.end()
		}
		machine.until = -1
		machine.start()
		machine.opened.Close()
	})
}

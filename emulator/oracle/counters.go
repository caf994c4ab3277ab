package oracle

import (
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Always is later than every instant of a run.
const Always = time.Duration(math.MaxInt64)

// CounterAdd is an add of an application to a counter, under an ID by which it counts
// once, with what is known of all attempts to have it counted.
type CounterAdd struct {
	Counter string
	ID      string
	Amount  int64
	// open counts the attempts that were not refused with the promise that nothing was
	// done: with none, the add must not count.
	open int
	acks []CounterAck
	// excused says that the disks that held it may all be lost: too few were in reach.
	excused bool
}

// CounterAck is an acknowledgement of an add.
type CounterAck struct {
	At time.Duration
	// Process identifies the process that acknowledged; it can be compared.
	Process any
	// Exposed says that fewer disks may have been in reach than must hold the add.
	Exposed bool
}

// CounterLedger is what applications know of counters, from which follows what a total
// must and may be. Instants are durations since any fixed one. It is safe for concurrent
// use.
type CounterLedger struct {
	// mergeTime is how long after the end of all trouble every controller must know every
	// add that was acknowledged.
	mergeTime time.Duration

	mu   sync.Mutex
	adds []*CounterAdd
	// activeFaults counts the faults that are in force; lastTrouble is when one last began
	// or ended.
	activeFaults int
	lastTrouble  time.Duration
	// settled is an instant: what was acknowledged before it was known to all once.
	settled time.Duration
}

// NewCounterLedger returns a ledger without adds.
func NewCounterLedger(mergeTime time.Duration, now time.Duration) *CounterLedger {
	return &CounterLedger{mergeTime: mergeTime, lastTrouble: now}
}

// Record adds an add that is about to be sent.
func (l *CounterLedger) Record(add *CounterAdd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adds = append(l.adds, add)
}

// Empty reports whether there is no add.
func (l *CounterLedger) Empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.adds) == 0
}

// Sent records that an attempt is sent.
func (l *CounterLedger) Sent(add *CounterAdd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add.open++
}

// Answered records the status of an attempt; ack is what it is if that is 200.
func (l *CounterLedger) Answered(add *CounterAdd, status int, ack CounterAck) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch status {
	case http.StatusOK:
		add.acks = append(add.acks, ack)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		add.open--
	}
}

// FaultBegins and FaultEnds are called around each fault.
func (l *CounterLedger) FaultBegins(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calm(now) {
		l.settled = now - l.mergeTime
	}
	l.activeFaults++
	l.lastTrouble = now
}

// FaultEnds records that a fault has ended.
func (l *CounterLedger) FaultEnds(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activeFaults--
	l.lastTrouble = now
}

// Disturbed records trouble that is over at once, such as the start of a process.
func (l *CounterLedger) Disturbed(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTrouble = now
}

// Calm reports whether there was no trouble for the merge time.
func (l *CounterLedger) Calm(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calm(now)
}

func (l *CounterLedger) calm(now time.Duration) bool {
	return l.activeFaults == 0 && now-l.lastTrouble >= l.mergeTime
}

// SettledBefore returns an instant: what was acknowledged before it was known to all
// before the last trouble.
func (l *CounterLedger) SettledBefore() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled
}

// DiskLost excuses what may be gone with a disk: what was acknowledged while too few
// disks were in reach, and is not known to have been everywhere since.
func (l *CounterLedger) DiskLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		safe := slices.ContainsFunc(add.acks, func(ack CounterAck) bool { return !ack.Exposed || ack.At < l.settled })
		add.excused = add.excused || !safe
	}
}

// Least returns the least that a total may be: the sum of what the process has
// acknowledged, and of what any has before an instant, but for what is excused. A nil
// process stands for none.
func (l *CounterLedger) Least(counter string, process any, before time.Duration) (sum int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		required := slices.ContainsFunc(add.acks, func(ack CounterAck) bool {
			return (process != nil && ack.Process == process) || (!add.excused && ack.At < before)
		})
		if add.Counter == counter && required {
			sum += add.Amount
		}
	}
	return sum
}

// Most returns the most that a total may be: the sum of what may count.
func (l *CounterLedger) Most(counter string) (sum int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, add := range l.adds {
		if add.Counter == counter && add.open > 0 {
			sum += add.Amount
		}
	}
	return sum
}

// Package invariant counts violations of the promises that matter most, where
// the code can see them while it runs. A violation never ends a process in
// production: it is counted, and the first few of each promise are logged with
// the facts. In a test binary it panics, so that no test passes over one.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/phuslu/log"
)

// Name names a promise; docs/promises.md lists them all.
type Name string

// The promises that are checked in the code.
const (
	// AnswerSeal: a success passed on bears its runner's seal and the request's id.
	AnswerSeal Name = "answer-seal"
	// RunOnce: a request that may run once is not sent again after it may have run.
	RunOnce Name = "run-once"
	// PromiseNotRun: an answer that promises "not run" is not given after a run.
	PromiseNotRun Name = "promise-not-run"
	// Tries: a request reaches no more runners than its route's tries.
	Tries Name = "tries"
	// TimeLeft: a runner is not given more time than the client has.
	TimeLeft Name = "time-left"
	// Home: a request goes only to runners in a home region of its route.
	Home Name = "home"
	// EventOrder: the ids of the events passed on rise by one.
	EventOrder Name = "event-order"
	// VersionRises: the configuration acted on never goes back in a process's life.
	VersionRises Name = "version-rises"
	// EpochRises: each gain of a duty has a higher epoch than the one before.
	EpochRises Name = "epoch-rises"
	// PromiseRises: the epoch that a voter has promised never goes down.
	PromiseRises Name = "promise-rises"
	// LedAway: clients are led out of their region only where it is known lost.
	LedAway Name = "led-away"
	// MemoryReserved: no more memory is given back than was reserved.
	MemoryReserved Name = "memory-reserved"
)

// Names lists all promises.
var Names = []Name{
	AnswerSeal, RunOnce, PromiseNotRun, Tries, TimeLeft, Home, EventOrder, VersionRises, EpochRises, PromiseRises, LedAway, MemoryReserved,
}

// maxLogged is how many violations of a promise are logged with their facts.
const maxLogged = 5

// Monitor counts violations. The zero value is ready; a nil one is that of the
// process.
type Monitor struct {
	// Log may be left out.
	Log *log.Logger
	// Tolerant has violations counted in tests too, where they are planted.
	Tolerant bool
	counts   [16]atomic.Int64
}

// defaultMonitor is the monitor of code that was given none.
var defaultMonitor Monitor

// Violated counts a violation of a promise, told with the facts in the manner
// of fmt.
func (m *Monitor) Violated(name Name, format string, facts ...any) {
	if m == nil {
		m = &defaultMonitor
	}
	count := m.counts[indexOf(name)].Add(1)
	if testing.Testing() && !m.Tolerant {
		panic(fmt.Sprintf("invariant %s is violated: "+format, append([]any{name}, facts...)...))
	}
	if m.Log != nil && count <= maxLogged {
		m.Log.Error().Str("part", "invariant").Str("invariant", string(name)).Int64("count", count).
			Msg(fmt.Sprintf(format, facts...))
	}
}

// Count gives how often a promise was violated.
func (m *Monitor) Count(name Name) int64 {
	if m == nil {
		m = &defaultMonitor
	}
	return m.counts[indexOf(name)].Load()
}

func indexOf(name Name) int {
	for index, known := range Names {
		if known == name {
			return index
		}
	}
	panic("invariant: " + string(name) + " is not in the list of names")
}

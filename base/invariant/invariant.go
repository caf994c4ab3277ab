// Package invariant counts violations of the safety properties that the running
// code can check for itself. In production a violation never ends the process:
// it is counted, and the first few of each property are logged with the facts.
// In a test binary it panics, so that no test can miss one.
package invariant

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/phuslu/log"
)

// Name identifies a property; docs/promises.md lists them all. It is the label of
// a metric and a field of log lines.
type Name string

// The properties.
const (
	// ResponseSeal: a forwarded success bears its runner's seal and the request's id.
	ResponseSeal Name = "answer-seal"
	// RunOnce: a request that is not idempotent is not sent again after it may have
	// run.
	RunOnce Name = "run-once"
	// PromiseNotRun: a response that promises "not run" is not given after a run.
	PromiseNotRun Name = "promise-not-run"
	// Tries: a request makes no more attempts than its route allows.
	AttemptLimit Name = "tries"
	// DeadlineNotExtended: the deadline that a runner gets is not after the client's.
	DeadlineNotExtended Name = "time-left"
	// Home: a request goes only to runners in a home region of its route.
	Home Name = "home"
	// EventOrder: the ids of the events of a forwarded stream rise.
	EventOrder Name = "event-order"
	// VersionRises: the configuration in use is never replaced by an older one
	// during the life of a process.
	VersionRises Name = "version-rises"
	// EpochRises: each acquisition of a lease has a higher epoch than the one before.
	EpochRises Name = "epoch-rises"
	// PromiseRises: the epoch that an acceptor has promised never decreases.
	PromiseRises Name = "promise-rises"
	// RegionFailover: clients are sent out of their region only if it is known to be lost.
	RegionFailover Name = "led-away"
	// TenantKnown: a request that needs a key is sent to runners only as one of the
	// tenant that holds its key, and without the key.
	TenantKnown Name = "tenant-known"
	// MemoryReserved: no more memory is released than was reserved.
	MemoryReserved Name = "memory-reserved"
)

// Names lists all properties.
var Names = []Name{
	ResponseSeal, RunOnce, PromiseNotRun, AttemptLimit, DeadlineNotExtended, Home, EventOrder, VersionRises, EpochRises, PromiseRises, RegionFailover, MemoryReserved, TenantKnown,
}

// maxLogged bounds the violations of one property that are logged.
const maxLogged = 5

// Monitor counts violations. The zero value is ready to use; a nil Monitor stands
// for one that the whole process shares. It is safe for concurrent use.
type Monitor struct {
	// Log may be nil; then violations are only counted.
	Log *log.Logger
	// Tolerant keeps violations from panicking in tests, for those that cause one.
	Tolerant bool
	counts   [16]atomic.Int64
}

// defaultMonitor stands in for a nil Monitor.
var defaultMonitor Monitor

// Violated counts a violation of the property; format and facts describe it as
// for fmt.Sprintf.
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

// Count returns how often the property was violated.
func (m *Monitor) Count(name Name) int64 {
	if m == nil {
		m = &defaultMonitor
	}
	return m.counts[indexOf(name)].Load()
}

// indexOf returns the position of the name in Names; it panics for any other.
func indexOf(name Name) int {
	index := slices.Index(Names, name)
	if index < 0 {
		panic("invariant: " + string(name) + " is not in the list of names")
	}
	return index
}

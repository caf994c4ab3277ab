package usage

import (
	"math"
	"slices"
	"sync"
	"time"

	"onyxwell/base/ids"
)

// maxWindows is how many undecided windows a router keeps: older ones are past their
// horizon and are not reported.
const maxWindows = 24

// closeDelay is for how long after the end of a window a router may still count in it.
const closeDelay = 100 * time.Millisecond

// AllWindows is a Through of a router that counts no more.
const AllWindows = math.MaxInt64

// Meter counts the requests of one router that runners began. It is safe for concurrent
// use.
type Meter struct {
	window time.Duration
	// now returns the agreed time.
	now func() time.Duration

	mu      sync.Mutex
	windows counts
	decided int64
	// closed is the last window that a report has closed: it is counted in no more, also
	// where the agreed time steps back.
	closed    int64
	allClosed bool
}

// NewMeter returns a Meter of windows of that length.
func NewMeter(window time.Duration, now func() time.Duration) *Meter {
	return &Meter{window: window, now: now, windows: counts{}}
}

// CountRequest counts a request of a tenant that a runner began age ago.
func (m *Meter) CountRequest(tenant ids.Tenant, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := max(int64((m.now()-age)/m.window), m.closed+1)
	m.windows.tenantCounts(window)[tenant]++
}

// Report returns the counts of all windows that are not decided.
func (m *Meter) Report() RouterReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = max(m.closed, int64((m.now()-closeDelay)/m.window)-1)
	report := RouterReport{Through: m.closed}
	if m.allClosed {
		report.Through = AllWindows
	}
	m.windows.dropThrough(max(m.decided, m.closed-maxWindows))
	report.Windows = m.windows.toMessage()
	return report
}

// newWindowCounts returns the counts of a window in the order of tenants' names.
func newWindowCounts(window int64, byTenant map[ids.Tenant]int64) WindowCounts {
	result := WindowCounts{Window: window}
	for tenant := range byTenant {
		result.Tenants = append(result.Tenants, tenant)
	}
	slices.Sort(result.Tenants)
	for _, tenant := range result.Tenants {
		result.Counts = append(result.Counts, byTenant[tenant])
	}
	return result
}

// DropDecided forgets the windows up to one.
func (m *Meter) DropDecided(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decided = max(m.decided, window)
}

// CloseAllWindows has the next report close all windows: the router serves no more.
func (m *Meter) CloseAllWindows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allClosed = true
}

// UntilReport returns how long to wait for the next report: the interval, or less where
// a window is closed before.
func (m *Meter) UntilReport(interval time.Duration) time.Duration {
	now := m.now()
	closesAt := (now-closeDelay)/m.window*m.window + m.window + closeDelay
	return min(interval, closesAt-now+time.Millisecond)
}

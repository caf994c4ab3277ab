package usage

import (
	"math"
	"slices"
	"sync"
	"time"

	"onyxwell/base/ids"
)

// maxWindows is how many undecided windows a router keeps, and of how many windows a controller
// keeps copies. Older ones are beyond the horizon (horizonWindows) and are not reported.
const maxWindows = 24

// closeDelay is how long after its end a window stays open: a router may still count
// requests in it.
const closeDelay = 100 * time.Millisecond

// AllWindows is the value of Through that closes all windows: the router counts no more
// requests.
const AllWindows = math.MaxInt64

// Meter counts the requests of one router that runners started. It is safe for concurrent
// use.
type Meter struct {
	window time.Duration
	// now returns the synchronized time since the Unix epoch.
	now func() time.Duration

	mu      sync.Mutex
	windows counts
	decided int64
	// closed is the last window that a report has closed. It gets no further counts, even if
	// the synchronized time is set back.
	closed    int64
	allClosed bool
}

// NewMeter returns a Meter without counts for windows of the given length.
func NewMeter(window time.Duration, now func() time.Duration) *Meter {
	return &Meter{window: window, now: now, windows: counts{}}
}

// CountRequest counts a request of a tenant that a runner started age ago.
func (m *Meter) CountRequest(tenant ids.Tenant, age time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	window := max(int64((m.now()-age)/m.window), m.closed+1)
	m.windows.tenantCounts(window)[tenant]++
}

// Report closes the windows that have ended and returns the counts of all undecided windows.
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

// newWindowCounts returns the counts of a window, sorted by tenant.
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

// DropDecided has the next report drop all windows up to window, which are decided.
func (m *Meter) DropDecided(window int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decided = max(m.decided, window)
}

// CloseAllWindows has the next report close all windows. It is called when the router stops
// serving.
func (m *Meter) CloseAllWindows() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.allClosed = true
}

// UntilReport returns the time until the next report: the interval, or less if a window
// closes earlier.
func (m *Meter) UntilReport(interval time.Duration) time.Duration {
	now := m.now()
	closesAt := (now-closeDelay)/m.window*m.window + m.window + closeDelay
	return min(interval, closesAt-now+time.Millisecond)
}

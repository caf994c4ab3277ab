// Package scale runs a small estate on loopback addresses: real controllers and
// routers as processes beside hollow daemons, which have the real libraries of
// members, news and reports but no request path and share one process. It
// measures what each daemon's control costs as one size grows.
package scale

import (
	"errors"
	"fmt"

	"onyxwell/base/clock"
	"onyxwell/deployment"
)

// Size is one estate to run.
type Size struct {
	Regions int `json:"regions"`
	// Zones is how many zones each region has.
	Zones int `json:"zones_of_a_region"`
	// Hollow is how many hollow daemons each zone has, Routers how many real ones.
	Hollow  int `json:"hollow_of_a_zone"`
	Routers int `json:"routers_of_a_zone"`
	Runners int `json:"runners"`
	Routes  int `json:"routes"`
	Tenants int `json:"tenants"`
	// ChangesPerS is how many configuration changes the operator sends a second.
	ChangesPerS float64 `json:"changes_per_s"`
	// Warm is the time before anything is measured, Span that which is.
	Warm clock.Span `json:"warm_ns"`
	Span clock.Span `json:"span_ns"`
}

// Bounds of what one run may take of a machine.
const (
	mostHollow    = 800
	mostProcesses = 200
	mostRunners   = 4000
	mostRoutes    = 5000
	mostSpan      = 5 * 60 * clock.Second
	// hollowKB and processKB are what a daemon is reckoned to take at most, before
	// anything was measured.
	hollowKB  = 3 << 10
	processKB = 40 << 10
)

// ZoneCount is how many zones there are.
//
// Example:
//
//	fmt.Println(size.ZoneCount())
func (size Size) ZoneCount() int { return size.Regions * size.Zones }

// Daemons is how many daemons there are of all kinds.
//
// Example:
//
//	perDaemon := sum / float64(size.Daemons())
func (size Size) Daemons() int { return size.ZoneCount() * (size.Hollow + size.Routers + 1) }

// layout is where the daemons of this size stand.
func (size Size) layout() deployment.Layout {
	return deployment.Layout{Regions: size.Regions, Zones: size.Zones, Routers: size.Routers, Subnet: 20, GraceS: 3, MemoryMB: 184}
}

type rule struct {
	holds func(Size) bool
	text  string
}

var rules = []rule{
	{func(size Size) bool { return size.Regions > 0 && size.Zones > 0 && size.ZoneCount() <= 100 }, "1 to 100 zones are wanted"},
	{func(size Size) bool { return size.Hollow >= 0 && size.ZoneCount()*size.Hollow <= mostHollow }, fmt.Sprintf("at most %d hollow daemons", mostHollow)},
	{func(size Size) bool { return size.Routers >= 0 && size.ZoneCount()*(size.Routers+1) <= mostProcesses }, fmt.Sprintf("at most %d processes", mostProcesses)},
	{func(size Size) bool { return size.Runners > 0 && size.Runners <= mostRunners }, fmt.Sprintf("1 to %d runners", mostRunners)},
	{func(size Size) bool { return size.Routes > 0 && size.Routes <= mostRoutes }, fmt.Sprintf("1 to %d routes", mostRoutes)},
	{func(size Size) bool { return size.Tenants >= 0 && size.Tenants <= 100000 }, "0 to 100000 tenants"},
	{func(size Size) bool { return size.ChangesPerS >= 0 && size.ChangesPerS <= 20 }, "0 to 20 changes a second"},
	{func(size Size) bool { return size.Warm > 0 && size.Span > 0 && size.Warm+size.Span <= mostSpan }, "a time to warm up and to measure, five minutes together at most"},
}

// Check names all that does not fit, before anything starts: bounds of the run
// itself, and half of the machine's memory.
//
// Example:
//
//	if err := size.Check(memoryKB); err != nil { stop(err) }
func (size Size) Check(memoryKB int64) error {
	var found []error
	for _, rule := range rules {
		if !rule.holds(size) {
			found = append(found, errors.New(rule.text))
		}
	}
	needed := int64(size.ZoneCount()*size.Hollow*hollowKB + size.ZoneCount()*(size.Routers+1)*processKB)
	if memoryKB > 0 && needed > memoryKB/2 {
		found = append(found, fmt.Errorf("%d MB of memory may be needed, over half of the machine's %d MB", needed>>10, memoryKB>>10))
	}
	return errors.Join(found...)
}

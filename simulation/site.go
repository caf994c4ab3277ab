package simulation

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// Location is a zone with its region.
type Location struct {
	Zone   ids.Zone
	Region ids.Region
}

// Site is a deployment: a controller in each location, some routers, the latencies
// of links and disks, and what the nodes' settings say.
type Site struct {
	Name      string
	Locations []Location
	// Routers is how many machines run a router, spread over the locations.
	Routers int
	// The latencies are those of a message within a region, of one between two
	// regions, and of a disk's sync.
	IntraRegionLatency, InterRegionLatency, SyncLatency time.Duration
	// MaxLosses is how many machines may be lost at a time.
	MaxLosses int
	Bounds    settings.Bounds
}

// Sites holds the deployments by name: with three controllers of which one may be
// lost, and with five, six and nine of which two may.
var Sites = map[string]Site{
	"three": {Name: "three", Locations: spreadLocations(3, 3), Routers: 2, IntraRegionLatency: time.Millisecond, InterRegionLatency: 35 * time.Millisecond, SyncLatency: 2 * time.Millisecond, MaxLosses: 1, Bounds: threeControllerBounds},
	"close": {Name: "close", Locations: spreadLocations(3, 3), Routers: 2, IntraRegionLatency: time.Millisecond, InterRegionLatency: 12 * time.Millisecond, SyncLatency: 5 * time.Millisecond, MaxLosses: 1, Bounds: threeControllerBounds},
	"five":  {Name: "five", Locations: spreadLocations(5, 5), Routers: 2, IntraRegionLatency: time.Millisecond, InterRegionLatency: 12 * time.Millisecond, SyncLatency: 5 * time.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
	"six":   {Name: "six", Locations: spreadLocations(6, 3), Routers: 2, IntraRegionLatency: 2 * time.Millisecond, InterRegionLatency: 35 * time.Millisecond, SyncLatency: 2 * time.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
	"nine":  {Name: "nine", Locations: spreadLocations(9, 3), Routers: 2, IntraRegionLatency: 2 * time.Millisecond, InterRegionLatency: 12 * time.Millisecond, SyncLatency: 5 * time.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
}

// quotaSlack is what may run beyond a quota: a fault takes half of the two routers, so
// it is that of a deployment with large requests.
const quotaSlack = 150

var threeControllerBounds = settings.Bounds{
	SeedLagS: 3, InTouchMS: 4000, AckWithinMS: 5000, CatchUpS: 4, DrainMS: 4000, GraceS: 8, ApplyWithinMS: 3000, DowngradeMS: 250,
	StretchMS: 6000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 60, QuotaWindowS: 8, QuotaExcess: 0.1, QuotaSlack: quotaSlack, EvacuateMS: 5000, RecoveryS: 12,
}

var largerSiteBounds = settings.Bounds{
	SeedLagS: 3, InTouchMS: 6000, AckWithinMS: 8000, CatchUpS: 6, DrainMS: 5000, GraceS: 8, ApplyWithinMS: 4000, DowngradeMS: 250,
	StretchMS: 10000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 600, QuotaWindowS: 8, QuotaExcess: 0.1, QuotaSlack: quotaSlack, EvacuateMS: 5000, RecoveryS: 15,
}

// spreadLocations returns that many zones, assigned to the regions in turn.
func spreadLocations(zones int, regions int) []Location {
	var locations []Location
	for index := range zones {
		locations = append(locations, Location{Zone: ids.Zone(fmt.Sprintf("zone-%d", index)), Region: ids.Region(fmt.Sprintf("region-%d", index%regions))})
	}
	return locations
}

// Ports of every machine.
const (
	internalPort  = 7700
	directoryPort = 8164
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
)

const (
	// clientHost is the host that clients call from.
	clientHost = "operators"
	// platformAddress is the address of the platform's list of runners.
	platformAddress ids.Address = "10.255.0.1:80"
)

// nodeSettings returns the settings of a machine's next process.
func (c *Cluster) nodeSettings(machine *Machine, first bool) *settings.Settings {
	site := c.options.Site
	node := &settings.Settings{
		NodeName: machine.name, IP: machine.ip, Zone: machine.zone, Region: machine.region, PortRange: []int{internalPort, internalPort + 9},
		FirstStart: first, Counted: !machine.isRouter, DataDir: "/data", Zones: map[ids.Zone]ids.Region{},
		Limits:   settings.Limits{MemoryMB: 184, OpenFiles: 4100, LinkMbps: 100, DiskMB: 64},
		Tolerate: settings.Tolerance{Machines: site.MaxLosses, Zones: 1, Regions: 1}, Bounds: site.Bounds,
		Platform: settings.Platform{Address: platformAddress, RatePerS: 42, MaxLagMS: 800},
	}
	for _, location := range site.Locations {
		node.Zones[location.Zone] = location.Region
	}
	for _, seed := range c.currentSeeds() {
		node.Seeds = append(node.Seeds, seed.address(controlPort))
	}
	node.Listen = map[string]ids.Address{"control": machine.address(controlPort), "directory": machine.address(directoryPort)}
	if machine.isRouter {
		node.Listen = map[string]ids.Address{"front": machine.address(frontPort), "readiness": machine.address(readinessPort)}
	}
	return node
}

func (m *Machine) address(port int) ids.Address {
	return ids.Address(m.ip + ":" + strconv.Itoa(port))
}

// currentSeeds returns the seeds of settings that are written now: other
// controllers take the places of seeds that were removed.
func (c *Cluster) currentSeeds() []*Machine {
	var seeds []*Machine
	for _, machine := range append(slices.Clone(c.seedMachines), c.machines...) {
		if !machine.removed && !machine.isRouter && !slices.Contains(seeds, machine) && len(seeds) < len(c.seedMachines) {
			seeds = append(seeds, machine)
		}
	}
	return seeds
}

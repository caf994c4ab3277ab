package simulation

import (
	"fmt"
	"slices"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// Location is a zone with its region.
type Location struct {
	Zone   ids.Zone
	Region ids.Region
}

// Site is a deployment as the simulation plays it: a controller a zone, some
// routers, how far apart they are and what the boot files say.
type Site struct {
	Name      string
	Locations []Location
	// Routers is how many machines carry requests, spread over the zones.
	Routers int
	// IntraRegionLatency is the way within a region, Far between two; Sync is how long a disk
	// takes for a sync.
	IntraRegionLatency, InterRegionLatency, SyncLatency clock.Span
	// MaxLosses is how many machines may be lost at one time.
	MaxLosses int
	Bounds    settings.Bounds
}

// Sites are the deployments that can be named: with three controllers of which
// one may be lost, and with five, six and nine of which two may.
var Sites = map[string]Site{
	"three": {Name: "three", Locations: spreadLocations(3, 3), Routers: 2, IntraRegionLatency: clock.Millisecond, InterRegionLatency: 35 * clock.Millisecond, SyncLatency: 2 * clock.Millisecond, MaxLosses: 1, Bounds: threeControllerBounds},
	"close": {Name: "close", Locations: spreadLocations(3, 3), Routers: 2, IntraRegionLatency: clock.Millisecond, InterRegionLatency: 12 * clock.Millisecond, SyncLatency: 5 * clock.Millisecond, MaxLosses: 1, Bounds: threeControllerBounds},
	"five":  {Name: "five", Locations: spreadLocations(5, 5), Routers: 2, IntraRegionLatency: clock.Millisecond, InterRegionLatency: 12 * clock.Millisecond, SyncLatency: 5 * clock.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
	"six":   {Name: "six", Locations: spreadLocations(6, 3), Routers: 2, IntraRegionLatency: 2 * clock.Millisecond, InterRegionLatency: 35 * clock.Millisecond, SyncLatency: 2 * clock.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
	"nine":  {Name: "nine", Locations: spreadLocations(9, 3), Routers: 2, IntraRegionLatency: 2 * clock.Millisecond, InterRegionLatency: 12 * clock.Millisecond, SyncLatency: 5 * clock.Millisecond, MaxLosses: 2, Bounds: largerSiteBounds},
}

var threeControllerBounds = settings.Bounds{
	SeedLagS: 3, InTouchMS: 4000, AckWithinMS: 5000, CatchUpS: 4, DrainMS: 4000, GraceS: 8, ApplyWithinMS: 3000, DowngradeMS: 250,
	StretchMS: 6000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 60, EvacuateMS: 5000, RecoveryS: 12,
}

var largerSiteBounds = settings.Bounds{
	SeedLagS: 3, InTouchMS: 6000, AckWithinMS: 8000, CatchUpS: 6, DrainMS: 5000, GraceS: 8, ApplyWithinMS: 4000, DowngradeMS: 250,
	StretchMS: 10000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 600, EvacuateMS: 5000, RecoveryS: 15,
}

func spreadLocations(zones int, regions int) []Location {
	var made []Location
	for index := range zones {
		made = append(made, Location{Zone: ids.Zone(fmt.Sprintf("zone-%d", index)), Region: ids.Region(fmt.Sprintf("region-%d", index%regions))})
	}
	return made
}

// Ports of every machine.
const (
	internalPort  = 7700
	controlPort   = 8166
	directoryPort = 8164
	platformHost  = "platform"
	clientHost    = "operators"
)

const platformAddress ids.Address = "10.255.0.1:80"

// nodeSettings is the boot file of a machine's next process.
func (c *Cluster) nodeSettings(machine *Machine, first bool) *settings.Settings {
	listen := func(port int) ids.Address { return ids.Address(machine.ip + ":" + strconv.Itoa(port)) }
	made := &settings.Settings{
		NodeName: machine.name, IP: machine.ip, Zone: machine.zone, Region: machine.region, PortRange: []int{internalPort, internalPort + 9},
		FirstStart: first, Counted: !machine.isRouter, DataDir: "/data", Zones: map[ids.Zone]ids.Region{},
		Limits:   settings.Limits{MemoryMB: 184, OpenFiles: 4100, LinkMbps: 100, DiskMB: 64},
		Tolerate: settings.Tolerance{Machines: c.options.Site.MaxLosses, Zones: 1, Regions: 1}, Bounds: c.options.Site.Bounds,
		Platform: settings.Platform{Address: platformAddress, RatePerS: 42, MaxLagMS: 800},
	}
	for _, place := range c.options.Site.Locations {
		made.Zones[place.Zone] = place.Region
	}
	for _, seed := range c.currentSeeds() {
		made.Seeds = append(made.Seeds, ids.Address(seed.ip+":"+strconv.Itoa(controlPort)))
	}
	made.Listen = map[string]ids.Address{"control": listen(controlPort), "directory": listen(directoryPort)}
	if machine.isRouter {
		made.Listen = map[string]ids.Address{"front": listen(8161), "readiness": listen(8167)}
	}
	return made
}

// currentSeeds are the seeds of a boot file that is written now: those that are gone
// are no longer in the operator's list, and others take their places.
func (c *Cluster) currentSeeds() []*Machine {
	here := func(machine *Machine) bool { return !machine.removed && !machine.isRouter }
	var found []*Machine
	for _, machine := range append(slices.Clone(c.seedMachines), c.machines...) {
		if here(machine) && !slices.Contains(found, machine) && len(found) < len(c.seedMachines) {
			found = append(found, machine)
		}
	}
	return found
}

// resolve finds the machine of an address; that of the platform has none.
func (c *Cluster) resolve(address ids.Address) (*Machine, string) {
	if address == platformAddress {
		return nil, platformHost
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machinesByIP[hostOf(address)], ""
}

// baseLatency is the shortest way from a named place to a machine.
func (c *Cluster) baseLatency(from string, target *Machine) clock.Span {
	site := c.options.Site
	c.mu.Lock()
	source := c.machinesByName[from]
	c.mu.Unlock()
	if source == nil || target == nil {
		return site.IntraRegionLatency
	}
	if source.region == target.region {
		return site.IntraRegionLatency
	}
	return site.InterRegionLatency
}

// link is the state of the way from one named place to another.
type link struct {
	cut    bool
	queued []func()
}

func (c *Cluster) link(from string, to string) *link {
	key := [2]string{from, to}
	if c.links[key] == nil {
		c.links[key] = &link{}
	}
	return c.links[key]
}

// cutLink closes a way, heal opens it and lets through what it held up.
func (c *Cluster) cutLink(from string, to string) { c.link(from, to).cut = true }

func (c *Cluster) healLink(from string, to string) {
	opened := c.link(from, to)
	held := opened.queued
	opened.cut, opened.queued = false, nil
	for index, act := range held {
		c.after(c.drawBetween(fmt.Sprint("heal ", from, to, index), 0, 20*clock.Millisecond), act)
	}
}

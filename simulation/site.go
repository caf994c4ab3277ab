package simulation

import (
	"fmt"
	"slices"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// Place is a zone with its region.
type Place struct {
	Zone   ids.Zone
	Region ids.Region
}

// Site is a deployment as the simulation plays it: a controller a zone, some
// routers, how far apart they are and what the boot files say.
type Site struct {
	Name   string
	Places []Place
	// Routers is how many machines carry requests, spread over the zones.
	Routers int
	// Near is the way within a region, Far between two; Sync is how long a disk
	// takes for a sync.
	Near, Far, Sync clock.Span
	// Losses is how many machines may be lost at one time.
	Losses int
	Bounds settings.Bounds
}

// Sites are the deployments that can be named: with three controllers of which
// one may be lost, and with five, six and nine of which two may.
var Sites = map[string]Site{
	"three": {Name: "three", Places: places(3, 3), Routers: 2, Near: clock.Millisecond, Far: 35 * clock.Millisecond, Sync: 2 * clock.Millisecond, Losses: 1, Bounds: small},
	"close": {Name: "close", Places: places(3, 3), Routers: 2, Near: clock.Millisecond, Far: 12 * clock.Millisecond, Sync: 5 * clock.Millisecond, Losses: 1, Bounds: small},
	"five":  {Name: "five", Places: places(5, 5), Routers: 2, Near: clock.Millisecond, Far: 12 * clock.Millisecond, Sync: 5 * clock.Millisecond, Losses: 2, Bounds: grown},
	"six":   {Name: "six", Places: places(6, 3), Routers: 2, Near: 2 * clock.Millisecond, Far: 35 * clock.Millisecond, Sync: 2 * clock.Millisecond, Losses: 2, Bounds: grown},
	"nine":  {Name: "nine", Places: places(9, 3), Routers: 2, Near: 2 * clock.Millisecond, Far: 12 * clock.Millisecond, Sync: 5 * clock.Millisecond, Losses: 2, Bounds: grown},
}

var small = settings.Bounds{
	SeedLagS: 3, InTouchMS: 4000, AckWithinMS: 5000, CatchUpS: 4, DrainMS: 4000, GraceS: 8, ApplyWithinMS: 3000, DowngradeMS: 250,
	StretchMS: 6000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 60, EvacuateMS: 5000, RecoveryS: 12,
}

var grown = settings.Bounds{
	SeedLagS: 3, InTouchMS: 6000, AckWithinMS: 8000, CatchUpS: 6, DrainMS: 5000, GraceS: 8, ApplyWithinMS: 4000, DowngradeMS: 250,
	StretchMS: 10000, RetryRatio: 0.2, RetryWindowS: 10, RetryExtra: 600, EvacuateMS: 5000, RecoveryS: 15,
}

func places(zones int, regions int) []Place {
	var made []Place
	for index := range zones {
		made = append(made, Place{Zone: ids.Zone(fmt.Sprintf("zone-%d", index)), Region: ids.Region(fmt.Sprintf("region-%d", index%regions))})
	}
	return made
}

// Ports of every machine.
const (
	innerPort   = 7700
	controlPort = 8166
	lookupPort  = 8164
	platform    = "platform"
	operators   = "operators"
)

const platformAddress ids.Address = "10.255.0.1:80"

// settings is the boot file of a machine's next process.
func (w *World) settings(machine *Machine, first bool) *settings.Settings {
	listen := func(port int) ids.Address { return ids.Address(machine.ip + ":" + strconv.Itoa(port)) }
	made := &settings.Settings{
		NodeName: machine.name, IP: machine.ip, Zone: machine.zone, Region: machine.region, PortRange: []int{innerPort, innerPort + 9},
		FirstStart: first, Counted: !machine.carries, DataDir: "/data", Zones: map[ids.Zone]ids.Region{},
		Limits:   settings.Limits{MemoryMB: 184, OpenFiles: 4100, LinkMbps: 100, DiskMB: 64},
		Tolerate: settings.Tolerance{Machines: w.options.Site.Losses, Zones: 1, Regions: 1}, Bounds: w.options.Site.Bounds,
		Platform: settings.Platform{Address: platformAddress, RatePerS: 42, MaxLagMS: 800},
	}
	for _, place := range w.options.Site.Places {
		made.Zones[place.Zone] = place.Region
	}
	for _, seed := range w.seedsNow() {
		made.Seeds = append(made.Seeds, ids.Address(seed.ip+":"+strconv.Itoa(controlPort)))
	}
	made.Listen = map[string]ids.Address{"control": listen(controlPort), "directory": listen(lookupPort)}
	if machine.carries {
		made.Listen = map[string]ids.Address{"front": listen(8161), "readiness": listen(8167)}
	}
	return made
}

// seedsNow are the seeds of a boot file that is written now: those that are gone
// are no longer in the operator's list, and others take their places.
func (w *World) seedsNow() []*Machine {
	here := func(machine *Machine) bool { return !machine.gone && !machine.carries }
	var found []*Machine
	for _, machine := range append(slices.Clone(w.seeds), w.machines...) {
		if here(machine) && !slices.Contains(found, machine) && len(found) < len(w.seeds) {
			found = append(found, machine)
		}
	}
	return found
}

// at finds the machine of an address; that of the platform has none.
func (w *World) at(address ids.Address) (*Machine, string) {
	if address == platformAddress {
		return nil, platform
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[hostOf(address)], ""
}

// distance is the shortest way from a named place to a machine.
func (w *World) distance(from string, target *Machine) clock.Span {
	site := w.options.Site
	w.mu.Lock()
	source := w.named[from]
	w.mu.Unlock()
	if source == nil || target == nil {
		return site.Near
	}
	if source.region == target.region {
		return site.Near
	}
	return site.Far
}

// link is the state of the way from one named place to another.
type link struct {
	cut  bool
	held []func()
}

func (w *World) link(from string, to string) *link {
	key := [2]string{from, to}
	if w.links[key] == nil {
		w.links[key] = &link{}
	}
	return w.links[key]
}

// cut closes a way, heal opens it and lets through what it held up.
func (w *World) cut(from string, to string) { w.link(from, to).cut = true }

func (w *World) heal(from string, to string) {
	opened := w.link(from, to)
	held := opened.held
	opened.cut, opened.held = false, nil
	for index, act := range held {
		w.after(w.between(fmt.Sprint("heal ", from, to, index), 0, 20*clock.Millisecond), act)
	}
}

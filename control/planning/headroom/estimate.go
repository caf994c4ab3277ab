package headroom

import (
	"sort"

	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// Runner is one runner as it stands.
type Runner struct {
	ID      ids.RunnerID
	Service ids.Service
	Region  ids.Region
	Slots   float64
	// Standing is ready, cold, draining, emptied or resting; only ready runners
	// count for room.
	Standing string
	// UnitsPerS is the work that routers sent it lately.
	UnitsPerS float64
}

// Ready is the standing that counts.
const Ready = "ready"

// Routers says how many routers there are and how many take visitors.
type Routers struct {
	Region ids.Region `json:"region"`
	Known  int64      `json:"known"`
	Ready  int64      `json:"ready"`
}

// Family is the room of one service over all regions.
type Family struct {
	Service  ids.Service `json:"service"`
	Enough   bool        `json:"enough_seen"`
	PerS     float64     `json:"load_per_s"`
	Used     float64     `json:"used"`
	Together float64     `json:"room_together"`
	Routes   []Route     `json:"routes"`
	Regions  []Region    `json:"regions"`
}

// Route is the room of one route: by how much it alone may grow, and by how
// much all routes of the family may grow together before this one runs late.
type Route struct {
	Name     string  `json:"name"`
	GoalMS   float64 `json:"goal_ms"`
	FirstMS  float64 `json:"first_ms"`
	PerS     float64 `json:"load_per_s"`
	Alone    float64 `json:"room_alone"`
	Together float64 `json:"room_together"`
}

// Region is what a family has in one region, quiet ones too.
type Region struct {
	Region    ids.Region `json:"region"`
	Ready     int64      `json:"ready"`
	Other     int64      `json:"other"`
	Used      float64    `json:"used"`
	UnitsPerS float64    `json:"units_per_s"`
}

// Report is the newest estimate, and on what it rests.
type Report struct {
	Families []Family  `json:"families"`
	Routers  []Routers `json:"routers"`
}

// Seen is all that an estimate is made from. Readings are sums over so many
// seconds.
type Seen struct {
	Seconds  float64
	Spec     *config.Config
	Runners  []Runner
	Readings []Reading
	Routers  []Routers
}

// Estimate works the room of every family out.
func Estimate(seen Seen) Report {
	report := Report{Routers: seen.Routers}
	for _, service := range seen.Spec.Services {
		report.Families = append(report.Families, family(seen, service))
	}
	return report
}

func family(seen Seen, service config.Service) Family {
	made := Family{Service: service.Name, Together: most}
	var readings []Reading
	for _, reading := range seen.Readings {
		if reading.Service == service.Name && reading.Count > 0 {
			readings = append(readings, reading)
		}
	}
	sort.Slice(readings, func(left, right int) bool { return readings[left].Route < readings[right].Route })
	pace, enough := paceOf(seen, service, readings)
	made.Enough = enough
	if !enough {
		made.Together = 0
	}
	made.Regions = regions(seen, service.Name, pace)
	for _, reading := range readings {
		made.PerS += reading.Count / seen.Seconds
	}
	for _, reading := range readings {
		route := routeOf(seen.Spec, reading.Route)
		if route == nil || !enough {
			continue
		}
		load := loadOf(seen, service.Name, route, reading, readings, pace)
		first := reading.FirstMS / reading.Count
		plain := pace.StartMS + pace.UnitMS*reading.Units/reading.Count
		found := Route{Name: route.Name, GoalMS: route.LatencyTargetMS, FirstMS: first, PerS: reading.Count / seen.Seconds}
		found.Alone = Factor(load, route.LatencyTargetMS-plain, false)
		found.Together = Factor(load, route.LatencyTargetMS-plain, true)
		made.Together = min(made.Together, found.Together)
		made.Used = max(made.Used, load.Used)
		made.Routes = append(made.Routes, found)
	}
	return made
}

// paceOf fits the family's pace; one whose requests have no sizes is paced by
// how long its slots are taken.
func paceOf(seen Seen, service config.Service, readings []Reading) (Pace, bool) {
	if service.Engine != nil {
		return FitPace(readings)
	}
	total, slots, count := Reading{}, 0.0, 0.0
	for _, reading := range readings {
		total = total.Plus(reading)
	}
	for _, runner := range seen.Runners {
		if runner.Service == service.Name {
			slots += runner.Slots
			count++
		}
	}
	if total.Count == 0 || slots == 0 {
		return Pace{}, false
	}
	first := total.FirstMS / total.Count
	return Pace{StartMS: first, UnitMS: first / (slots / count)}, true
}

func routeOf(version *config.Config, name string) *config.Route {
	for index := range version.Routes {
		if version.Routes[index].Name == name {
			return &version.Routes[index]
		}
	}
	return nil
}

func regions(seen Seen, service ids.Service, pace Pace) []Region {
	found := map[ids.Region]*Region{}
	for _, runner := range seen.Runners {
		if runner.Service != service {
			continue
		}
		if found[runner.Region] == nil {
			found[runner.Region] = &Region{Region: runner.Region}
		}
		region := found[runner.Region]
		region.UnitsPerS += runner.UnitsPerS
		if runner.Standing == Ready {
			region.Ready++
		} else {
			region.Other++
		}
	}
	var listed []Region
	for _, region := range found {
		region.Used = used(region.UnitsPerS, float64(region.Ready), pace)
		listed = append(listed, *region)
	}
	sort.Slice(listed, func(left, right int) bool { return listed[left].Region < listed[right].Region })
	return listed
}

func used(unitsPerS float64, runners float64, pace Pace) float64 {
	if runners == 0 {
		return 0
	}
	return unitsPerS * pace.UnitMS / 1000 / runners
}

// loadOf is the load of the runners that a route may use: all that stand ready
// where it is at home, whatever they were sent lately. Work that went to
// runners which stand no more has to be borne by the others.
func loadOf(seen Seen, service ids.Service, route *config.Route, own Reading, all []Reading, pace Pace) Load {
	ready, units := 0.0, 0.0
	for _, runner := range seen.Runners {
		if runner.Service != service {
			continue
		}
		if !route.AllowsRegion(runner.Region) {
			continue
		}
		units += runner.UnitsPerS
		if runner.Standing == Ready {
			ready++
		}
	}
	load := Load{Used: used(units, ready, pace), Own: used(own.Units/seen.Seconds, ready, pace)}
	if ready == 0 {
		load.Used, load.Own = 1, 1
	}
	total := Reading{}
	for _, reading := range all {
		total = total.Plus(reading)
	}
	if total.Units > 0 {
		load.RestMS = pace.UnitMS * total.UnitsSquared / total.Units / 2
	}
	return load
}

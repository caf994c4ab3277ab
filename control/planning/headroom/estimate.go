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
	// State is ready, cold, draining, emptied or resting; only ready runners
	// count for room.
	State string
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

// Service is the room of one service over all regions.
type Service struct {
	Service        ids.Service `json:"service"`
	HasData        bool        `json:"enough_seen"`
	LoadPerS       float64     `json:"load_per_s"`
	Utilization    float64     `json:"used"`
	GrowthTogether float64     `json:"room_together"`
	Routes         []Route     `json:"routes"`
	Regions        []Region    `json:"regions"`
}

// Route is the room of one route: by how much it alone may grow, and by how
// much all routes of the family may grow together before this one runs late.
type Route struct {
	Name           string  `json:"name"`
	TargetMS       float64 `json:"goal_ms"`
	FirstTokenMS   float64 `json:"first_ms"`
	LoadPerS       float64 `json:"load_per_s"`
	GrowthAlone    float64 `json:"room_alone"`
	GrowthTogether float64 `json:"room_together"`
}

// Region is what a family has in one region, quiet ones too.
type Region struct {
	Region      ids.Region `json:"region"`
	Ready       int64      `json:"ready"`
	NotReady    int64      `json:"other"`
	Utilization float64    `json:"used"`
	UnitsPerS   float64    `json:"units_per_s"`
}

// Report is the newest estimate, and on what it rests.
type Report struct {
	Services []Service `json:"families"`
	Routers  []Routers `json:"routers"`
}

// Input is all that an estimate is made from. Readings are sums over so many
// seconds.
type Input struct {
	Seconds  float64
	Config   *config.Config
	Runners  []Runner
	Readings []Reading
	Routers  []Routers
}

// Estimate works the room of every family out.
func Estimate(seen Input) Report {
	report := Report{Routers: seen.Routers}
	for _, service := range seen.Config.Services {
		report.Services = append(report.Services, estimateService(seen, service))
	}
	return report
}

func estimateService(seen Input, service config.Service) Service {
	made := Service{Service: service.Name, GrowthTogether: growthCap}
	var readings []Reading
	for _, reading := range seen.Readings {
		if reading.Service == service.Name && reading.Count > 0 {
			readings = append(readings, reading)
		}
	}
	sort.Slice(readings, func(left, right int) bool { return readings[left].Route < readings[right].Route })
	pace, enough := fitModel(seen, service, readings)
	made.HasData = enough
	if !enough {
		made.GrowthTogether = 0
	}
	made.Regions = estimateRegions(seen, service.Name, pace)
	for _, reading := range readings {
		made.LoadPerS += reading.Count / seen.Seconds
	}
	for _, reading := range readings {
		route := findRoute(seen.Config, reading.Route)
		if route == nil || !enough {
			continue
		}
		load := routeLoad(seen, service.Name, route, reading, readings, pace)
		first := reading.FirstTokenMS / reading.Count
		plain := pace.BaseMS + pace.PerUnitMS*reading.Units/reading.Count
		found := Route{Name: route.Name, TargetMS: route.LatencyTargetMS, FirstTokenMS: first, LoadPerS: reading.Count / seen.Seconds}
		found.GrowthAlone = MaxGrowth(load, route.LatencyTargetMS-plain, false)
		found.GrowthTogether = MaxGrowth(load, route.LatencyTargetMS-plain, true)
		made.GrowthTogether = min(made.GrowthTogether, found.GrowthTogether)
		made.Utilization = max(made.Utilization, load.Utilization)
		made.Routes = append(made.Routes, found)
	}
	return made
}

// fitModel fits the family's pace; one whose requests have no sizes is paced by
// how long its slots are taken.
func fitModel(seen Input, service config.Service, readings []Reading) (LatencyModel, bool) {
	if service.Engine != nil {
		return FitLatencyModel(readings)
	}
	total, slots, count := Reading{}, 0.0, 0.0
	for _, reading := range readings {
		total = total.Add(reading)
	}
	for _, runner := range seen.Runners {
		if runner.Service == service.Name {
			slots += runner.Slots
			count++
		}
	}
	if total.Count == 0 || slots == 0 {
		return LatencyModel{}, false
	}
	first := total.FirstTokenMS / total.Count
	return LatencyModel{BaseMS: first, PerUnitMS: first / (slots / count)}, true
}

func findRoute(version *config.Config, name string) *config.Route {
	for index := range version.Routes {
		if version.Routes[index].Name == name {
			return &version.Routes[index]
		}
	}
	return nil
}

func estimateRegions(seen Input, service ids.Service, pace LatencyModel) []Region {
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
		if runner.State == Ready {
			region.Ready++
		} else {
			region.NotReady++
		}
	}
	var listed []Region
	for _, region := range found {
		region.Utilization = utilization(region.UnitsPerS, float64(region.Ready), pace)
		listed = append(listed, *region)
	}
	sort.Slice(listed, func(left, right int) bool { return listed[left].Region < listed[right].Region })
	return listed
}

func utilization(unitsPerS float64, runners float64, pace LatencyModel) float64 {
	if runners == 0 {
		return 0
	}
	return unitsPerS * pace.PerUnitMS / 1000 / runners
}

// routeLoad is the load of the runners that a route may use: all that stand ready
// where it is at home, whatever they were sent lately. Work that went to
// runners which stand no more has to be borne by the others.
func routeLoad(seen Input, service ids.Service, route *config.Route, own Reading, all []Reading, pace LatencyModel) Load {
	ready, units := 0.0, 0.0
	for _, runner := range seen.Runners {
		if runner.Service != service {
			continue
		}
		if !route.AllowsRegion(runner.Region) {
			continue
		}
		units += runner.UnitsPerS
		if runner.State == Ready {
			ready++
		}
	}
	load := Load{Utilization: utilization(units, ready, pace), RouteUtilization: utilization(own.Units/seen.Seconds, ready, pace)}
	if ready == 0 {
		load.Utilization, load.RouteUtilization = 1, 1
	}
	total := Reading{}
	for _, reading := range all {
		total = total.Add(reading)
	}
	if total.Units > 0 {
		load.ResidualMS = pace.PerUnitMS * total.UnitsSquared / total.Units / 2
	}
	return load
}

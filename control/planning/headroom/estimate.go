package headroom

import (
	"cmp"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// StateReady is the State of a runner that can receive requests.
const StateReady = "ready"

// Runner is a runner in the current runner list.
type Runner struct {
	ID      ids.RunnerID
	Service ids.Service
	Region  ids.Region
	// Slots is the number of requests that the runner serves concurrently.
	Slots float64
	// State is StateReady, or the reason why the runner is not ready: cold (warming
	// up), draining, emptied (its zone is evacuated), resting
	// (quarantined) or excluded (its version gets no requests, see control/rollout).
	State string
	// UnitsPerS is the recent rate at which work was sent to the runner.
	UnitsPerS float64
}

// Input holds the measurements and the configuration that an estimate is based on.
type Input struct {
	// Seconds is the time span that Readings cover. It must be positive.
	Seconds  float64
	Config   *config.Config
	Runners  []Runner
	Readings []Reading
	Routers  []RouterCount
}

// Estimate returns the headroom of every service in the configuration.
func Estimate(input Input) Report {
	report := Report{Routers: input.Routers}
	for _, service := range input.Config.Services {
		report.Services = append(report.Services, newEstimator(input, service).estimate())
	}
	return report
}

// estimator estimates the headroom of one service.
type estimator struct {
	service config.Service
	config  *config.Config
	seconds float64
	// runners and readings are those of the service; readings are sorted by route.
	runners  []Runner
	readings []Reading
	total    Reading
	model    LatencyModel
	hasData  bool
}

func newEstimator(input Input, service config.Service) *estimator {
	e := &estimator{service: service, config: input.Config, seconds: input.Seconds}
	for _, runner := range input.Runners {
		if runner.Service == service.Name {
			e.runners = append(e.runners, runner)
		}
	}
	for _, reading := range input.Readings {
		if reading.Service == service.Name && reading.Count > 0 {
			e.readings = append(e.readings, reading)
		}
	}
	slices.SortFunc(e.readings, func(left, right Reading) int { return cmp.Compare(left.Route, right.Route) })
	e.total = sumReadings(e.readings)
	e.model, e.hasData = e.fitModel()
	return e
}

// fitModel fits the latency model. Requests of a service without an engine have no
// prompt length: each counts as one unit and occupies one of the runner's slots, so
// that PerUnitMS is the mean time to first token divided by the slots of a runner.
func (e *estimator) fitModel() (LatencyModel, bool) {
	if e.service.Engine != nil {
		return FitLatencyModel(e.readings)
	}
	slots := 0.0
	for _, runner := range e.runners {
		slots += runner.Slots
	}
	if e.total.Count == 0 || slots == 0 {
		return LatencyModel{}, false
	}
	mean := e.total.FirstTokenMS / e.total.Count
	return LatencyModel{BaseMS: mean, PerUnitMS: mean / (slots / float64(len(e.runners)))}, true
}

func (e *estimator) estimate() Service {
	service := Service{Service: e.service.Name, HasData: e.hasData, Regions: e.summarizeRegions()}
	for _, reading := range e.readings {
		service.RequestsPerS += reading.Count / e.seconds
	}
	if !e.hasData {
		return service
	}
	service.MaxGrowth = growthCap
	for _, reading := range e.readings {
		route := e.findRoute(reading.Route)
		if route == nil {
			continue
		}
		load := e.routeLoad(route, reading)
		growth := e.estimateRoute(route, reading, load)
		service.MaxGrowth = min(service.MaxGrowth, growth.MaxGrowth)
		service.Utilization = max(service.Utilization, load.Utilization)
		service.Routes = append(service.Routes, growth)
	}
	return service
}

// estimateRoute estimates the headroom of one route. The difference between its
// latency target and the mean latency of a request that does not queue is the time
// that requests may spend queueing.
func (e *estimator) estimateRoute(route *config.Route, reading Reading, load Load) Route {
	unqueuedMS := e.model.BaseMS + e.model.PerUnitMS*reading.Units/reading.Count
	queueBudgetMS := route.LatencyTargetMS - unqueuedMS
	return Route{
		Name:           route.Name,
		TargetMS:       route.LatencyTargetMS,
		FirstTokenMS:   reading.FirstTokenMS / reading.Count,
		RequestsPerS:   reading.Count / e.seconds,
		MaxRouteGrowth: load.MaxRouteGrowth(queueBudgetMS),
		MaxGrowth:      load.MaxGrowth(queueBudgetMS),
	}
}

// findRoute returns the route with a name, or nil if the configuration has none.
func (e *estimator) findRoute(name string) *config.Route {
	for index := range e.config.Routes {
		if e.config.Routes[index].Name == name {
			return &e.config.Routes[index]
		}
	}
	return nil
}

// routeLoad returns the load of the runners in the regions that the route allows. It
// includes the work that was sent to runners that are not ready, since the ready
// ones have to take it over.
func (e *estimator) routeLoad(route *config.Route, reading Reading) Load {
	ready, unitsPerS := 0.0, 0.0
	for _, runner := range e.runners {
		if !route.AllowsRegion(runner.Region) {
			continue
		}
		unitsPerS += runner.UnitsPerS
		if runner.State == StateReady {
			ready++
		}
	}
	load := Load{Utilization: 1, RouteUtilization: 1, ResidualMS: e.model.residualMS(e.total)}
	if ready > 0 {
		load.Utilization = e.model.utilization(unitsPerS, ready)
		load.RouteUtilization = e.model.utilization(reading.Units/e.seconds, ready)
	}
	return load
}

// summarizeRegions summarizes each region in which the service has a runner.
func (e *estimator) summarizeRegions() []Region {
	byName := map[ids.Region]*Region{}
	for _, runner := range e.runners {
		region := byName[runner.Region]
		if region == nil {
			region = &Region{Region: runner.Region}
			byName[runner.Region] = region
		}
		region.UnitsPerS += runner.UnitsPerS
		if runner.State == StateReady {
			region.Ready++
		} else {
			region.NotReady++
		}
	}
	var regions []Region
	for _, region := range byName {
		region.Utilization = e.model.utilization(region.UnitsPerS, float64(region.Ready))
		regions = append(regions, *region)
	}
	slices.SortFunc(regions, func(left, right Region) int { return cmp.Compare(left.Region, right.Region) })
	return regions
}

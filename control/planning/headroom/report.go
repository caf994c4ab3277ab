package headroom

import "onyxwell/base/ids"

// ReportKey is the gossip key of the newest Report, which is encoded as JSON.
const ReportKey = "room"

// Report is the headroom of every service.
type Report struct {
	Services []Service     `json:"families"`
	Routers  []RouterCount `json:"routers"`
}

// Service is the headroom of one service over all regions. Growth is given as a
// factor by which the current load can be multiplied.
type Service struct {
	Service ids.Service `json:"service"`
	// HasData is false if the readings do not suffice for an estimate, for example
	// because there are too few requests.
	HasData bool `json:"enough_seen"`
	// RequestsPerS is the rate of requests on all routes.
	RequestsPerS float64 `json:"load_per_s"`
	// Utilization is the highest value, over all Routes, of the utilization of the
	// runners that the route may use.
	Utilization float64 `json:"used"`
	// MaxGrowth is the lowest MaxGrowth of all Routes.
	MaxGrowth float64  `json:"room_together"`
	Routes    []Route  `json:"routes"`
	Regions   []Region `json:"regions"`
}

// Route is the headroom of one route.
type Route struct {
	Name string `json:"name"`
	// TargetMS is the target for the time to first token, FirstTokenMS its mean.
	TargetMS     float64 `json:"goal_ms"`
	FirstTokenMS float64 `json:"first_ms"`
	RequestsPerS float64 `json:"load_per_s"`
	// MaxRouteGrowth is the factor by which the route's own load can grow, MaxGrowth
	// the factor by which the load of all routes of the service can grow, before this
	// route misses its target.
	MaxRouteGrowth float64 `json:"room_alone"`
	MaxGrowth      float64 `json:"room_together"`
}

// Region summarizes the runners of a service in one region.
type Region struct {
	Region ids.Region `json:"region"`
	// Ready and NotReady are numbers of runners.
	Ready       int64   `json:"ready"`
	NotReady    int64   `json:"other"`
	Utilization float64 `json:"used"`
	UnitsPerS   float64 `json:"units_per_s"`
}

// RouterCount holds the number of known routers in a region, and how many of them are
// ready to accept clients.
type RouterCount struct {
	Region ids.Region `json:"region"`
	Known  int64      `json:"known"`
	Ready  int64      `json:"ready"`
}

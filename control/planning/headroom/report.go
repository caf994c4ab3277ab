package headroom

import "onyxwell/base/ids"

// ReportKey is the gossip key of the newest Report, in JSON.
const ReportKey = "room"

// Report is the headroom of every service.
type Report struct {
	Services []Service     `json:"families"`
	Routers  []RouterCount `json:"routers"`
}

// Service is the headroom of one service over all regions. Growth is a factor on
// the present load.
type Service struct {
	Service ids.Service `json:"service"`
	// HasData is false if there are too few readings for an estimate.
	HasData bool `json:"enough_seen"`
	// RequestsPerS is in requests a second.
	RequestsPerS float64 `json:"load_per_s"`
	// Utilization is the highest of the routes'.
	Utilization float64 `json:"used"`
	// MaxGrowth is the lowest of the routes'.
	MaxGrowth float64  `json:"room_together"`
	Routes    []Route  `json:"routes"`
	Regions   []Region `json:"regions"`
}

// Route is the headroom of one route.
type Route struct {
	Name string `json:"name"`
	// TargetMS is the latency target of the first token, FirstTokenMS its mean.
	TargetMS     float64 `json:"goal_ms"`
	FirstTokenMS float64 `json:"first_ms"`
	RequestsPerS float64 `json:"load_per_s"`
	// MaxRouteGrowth is by what factor the route's own load may grow, MaxGrowth
	// by what factor the load of all routes of the service may, before this route
	// misses its target.
	MaxRouteGrowth float64 `json:"room_alone"`
	MaxGrowth      float64 `json:"room_together"`
}

// Region is what a service has in one region.
type Region struct {
	Region ids.Region `json:"region"`
	// Ready and NotReady count the runners.
	Ready       int64   `json:"ready"`
	NotReady    int64   `json:"other"`
	Utilization float64 `json:"used"`
	UnitsPerS   float64 `json:"units_per_s"`
}

// RouterCount counts the routers of a region: those known, and those of them that
// accept clients.
type RouterCount struct {
	Region ids.Region `json:"region"`
	Known  int64      `json:"known"`
	Ready  int64      `json:"ready"`
}

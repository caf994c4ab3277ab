package headroom

import "onyxwell/base/ids"

// Key is the gossip key of the newest Report, in JSON.
const Key = "room"

// Report is the headroom of every service.
type Report struct {
	Services []Service `json:"families"`
	Routers  []Routers `json:"routers"`
}

// Service is the headroom of one service over all regions. Growth is a factor on
// the present load.
type Service struct {
	Service ids.Service `json:"service"`
	// HasData is false if there are too few readings for an estimate.
	HasData bool `json:"enough_seen"`
	// LoadPerS is in requests a second.
	LoadPerS float64 `json:"load_per_s"`
	// Utilization is the highest of the routes'.
	Utilization float64 `json:"used"`
	// GrowthTogether is the lowest of the routes'.
	GrowthTogether float64  `json:"room_together"`
	Routes         []Route  `json:"routes"`
	Regions        []Region `json:"regions"`
}

// Route is the headroom of one route.
type Route struct {
	Name string `json:"name"`
	// TargetMS is the latency target of the first token, FirstTokenMS its mean.
	TargetMS     float64 `json:"goal_ms"`
	FirstTokenMS float64 `json:"first_ms"`
	LoadPerS     float64 `json:"load_per_s"`
	// GrowthAlone is by what factor the route's own load may grow, GrowthTogether
	// by what factor the load of all routes of the service may, before this route
	// misses its target.
	GrowthAlone    float64 `json:"room_alone"`
	GrowthTogether float64 `json:"room_together"`
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

// Routers counts the routers of a region: those known, and those of them that
// accept clients.
type Routers struct {
	Region ids.Region `json:"region"`
	Known  int64      `json:"known"`
	Ready  int64      `json:"ready"`
}

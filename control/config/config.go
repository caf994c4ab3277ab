// Package config reads the operator's configuration: routes, services and limits
// under a rising serial. Package revision checks and changes it.
package config

import (
	"encoding/json"
	"slices"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Key is the key of the spec, in the register and among the news.
const Key = "spec"

// RouteType is the type of a route: what may be repeated, and how it answers.
type RouteType string

// The types of routes.
const (
	Safe      RouteType = "safe"
	Unsafe    RouteType = "unsafe"
	Streaming RouteType = "streaming"
)

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service ids.Service `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says where the requests of a host and path go.
type Route struct {
	Name             string            `json:"name"`
	Host             string            `json:"hostname"`
	PathPrefix       string            `json:"path_prefix"`
	Type             RouteType         `json:"type"`
	TimeoutMS        float64           `json:"give_up_ms"`
	LatencyTargetMS  float64           `json:"goal_ms"`
	Priority         int               `json:"urgency"`
	Service          ids.Service       `json:"service"`
	Services         []WeightedService `json:"shares"`
	MaxAttempts      int               `json:"tries"`
	Sticky           bool              `json:"sticky"`
	Resumable        bool              `json:"resumable"`
	TokenGapTargetMS float64           `json:"gap_goal_ms"`
	HomeRegions      []ids.Region      `json:"home_regions"`
}

// Idempotent tells whether a request may run again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Type == Safe || (r.Type == Streaming && r.Resumable)
}

// AllowsRegion tells whether the route's requests may be served in a region.
func (r *Route) AllowsRegion(region ids.Region) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// LatencyTarget is the time within which an answer earns its full worth.
func (r *Route) LatencyTarget() clock.Span {
	return clock.Span(r.LatencyTargetMS * float64(clock.Millisecond))
}

// WeightedServices gives the services of the route with their weights.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Services) > 0 {
		return r.Services
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Engine is what a model service tells of its runners' engines.
type Engine struct {
	Capacity    int     `json:"capacity"`
	CacheTokens float64 `json:"cache_tokens"`
	Stride      int     `json:"stride"`
}

// Service is a set of like runners.
type Service struct {
	Name                ids.Service `json:"name"`
	HealthPath          string      `json:"health_path"`
	MaxConnections      int         `json:"max_conns"`
	WarmupSeconds       float64     `json:"warmup_s"`
	WarmupRatePerSecond float64     `json:"cold_per_s"`
	Engine              *Engine     `json:"engine"`
}

// Limits bound what a visitor may send.
type Limits struct {
	MaxHeaderBytes  int64   `json:"max_header_bytes"`
	MaxBodyBytes    int64   `json:"max_body_bytes"`
	HeaderTimeoutMS float64 `json:"header_wait_ms"`
	IdleTimeoutMS   float64 `json:"idle_ms"`
}

// Config is one version of the configuration.
type Config struct {
	Version  ids.Serial `json:"config_version"`
	Routes   []Route    `json:"routes"`
	Services []Service  `json:"services"`
	Limits   Limits     `json:"limits"`

	routesByHost   map[string][]*Route
	servicesByName map[ids.Service]*Service
}

// Parse reads a document that was checked before.
func Parse(document []byte) (*Config, error) {
	read := &Config{}
	if err := json.Unmarshal(document, read); err != nil {
		return nil, err
	}
	read.routesByHost = map[string][]*Route{}
	for index := range read.Routes {
		route := &read.Routes[index]
		host := strings.ToLower(route.Host)
		read.routesByHost[host] = append(read.routesByHost[host], route)
	}
	read.servicesByName = map[ids.Service]*Service{}
	for index := range read.Services {
		read.servicesByName[read.Services[index].Name] = &read.Services[index]
	}
	return read, nil
}

// Match finds the route of a host and path: the longest prefix wins.
func (c *Config) Match(host string, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// Service finds a service by its name; nil where there is none.
func (c *Config) Service(name ids.Service) *Service { return c.servicesByName[name] }

// NormalizeHost gives the host of a Host head, in lower case and without a port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

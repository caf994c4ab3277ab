// Package config is the operator's configuration as routers and controllers read
// it: routes, services and limits under one rising version. A Config is immutable
// once parsed. Package store validates and changes it; here a document is taken
// as valid.
package config

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"onyxwell/base/ids"
)

// Key is the configuration's key in the register and in gossip; it must never
// change.
const Key = "spec"

// RouteType says whether a request that may have run may be sent again.
type RouteType string

// The types of routes. A route without a type counts as Unsafe.
const (
	// Safe requests are idempotent.
	Safe RouteType = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteType = "unsafe"
	// Streaming requests are answered by a stream of events, which is relayed
	// event by event; they are idempotent if the route is also resumable.
	Streaming RouteType = "streaming"
)

// WeightedService is a service with its weight in the split of a route's
// requests.
type WeightedService struct {
	Service ids.Service `json:"service"`
	// Weight is relative to the sum of the route's weights, which is above 0; a
	// service of weight 0 gets no requests.
	Weight float64 `json:"weight"`
}

// Route says how requests of a host and a path prefix are served.
type Route struct {
	// Name identifies the route in changes, metrics and logs; unique, required.
	Name string `json:"name"`
	// Host is matched against the Host header without its port, in any case;
	// required.
	Host string `json:"hostname"`
	// PathPrefix begins and ends with a slash; the longest match wins. Unique for
	// a host; required.
	PathPrefix string    `json:"path_prefix"`
	Type       RouteType `json:"type"`
	// TimeoutMS bounds a request from its arrival to its final answer, in
	// milliseconds; a client may ask for less. Above 0, required.
	TimeoutMS float64 `json:"give_up_ms"`
	// LatencyTargetMS is the latency target of a response, in milliseconds.
	// Admission, suspicion of silent runners, Retry-After and headroom are
	// derived from it. By default 0: no target, and no rejection for long queues.
	LatencyTargetMS float64 `json:"goal_ms"`
	// Priority is sent to runners, bounded to 0 to 9; they serve the lower first.
	// By default 0.
	Priority int `json:"urgency"`
	// Service gets all requests, unless Services is set; one of the two is
	// required.
	Service ids.Service `json:"service"`
	// Services splits the requests at random by weight.
	Services []WeightedService `json:"shares"`
	// MaxAttempts bounds how often one request is sent to runners, retries
	// included. By default 0, which counts as 1.
	MaxAttempts int `json:"tries"`
	// Sticky sends requests that share a prompt prefix to the same runner, for
	// its prefix cache. By default off.
	Sticky bool `json:"sticky"`
	// Resumable lets a stream that broke off be resumed at another runner after
	// its last event. By default off.
	Resumable bool `json:"resumable"`
	// TokenGapTargetMS is the target for the time between two tokens, in
	// milliseconds. It is kept for the operator; nothing acts on it.
	TokenGapTargetMS float64 `json:"gap_goal_ms"`
	// HomeRegions are the regions whose runners may serve the route. By default
	// empty: all regions.
	HomeRegions []ids.Region `json:"home_regions"`
	// Public lets requests without a tenant's key in. By default off.
	Public bool `json:"public"`
}

// Idempotent tells whether a request may be sent again after it may have run.
func (r *Route) Idempotent() bool {
	return r.Type == Safe || (r.Type == Streaming && r.Resumable)
}

// AllowsRegion tells whether runners of a region may serve the route.
func (r *Route) AllowsRegion(region ids.Region) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// LatencyTarget is LatencyTargetMS as a span; 0 if there is no target.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMS * float64(time.Millisecond))
}

// WeightedServices gives the services of the route with their weights; a single
// Service has weight 1.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Services) > 0 {
		return r.Services
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Engine describes the inference engine of a model service's runners. By its
// presence the service's latency model is fitted by the sizes of requests; its
// fields are kept for the operator, and nothing acts on them.
type Engine struct {
	Capacity        int     `json:"capacity"`
	CacheTokens     float64 `json:"cache_tokens"`
	CacheTokenBytes float64 `json:"cache_token_bytes"`
	LinkMbps        float64 `json:"link_mbps"`
	Stride          int     `json:"stride"`
	Models          []Model `json:"models"`
}

// Model is a model that the runners of a service serve.
type Model struct {
	Name string `json:"name"`
}

// ProtocolHTTP1 is the protocol that runners are spoken to in.
const ProtocolHTTP1 = "h1"

// Service is a set of interchangeable runners.
type Service struct {
	// Name identifies the service in routes and changes; unique, required.
	Name ids.Service `json:"name"`
	// HealthPath is the path of a runner's health check.
	HealthPath string `json:"health_path"`
	// MaxConnections bounds the concurrent requests at one runner; every router
	// takes an equal share, of at least 1. By default 0: unbounded.
	MaxConnections int `json:"max_conns"`
	// WarmupSeconds is how long a runner that is new on the endpoint list is in
	// slow start, in seconds. By default 0: as long as the list says.
	WarmupSeconds float64 `json:"warmup_s"`
	// WarmupRatePerSecond bounds the requests that all routers together send to a
	// runner in slow start, per second. By default 0: unbounded.
	WarmupRatePerSecond float64 `json:"cold_per_s"`
	// Protocol is ProtocolHTTP1, the default; a configuration with another is
	// invalid, and so is one with TLS, which routers do not speak.
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
	// Engine is nil for a service that serves no model.
	Engine *Engine `json:"engine"`
	// Scaling is nil for a service whose runners are not ordered.
	Scaling *Scaling `json:"scaling"`
}

// Scaling bounds how many runners of a service are ordered for a zone.
type Scaling struct {
	Min int64 `json:"min"`
	Max int64 `json:"max"`
	// StartupSeconds is after how long an ordered runner serves.
	StartupSeconds float64 `json:"startup_s"`
}

// Clamp returns the size within the bounds that is closest to a wanted one.
func (s Scaling) Clamp(wanted int64) int64 { return min(s.Max, max(s.Min, wanted)) }

// Limits bound what a router accepts from a client.
type Limits struct {
	// MaxHeaderBytes bounds a request's header, in bytes. By default 0: unbounded.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// MaxBodyBytes bounds a request's body, in bytes. By default 0: 1/64 of the
	// router's memory limit.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeoutMS bounds the time for a request's header to arrive, and for
	// the first request of a connection, in milliseconds. By default 0: unbounded.
	HeaderTimeoutMS float64 `json:"header_wait_ms"`
	// IdleTimeoutMS bounds the idle time of a kept connection, and the time for a
	// request's whole body to arrive, in milliseconds. By default 0: unbounded.
	IdleTimeoutMS float64 `json:"idle_ms"`
}

// Config is one version of the configuration.
type Config struct {
	// Version rises with every change; 1 or more, required.
	Version  ids.Version `json:"config_version"`
	Routes   []Route     `json:"routes"`
	Services []Service   `json:"services"`
	Limits   Limits      `json:"limits"`
	// Tenants are nil where the document has no list of them: then keys mean nothing
	// and are passed on as any other header.
	Tenants []Tenant `json:"customers"`

	routesByHost   map[string][]*Route
	servicesByName map[ids.Service]*Service
	tenantsByName  map[ids.Tenant]*Tenant
	tenantsByKey   map[string]*Tenant
}

// Parse reads a document that was validated before; its error is that of
// encoding/json.
func Parse(document []byte) (*Config, error) {
	cfg := &Config{routesByHost: map[string][]*Route{}, servicesByName: map[ids.Service]*Service{}}
	if err := json.Unmarshal(document, cfg); err != nil {
		return nil, err
	}
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		host := strings.ToLower(route.Host)
		cfg.routesByHost[host] = append(cfg.routesByHost[host], route)
	}
	for i := range cfg.Services {
		service := &cfg.Services[i]
		cfg.servicesByName[service.Name] = service
	}
	cfg.indexTenants()
	return cfg, nil
}

// Match finds the route of a host and path by the longest prefix; nil if there is
// none.
func (c *Config) Match(host string, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// Service finds a service by its name; nil if there is none.
func (c *Config) Service(name ids.Service) *Service { return c.servicesByName[name] }

// NormalizeHost gives the host of a Host header in lower case and without a port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

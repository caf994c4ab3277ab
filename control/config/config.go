// Package config holds the operator's configuration as routers and controllers
// read it: routes, services, limits and tenants under one increasing version. A
// Config is immutable once parsed. Package store validates and changes
// configurations; this package assumes that a document is valid.
package config

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"onyxwell/base/ids"
)

// Key is the key of the configuration in the replicated register and in gossip. It
// must never change.
const Key = "spec"

// RouteType determines whether a request that may already have run may be retried.
type RouteType string

// The route types. A route without a type is treated as Unsafe.
const (
	// Safe requests are idempotent.
	Safe RouteType = "safe"
	// Unsafe requests run at most once.
	Unsafe RouteType = "unsafe"
	// Streaming requests are answered with a stream of events, which is relayed
	// event by event. They are idempotent if the route is also resumable.
	Streaming RouteType = "streaming"
)

// WeightedService is a service and its weight among the services of a route.
type WeightedService struct {
	Service ids.Service `json:"service"`
	// Weight is relative to the sum of the route's weights, which is above 0. A
	// service with weight 0 gets no requests.
	Weight float64 `json:"weight"`
}

// Route configures how requests for a host and a path prefix are served.
type Route struct {
	// Name identifies the route in configuration changes, metrics and logs. It is
	// unique and required.
	Name string `json:"name"`
	// Host is compared with the Host header, ignoring the header's port and the
	// case of letters. It is required.
	Host string `json:"hostname"`
	// PathPrefix begins and ends with a slash. The longest match wins. It is
	// required, and unique among the routes of a host.
	PathPrefix string    `json:"path_prefix"`
	Type       RouteType `json:"type"`
	// TimeoutMS limits the time from the arrival of a request to its final
	// response, in milliseconds; a client may ask for less. It is required and
	// above 0.
	TimeoutMS float64 `json:"give_up_ms"`
	// LatencyTargetMS is the target for the latency of a response, in
	// milliseconds. Admission control, the detection of silent runners,
	// Retry-After and headroom are derived from it. The default 0 means no target:
	// requests are not rejected because of long queues.
	LatencyTargetMS float64 `json:"goal_ms"`
	// Priority is sent to runners, clamped to the range 0 to 9. Runners serve lower
	// values first. The default is 0.
	Priority int `json:"urgency"`
	// Service gets all requests unless Services is set. One of the two is required.
	Service ids.Service `json:"service"`
	// Services are the services among which requests are distributed at random, by
	// weight.
	Services []WeightedService `json:"shares"`
	// MaxAttempts limits how many times a request is sent to runners, including
	// retries. The default 0 is treated as 1.
	MaxAttempts int `json:"tries"`
	// Sticky sends requests with the same prompt prefix to the same runner, to use
	// its prefix cache. The default is false.
	Sticky bool `json:"sticky"`
	// Resumable allows an interrupted stream to be resumed on another runner, after
	// the last event that was received. The default is false.
	Resumable bool `json:"resumable"`
	// TokenGapTargetMS is the target for the time between two tokens, in
	// milliseconds. It is accepted and stored, but has no effect.
	TokenGapTargetMS float64 `json:"gap_goal_ms"`
	// HomeRegions are the regions whose runners may serve the route. The default,
	// an empty list, allows all regions.
	HomeRegions []ids.Region `json:"home_regions"`
	// Public accepts requests without an API key of a tenant. The default is false.
	Public bool `json:"public"`
}

// Idempotent reports whether a request may be retried after it may already have
// run.
func (r *Route) Idempotent() bool {
	return r.Type == Safe || (r.Type == Streaming && r.Resumable)
}

// AllowsRegion reports whether runners of the region may serve the route.
func (r *Route) AllowsRegion(region ids.Region) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// LatencyTarget returns LatencyTargetMS as a duration, 0 if there is no target.
func (r *Route) LatencyTarget() time.Duration {
	return time.Duration(r.LatencyTargetMS * float64(time.Millisecond))
}

// WeightedServices returns the services of the route with their weights. If only
// Service is set, its weight is 1.
func (r *Route) WeightedServices() []WeightedService {
	if len(r.Services) > 0 {
		return r.Services
	}
	return []WeightedService{{Service: r.Service, Weight: 1}}
}

// Engine describes the inference engine that the runners of a model service use.
// If it is present, the service's latency model is fitted to request sizes. Its
// fields are accepted and stored, but have no effect.
type Engine struct {
	Capacity        int     `json:"capacity"`
	CacheTokens     float64 `json:"cache_tokens"`
	CacheTokenBytes float64 `json:"cache_token_bytes"`
	LinkMbps        float64 `json:"link_mbps"`
	Stride          int     `json:"stride"`
	Models          []Model `json:"models"`
}

// Model is a model served by the runners of a service.
type Model struct {
	Name string `json:"name"`
}

// ProtocolHTTP1 is the name of HTTP/1.1, the only protocol between routers and
// runners.
const ProtocolHTTP1 = "h1"

// Service is a set of interchangeable runners.
type Service struct {
	// Name identifies the service in routes and configuration changes. It is unique
	// and required.
	Name ids.Service `json:"name"`
	// HealthPath is the URL path of a runner's health check.
	HealthPath string `json:"health_path"`
	// MaxConnections limits the concurrent requests to one runner. Every router uses
	// an equal share of it, at least 1. The default 0 means no limit.
	MaxConnections int `json:"max_conns"`
	// WarmupSeconds is the duration of slow start for a runner that is new on the
	// endpoint list, in seconds. The default 0 uses the duration in the list.
	WarmupSeconds float64 `json:"warmup_s"`
	// WarmupRatePerSecond limits the requests per second that all routers together
	// send to a runner in slow start. The default 0 means no limit.
	WarmupRatePerSecond float64 `json:"cold_per_s"`
	// Protocol is ProtocolHTTP1, the default. A configuration with another protocol
	// is invalid, and so is one with TLS, which routers do not support.
	Protocol string `json:"protocol"`
	TLS      bool   `json:"tls"`
	// Engine is nil if the service does not serve a model.
	Engine *Engine `json:"engine"`
	// Scaling is nil if the number of the service's runners is not managed.
	Scaling *Scaling `json:"scaling"`
}

// Scaling limits the number of runners that are ordered for a service in one zone.
type Scaling struct {
	Min int64 `json:"min"`
	Max int64 `json:"max"`
	// StartupSeconds is the time from ordering a runner until it serves requests, in
	// seconds.
	StartupSeconds float64 `json:"startup_s"`
}

// Clamp returns the size between Min and Max that is closest to wanted.
func (s Scaling) Clamp(wanted int64) int64 { return min(s.Max, max(s.Min, wanted)) }

// Limits restricts what a router accepts from a client.
type Limits struct {
	// MaxHeaderBytes limits the size of a request's header, in bytes. The default 0
	// means no limit.
	MaxHeaderBytes int64 `json:"max_header_bytes"`
	// MaxBodyBytes limits the size of a request's body, in bytes. The default 0 means
	// 1/64 of the router's memory limit.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// HeaderTimeoutMS limits the time for receiving a request's header, and the wait
	// for the first request on a connection, in milliseconds. The default 0 means no
	// limit.
	HeaderTimeoutMS float64 `json:"header_wait_ms"`
	// IdleTimeoutMS limits the idle time of a persistent connection, and the time for
	// receiving a request's whole body, in milliseconds. The default 0 means no limit.
	IdleTimeoutMS float64 `json:"idle_ms"`
}

// Config is one version of the configuration.
type Config struct {
	// Version increases with every change. It is required and at least 1.
	Version  ids.Version `json:"config_version"`
	Routes   []Route     `json:"routes"`
	Services []Service   `json:"services"`
	Limits   Limits      `json:"limits"`
	// Tenants is nil if the document has no list of tenants. Then an API key has no
	// meaning and is forwarded like any other header.
	Tenants []Tenant `json:"customers"`

	routesByHost   map[string][]*Route
	servicesByName map[ids.Service]*Service
	tenantsByName  map[ids.Tenant]*Tenant
	tenantsByKey   map[string]*Tenant
}

// Parse parses a document that has already been validated. Its errors are those of
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

// Match returns the route of the host with the longest prefix that matches the path,
// or nil if there is none.
func (c *Config) Match(host string, path string) *Route {
	var best *Route
	for _, route := range c.routesByHost[NormalizeHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) && (best == nil || len(route.PathPrefix) > len(best.PathPrefix)) {
			best = route
		}
	}
	return best
}

// Service returns the service with the name, or nil if there is none.
func (c *Config) Service(name ids.Service) *Service { return c.servicesByName[name] }

// NormalizeHost returns the host of a Host header in lower case and without the port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

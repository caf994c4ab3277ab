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

// Kind is the type of a route: what may be repeated, and how it answers.
type Kind string

// The types of routes.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Streaming Kind = "streaming"
)

// Share is the part of a route's requests that goes to a service.
type Share struct {
	Service ids.Service `json:"service"`
	Weight  float64     `json:"weight"`
}

// Route says where the requests of a host and path go.
type Route struct {
	Name      string       `json:"name"`
	Host      string       `json:"hostname"`
	Prefix    string       `json:"path_prefix"`
	Kind      Kind         `json:"type"`
	GiveUpMS  float64      `json:"give_up_ms"`
	GoalMS    float64      `json:"goal_ms"`
	Urgency   int          `json:"urgency"`
	Service   ids.Service  `json:"service"`
	Shares    []Share      `json:"shares"`
	Tries     int          `json:"tries"`
	Sticky    bool         `json:"sticky"`
	Resumable bool         `json:"resumable"`
	GapGoalMS float64      `json:"gap_goal_ms"`
	Homes     []ids.Region `json:"home_regions"`
}

// Repeatable tells whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Streaming && r.Resumable)
}

// AtHome tells whether the route's requests may be served in a region.
func (r *Route) AtHome(region ids.Region) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Goal is the time within which an answer earns its full worth.
func (r *Route) Goal() clock.Span {
	return clock.Span(r.GoalMS * float64(clock.Millisecond))
}

// Parts gives the services of the route with their weights.
func (r *Route) Parts() []Share {
	if len(r.Shares) > 0 {
		return r.Shares
	}
	return []Share{{Service: r.Service, Weight: 1}}
}

// Engine is what a model service tells of its runners' engines.
type Engine struct {
	Capacity    int     `json:"capacity"`
	CacheTokens float64 `json:"cache_tokens"`
	Stride      int     `json:"stride"`
}

// Service is a set of like runners.
type Service struct {
	Name           ids.Service `json:"name"`
	HealthPath     string      `json:"health_path"`
	MaxConnections int         `json:"max_conns"`
	WarmupS        float64     `json:"warmup_s"`
	ColdPerS       float64     `json:"cold_per_s"`
	Engine         *Engine     `json:"engine"`
}

// Limits bound what a visitor may send.
type Limits struct {
	MaxHeaderBytes int64   `json:"max_header_bytes"`
	MaxBodyBytes   int64   `json:"max_body_bytes"`
	HeaderWaitMS   float64 `json:"header_wait_ms"`
	IdleMS         float64 `json:"idle_ms"`
}

// Spec is one version of the configuration.
type Spec struct {
	Serial   ids.Serial `json:"config_version"`
	Routes   []Route    `json:"routes"`
	Services []Service  `json:"services"`
	Limits   Limits     `json:"limits"`

	hosts    map[string][]*Route
	services map[ids.Service]*Service
}

// Read reads a document that was checked before.
func Read(document []byte) (*Spec, error) {
	read := &Spec{}
	if err := json.Unmarshal(document, read); err != nil {
		return nil, err
	}
	read.hosts = map[string][]*Route{}
	for index := range read.Routes {
		route := &read.Routes[index]
		host := strings.ToLower(route.Host)
		read.hosts[host] = append(read.hosts[host], route)
	}
	read.services = map[ids.Service]*Service{}
	for index := range read.Services {
		read.services[read.Services[index].Name] = &read.Services[index]
	}
	return read, nil
}

// Match finds the route of a host and path: the longest prefix wins.
func (s *Spec) Match(host string, path string) *Route {
	var best *Route
	for _, route := range s.hosts[HostOnly(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Service finds a service by its name; nil where there is none.
func (s *Spec) Service(name ids.Service) *Service { return s.services[name] }

// HostOnly gives the host of a Host head, in lower case and without a port.
func HostOnly(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

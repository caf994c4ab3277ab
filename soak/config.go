package soak

import (
	"strings"

	"onyxwell/emulator/client"
)

// maxBodyBytes is the body limit of the initial configuration.
const maxBodyBytes = 4194304

// document is a configuration as the admin API takes and returns it.
type document struct {
	Version  int64           `json:"config_version"`
	Routes   []route         `json:"routes"`
	Services []service       `json:"services"`
	Limits   limits          `json:"limits"`
	Tenants  []client.Tenant `json:"customers"`
}

type route struct {
	Name        string   `json:"name"`
	Hostname    string   `json:"hostname"`
	PathPrefix  string   `json:"path_prefix"`
	Type        string   `json:"type"`
	TimeoutMS   int      `json:"give_up_ms"`
	TargetMS    int      `json:"goal_ms"`
	GapTargetMS int      `json:"gap_goal_ms"`
	MaxAttempts int      `json:"tries"`
	Sticky      bool     `json:"sticky"`
	Resumable   bool     `json:"resumable"`
	Service     string   `json:"service"`
	HomeRegions []string `json:"home_regions"`
}

type service struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	Scaling    scaling `json:"scaling"`
}

type scaling struct {
	Min            int     `json:"min"`
	Max            int     `json:"max"`
	StartupSeconds float64 `json:"startup_s"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_wait_ms"`
	IdleTimeoutMS   int `json:"idle_ms"`
}

// patch is a change of a configuration.
type patch struct {
	Version int64        `json:"config_version"`
	Changes patchChanges `json:"changes"`
	Remove  struct{}     `json:"remove"`
}

type patchChanges struct {
	Routes  []route         `json:"routes,omitempty"`
	Tenants []client.Tenant `json:"customers,omitempty"`
}

const streamingType = "streaming"

func newRoute(name string, pathPrefix string, routeType string, service string) route {
	return route{
		Name: name, Hostname: client.Host, PathPrefix: pathPrefix, Type: routeType, TimeoutMS: 5000, TargetMS: 1000, GapTargetMS: 1000, MaxAttempts: 3,
		Sticky: routeType == streamingType, Service: service, HomeRegions: []string{},
	}
}

// initialDocument returns the configuration of version 1: routes of every type to
// every service.
func initialDocument() document {
	doc := document{Version: 1, Tenants: append(client.Tenants(), limitedTenant), Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, name := range serviceNames {
		for _, routeType := range []string{"safe", "unsafe"} {
			doc.Routes = append(doc.Routes, newRoute(name+"-"+routeType, "/"+name+"/"+routeType+"/", routeType, name))
		}
		stream := newRoute(name+"-stream", "/"+name+"/stream/", streamingType, name)
		resumable := newRoute(name+"-resumable", "/"+name+"/resumable/", streamingType, name)
		resumable.Resumable = true
		doc.Routes = append(doc.Routes, stream, resumable)
		doc.Services = append(doc.Services, service{Name: name, HealthPath: "/health", Scaling: scaling{Min: 1, Max: 9, StartupSeconds: 1}})
	}
	doc.Routes = append(doc.Routes, markerRoute(initialID))
	return doc
}

const (
	// initialID is the id of the change that made version 1.
	initialID = "first"
	// The path of the marker route is markerPrefix, the id of the change that made
	// the version, and a slash.
	markerName   = "mark"
	markerPrefix = "/mark/"
)

// markerRoute returns the route that names the change which made a version.
func markerRoute(changeID string) route {
	return newRoute(markerName, markerPrefix+changeID+"/", "safe", serviceNames[0])
}

// changeID returns the id of the change that made the configuration; "" where it
// has no marker route.
func (d document) changeID() string {
	id := ""
	for _, r := range d.Routes {
		if r.Name == markerName {
			id = strings.Trim(strings.TrimPrefix(r.PathPrefix, markerPrefix), "/")
		}
	}
	return id
}

package soak

import "onyxwell/emulator/client"

// maxBodyBytes is the limit of the configuration that a soak begins with.
const maxBodyBytes = 4194304

// route is a route of the configuration as it is sent.
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
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_wait_ms"`
	IdleTimeoutMS   int `json:"idle_ms"`
}

// document is a whole configuration.
type document struct {
	Version  int64     `json:"config_version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type patchChanges struct {
	Routes []route `json:"routes"`
}

// patch is a change of a configuration.
type patch struct {
	Version int64        `json:"config_version"`
	Changes patchChanges `json:"changes"`
	Remove  struct{}     `json:"remove"`
}

func newRoute(name string, prefix string, kind string, service string) route {
	return route{
		Name: name, Hostname: client.Host, PathPrefix: prefix, Type: kind, TimeoutMS: 5000, TargetMS: 1000, GapTargetMS: 1000, MaxAttempts: 3,
		Sticky: kind == "streaming", Service: service, HomeRegions: []string{},
	}
}

func initialDocument() document {
	made := document{Version: 1, Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBodyBytes, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000}}
	for _, name := range serviceNames {
		for _, kind := range []string{"safe", "unsafe"} {
			made.Routes = append(made.Routes, newRoute(name+"-"+kind, "/"+name+"/"+kind+"/", kind, name))
		}
		stream := newRoute(name+"-stream", "/"+name+"/stream/", "streaming", name)
		again := newRoute(name+"-resumable", "/"+name+"/resumable/", "streaming", name)
		again.Resumable = true
		made.Routes = append(made.Routes, stream, again)
		made.Services = append(made.Services, service{Name: name, HealthPath: "/health"})
	}
	made.Routes = append(made.Routes, markerRoute("first"))
	return made
}

// markerPrefix begins the path of the route by which a version is known again.
const markerPrefix = "/mark/"

// markerRoute is the route that names the change which made a version.
func markerRoute(id string) route {
	return newRoute("mark", markerPrefix+id+"/", "safe", serviceNames[0])
}

package soak

import "onyxwell/emulator/client"

// maxBodyBytes is the limit of the configuration that a soak begins with.
const maxBodyBytes = 4194304

// route is a route of the configuration as it is sent.
type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"hostname"`
	Prefix    string   `json:"path_prefix"`
	Kind      string   `json:"type"`
	GiveUpMS  int      `json:"give_up_ms"`
	GoalMS    int      `json:"goal_ms"`
	GapGoalMS int      `json:"gap_goal_ms"`
	Tries     int      `json:"tries"`
	Sticky    bool     `json:"sticky"`
	Resumable bool     `json:"resumable"`
	Service   string   `json:"service"`
	Homes     []string `json:"home_regions"`
}

type service struct {
	Name       string `json:"name"`
	HealthPath string `json:"health_path"`
}

type limits struct {
	MaxHeaderBytes int `json:"max_header_bytes"`
	MaxBodyBytes   int `json:"max_body_bytes"`
	HeaderWaitMS   int `json:"header_wait_ms"`
	IdleMS         int `json:"idle_ms"`
}

// document is a whole configuration.
type document struct {
	Version  int64     `json:"config_version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
}

type changes struct {
	Routes []route `json:"routes"`
}

// patch is a change of a configuration.
type patch struct {
	Version int64    `json:"config_version"`
	Changes changes  `json:"changes"`
	Remove  struct{} `json:"remove"`
}

func newRoute(name string, prefix string, kind string, service string) route {
	return route{
		Name: name, Host: client.Host, Prefix: prefix, Kind: kind, GiveUpMS: 5000, GoalMS: 1000, GapGoalMS: 1000, Tries: 3,
		Sticky: kind == "streaming", Service: service, Homes: []string{},
	}
}

func firstDocument() document {
	made := document{Version: 1, Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBodyBytes, HeaderWaitMS: 3000, IdleMS: 15000}}
	for _, name := range services {
		for _, kind := range []string{"safe", "unsafe"} {
			made.Routes = append(made.Routes, newRoute(name+"-"+kind, "/"+name+"/"+kind+"/", kind, name))
		}
		stream := newRoute(name+"-stream", "/"+name+"/stream/", "streaming", name)
		again := newRoute(name+"-resumable", "/"+name+"/resumable/", "streaming", name)
		again.Resumable = true
		made.Routes = append(made.Routes, stream, again)
		made.Services = append(made.Services, service{Name: name, HealthPath: "/health"})
	}
	made.Routes = append(made.Routes, marking("first"))
	return made
}

// markPrefix begins the path of the route by which a version is known again.
const markPrefix = "/mark/"

// marking is the route that names the change which made a version.
func marking(id string) route { return newRoute("mark", markPrefix+id+"/", "safe", services[0]) }

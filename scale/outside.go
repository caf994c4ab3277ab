package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"onyxwell/base/clock"
)

// outside is all that a deployment meets and does not run itself: the platform,
// the runners and the operator, scripted.
type outside struct {
	places  places
	servers []*http.Server
}

const service = "model"

type listed struct {
	ID        string  `json:"id"`
	Service   string  `json:"service"`
	Address   string  `json:"address"`
	Zone      string  `json:"zone"`
	Version   string  `json:"config_version"`
	Capacity  int     `json:"capacity"`
	Condition string  `json:"condition"`
	ColdLeft  float64 `json:"cold_left_ms"`
}

// pageLength is how many runners the platform gives on one page.
const pageLength = 100

func (outside *outside) start() error {
	var list []listed
	for index := range outside.places.size.Runners {
		zone := outside.places.zones[index%len(outside.places.zones)]
		list = append(list, listed{
			ID: fmt.Sprintf("i-%06d", index), Service: service, Address: fmt.Sprintf("%s:%d", runnerIP(index), runnerPort),
			Zone: string(zone.name), Version: "v1", Capacity: 64, Condition: "ready",
		})
	}
	fault := outside.serve(string(platformAddress()), http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		first, _ := strconv.Atoi(request.URL.Query().Get("page_token"))
		last := min(len(list), first+pageLength)
		page := map[string]any{"servers": list[min(first, last):last], "next_token": nil}
		if last < len(list) {
			page["next_token"] = strconv.Itoa(last)
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(page)
	}))
	// One runner answers for all: what is measured is control, not the requests.
	return errors.Join(fault, outside.serve(fmt.Sprintf("%s:%d", runnerIP(0), runnerPort), http.HandlerFunc(runner)))
}

func runner(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Onyxwell-Attempt-Id", request.Header.Get("Onyxwell-Attempt-Id"))
	writer.Header().Set("Onyxwell-Server-Seal", "scale")
	writer.Header().Set("Onyxwell-Server-Id", request.Header.Get("Onyxwell-Target-Server"))
	writer.Header().Set("Onyxwell-Server-Load", "1,0,64")
	_, _ = writer.Write([]byte("done"))
}

func (outside *outside) serve(address string, handler http.Handler) error {
	listener, fault := net.Listen("tcp", address)
	if fault != nil {
		return fault
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * clock.Second}
	outside.servers = append(outside.servers, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (outside *outside) stop() {
	for _, server := range outside.servers {
		_ = server.Shutdown(context.Background())
	}
}

// document is a configuration of so many routes; tenants with homes of their own
// are routes' homes here, which is all that the system keeps of them.
func document(size Size, version int) ([]byte, error) {
	var routes []map[string]any
	for index := range size.Routes {
		routes = append(routes, route(size, index, 3000))
	}
	return json.Marshal(map[string]any{
		"config_version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 640, "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 20.0}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000},
	})
}

func route(size Size, index int, giveUp int) map[string]any {
	made := map[string]any{
		"name": fmt.Sprintf("r-%d", index), "hostname": fmt.Sprintf("host%d.example", index%50), "path_prefix": fmt.Sprintf("/p%d/", index),
		"type": "safe", "give_up_ms": giveUp, "goal_ms": 1000, "urgency": index % 3, "service": service, "tries": 2, "home_regions": []string{},
	}
	if index < size.Tenants {
		made["home_regions"] = []string{fmt.Sprintf("r%d", index%size.Regions)}
	}
	return made
}

// change is a patch of one route.
func change(size Size, version int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"config_version": version, "changes": map[string]any{"routes": []any{route(size, version%size.Routes, 3000+version)}},
		"remove": map[string]any{},
	})
}

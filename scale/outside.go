package scale

import (
	"encoding/json"
	"fmt"
	"net/http"

	"onyxwell/deployment"
)

// outside is all that a deployment meets and does not run itself: the platform
// and the runners, scripted.
type outside struct {
	size   Size
	layout deployment.Layout
	stops  []func()
}

const service = "model"

func (outside *outside) start() error {
	var list []deployment.Listed
	zones := outside.layout.AllZones()
	for index := range outside.size.Runners {
		list = append(list, deployment.Listed{
			ID: fmt.Sprintf("i-%06d", index), Service: service, Address: fmt.Sprintf("%s:%d", outside.layout.RunnerIP(index), deployment.RunnerPort),
			Zone: string(zones[index%len(zones)].Name), Version: "v1", Capacity: 64, Condition: "ready",
		})
	}
	platform := &deployment.Platform{List: func() []deployment.Listed { return list }}
	if err := outside.serve(outside.layout.PlatformAddress(), platform); err != nil {
		return err
	}
	// One runner answers for all: what is measured is control, not the requests.
	return outside.serve(list[0].Address, http.HandlerFunc(runner))
}

func (outside *outside) serve(address string, handler http.Handler) error {
	stop, err := deployment.Serve(address, handler)
	if err == nil {
		outside.stops = append(outside.stops, stop)
	}
	return err
}

func (outside *outside) stop() {
	for _, stop := range outside.stops {
		stop()
	}
}

func runner(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Onyxwell-Attempt-Id", request.Header.Get("Onyxwell-Attempt-Id"))
	writer.Header().Set("Onyxwell-Server-Seal", "scale")
	writer.Header().Set("Onyxwell-Server-Id", request.Header.Get("Onyxwell-Target-Server"))
	writer.Header().Set("Onyxwell-Server-Load", "1,0,64")
	_, _ = writer.Write([]byte("done"))
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

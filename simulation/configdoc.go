package simulation

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// markerRoute is the route by whose path an order is known again in a configuration.
const markerRoute = "mark"

func markerRouteJSON(order int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":"/o%d/","type":"safe","give_up_ms":1000,"goal_ms":400,"service":"desk","tries":1}`, markerRoute, order)
}

// fullConfig is a configuration that carries an order's mark.
func fullConfig(version int64, order int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/health","max_conns":100,"warmup_s":3,"cold_per_s":10}],"limits":{"max_header_bytes":2000,"max_body_bytes":100,"header_wait_ms":3000,"idle_ms":15000}}`, version, markerRouteJSON(order))
}

// configPatch changes the mark alone.
func configPatch(version int64, order int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"changes":{"routes":[%s]}}`, version, markerRouteJSON(order))
}

// parseConfig finds the version and the mark of a configuration.
func parseConfig(document []byte) (version int64, order int, found bool) {
	var seen struct {
		Version int64 `json:"config_version"`
		Routes  []struct {
			Name   string `json:"name"`
			Prefix string `json:"path_prefix"`
		} `json:"routes"`
	}
	if json.Unmarshal(document, &seen) != nil {
		return 0, 0, false
	}
	for _, route := range seen.Routes {
		if route.Name == markerRoute {
			order, err := strconv.Atoi(strings.Trim(route.Prefix, "/o"))
			return seen.Version, order, err == nil
		}
	}
	return seen.Version, 0, false
}

package simulation

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// markerRoute is the route whose path prefix holds the number of the command that
// brought a configuration.
const markerRoute = "mark"

func markerRouteJSON(commandID int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":"/o%d/","type":"safe","give_up_ms":1000,"goal_ms":400,"service":"desk","tries":1}`, markerRoute, commandID)
}

// fullConfig returns a configuration document with a command's marker.
func fullConfig(version int64, commandID int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/health","max_conns":100,"warmup_s":3,"cold_per_s":10}],"limits":{"max_header_bytes":2000,"max_body_bytes":100,"header_wait_ms":3000,"idle_ms":15000}}`, version, markerRouteJSON(commandID))
}

// limitedConfig is fullConfig with the tenant whose quota the run checks.
func limitedConfig(version int64, commandID int) []byte {
	document := fullConfig(version, commandID)
	return fmt.Appendf(document[:len(document)-1], `,"customers":[%s]}`, quotaTenantJSON)
}

// configPatch returns a patch that changes the marker alone.
func configPatch(version int64, commandID int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"changes":{"routes":[%s]}}`, version, markerRouteJSON(commandID))
}

// parseConfig returns the version and the marker of a configuration document.
func parseConfig(document []byte) (version int64, commandID int, ok bool) {
	var parsed struct {
		Version int64 `json:"config_version"`
		Routes  []struct {
			Name   string `json:"name"`
			Prefix string `json:"path_prefix"`
		} `json:"routes"`
	}
	if json.Unmarshal(document, &parsed) != nil {
		return 0, 0, false
	}
	for _, route := range parsed.Routes {
		if route.Name == markerRoute {
			commandID, err := strconv.Atoi(strings.Trim(route.Prefix, "/o"))
			return parsed.Version, commandID, err == nil
		}
	}
	return parsed.Version, 0, false
}

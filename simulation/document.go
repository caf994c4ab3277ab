package simulation

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// mark is the route by whose path an order is known again in a configuration.
const mark = "mark"

func markRoute(order int) string {
	return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":"/o%d/","type":"safe","give_up_ms":1000,"goal_ms":400,"service":"desk","tries":1}`, mark, order)
}

// whole is a configuration that carries an order's mark.
func whole(version int64, order int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"routes":[%s],"services":[{"name":"desk","health_path":"/health","max_conns":100,"warmup_s":3,"cold_per_s":10}],"limits":{"max_header_bytes":2000,"max_body_bytes":100,"header_wait_ms":3000,"idle_ms":15000}}`, version, markRoute(order))
}

// patch changes the mark alone.
func patch(version int64, order int) []byte {
	return fmt.Appendf(nil, `{"config_version":%d,"changes":{"routes":[%s]}}`, version, markRoute(order))
}

// read finds the version and the mark of a configuration.
func read(document []byte) (version int64, order int, found bool) {
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
		if route.Name == mark {
			order, err := strconv.Atoi(strings.Trim(route.Prefix, "/o"))
			return seen.Version, order, err == nil
		}
	}
	return seen.Version, 0, false
}

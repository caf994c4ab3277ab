package balancer

import (
	"fmt"
	"strings"
)

// Exclusions counts the runners that were left out of a selection, by reason.
type Exclusions struct {
	// Tried had the request already.
	Tried int
	// Draining are shutting down or in an evacuated zone.
	Draining int
	// OutsideHomes are in none of the route's home regions.
	OutsideHomes int
	// Unresponsive are suspected of a failure or do not respond.
	Unresponsive int
	// AtConnectionLimit have all requests that this router may have there.
	AtConnectionLimit int
	// SlowStart have had their share of requests for now.
	SlowStart int
	// OtherVersion are of a version that the request may not go to now.
	OtherVersion int
}

// String lists the counts that are not 0, or "none".
func (e Exclusions) String() string {
	var reasons []string
	for _, reason := range []struct {
		name  string
		count int
	}{{"tried", e.Tried}, {"closed", e.Draining}, {"away", e.OutsideHomes}, {"silent", e.Unresponsive}, {"full", e.AtConnectionLimit}, {"cold", e.SlowStart}, {"version", e.OtherVersion}} {
		if reason.count > 0 {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason.name, reason.count))
		}
	}
	if len(reasons) == 0 {
		return "none"
	}
	return strings.Join(reasons, " ")
}

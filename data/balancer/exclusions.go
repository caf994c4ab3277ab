package balancer

import (
	"fmt"
	"strings"
)

// Exclusions counts the runners that were excluded from a selection, by reason.
type Exclusions struct {
	// Tried counts runners that the request was already assigned to.
	Tried int
	// Draining counts runners that are draining or in an evacuated zone.
	Draining int
	// OutsideHomes counts runners outside the home regions of the route or tenant.
	OutsideHomes int
	// Unresponsive counts runners that are suspected of a failure or have not
	// responded for too long.
	Unresponsive int
	// AtConnectionLimit counts runners at which this router has as many requests as
	// it may have.
	AtConnectionLimit int
	// SlowStart counts runners in slow start whose rate limit is reached.
	SlowStart int
	// OtherVersion counts runners of a version that the request must not go to now.
	OtherVersion int
}

// String lists the nonzero counts, or returns "none".
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

package runnerstats

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Load is the load that a runner reported with a response.
type Load struct {
	// Running and Waiting are the numbers of running and waiting requests, including
	// those of other routers. Slots is the number of requests that the runner can run
	// concurrently.
	Running    float64
	Waiting    float64
	Slots      float64
	ReportedAt clock.Instant
	// SentSince is the number of requests that this router has sent since the report.
	SentSince float64
}

// ObserveLoad records a load report of the form "running,waiting,slots". Malformed
// reports are ignored.
func (c *Collector) ObserveLoad(id ids.RunnerID, text string, now clock.Instant) {
	fields := strings.Split(text, ",")
	if len(fields) != 3 {
		return
	}
	values := [3]float64{}
	for index, field := range fields {
		value, err := strconv.ParseFloat(strings.TrimSpace(field), 64)
		if err != nil {
			return
		}
		values[index] = value
	}
	c.update(id, func(r *runner) {
		r.Load = Load{Running: values[0], Waiting: values[1], Slots: values[2], ReportedAt: now}
	})
}

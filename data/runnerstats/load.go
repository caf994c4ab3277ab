package runnerstats

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Load is what a runner reported of itself with a response.
type Load struct {
	// Running, Waiting and Slots count its requests, those of other routers too, and
	// how many it runs at once.
	Running    float64
	Waiting    float64
	Slots      float64
	ReportedAt clock.Instant
	// SentSince is how many requests this router has sent since the report.
	SentSince float64
}

// ObserveLoad records a report of the form "running,waiting,slots". Malformed
// text is ignored.
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

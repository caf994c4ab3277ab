package runnerstats

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// ObserveLoad notes the load that a runner put in an answer: running, waiting, slots.
func (c *Collector) ObserveLoad(id ids.RunnerID, text string, now clock.Instant) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return
	}
	figures := [3]float64{}
	for index, part := range parts {
		figure, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return
		}
		figures[index] = figure
	}
	c.update(id, func(ledger *State) {
		ledger.Load = Load{Running: figures[0], Waiting: figures[1], Slots: figures[2], ReportedAt: now}
	})
}

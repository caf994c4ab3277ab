package runnerstats

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Told notes the load that a runner put in an answer: running, waiting, slots.
func (b *Board) Told(id ids.RunnerID, text string, now clock.Instant) {
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
	b.with(id, func(ledger *Ledger) {
		ledger.Load = Load{Running: figures[0], Waiting: figures[1], Slots: figures[2], At: now}
	})
}

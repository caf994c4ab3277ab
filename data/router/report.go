package router

import (
	"context"
	"sync"
	"time"

	"onyxwell/base/clock"
)

const (
	// reportInterval is the time between two reports.
	reportInterval = time.Second / 2
	// samplesPerReport is how often the requests in flight are counted for a report.
	samplesPerReport = 3
)

// sendReports sends what this router measured of runners to its zone's relay
// until the context ends.
func (r *Router) sendReports(ctx context.Context) error {
	var sending sync.WaitGroup
	defer sending.Wait()
	last := r.clock.Now()
	for sample := 1; clock.Wait(ctx, r.clock, reportInterval/samplesPerReport); sample++ {
		r.stats.SampleInFlight()
		if sample%samplesPerReport != 0 {
			continue
		}
		now := r.clock.Now()
		report := r.stats.TakeReport(now, now.Since(last))
		report.From, report.Region = r.daemon.Address, r.settings.Region
		if !r.settings.Grouping {
			// Only grouping by length needs them.
			report.Lengths = nil
		}
		last = now
		sending.Go(func() { r.daemon.Report(ctx, report) })
	}
	return nil
}

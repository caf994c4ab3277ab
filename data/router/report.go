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
	// samplesPerReport is the number of times that the requests in flight are sampled
	// for a report.
	samplesPerReport = 3
)

// sendReports periodically sends this router's runner statistics to a relay of its zone,
// until ctx is done.
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
			// Only the grouping of runners by request length uses the lengths.
			report.Lengths = nil
		}
		last = now
		sending.Go(func() { r.daemon.Report(ctx, report) })
	}
	return nil
}

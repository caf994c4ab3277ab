package router

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

const (
	// samplesPerReport is how often the running requests are counted for one report.
	samplesPerReport = 3
	// reportInterval is the time between two reports.
	reportInterval = clock.Second / 2
)

// sendReports sends what this router saw of the runners up to its zone's relay.
func (r *Router) sendReports(ctx scope.Scope) error {
	last := ctx.Now()
	for turn := 1; ctx.Wait(reportInterval / samplesPerReport); turn++ {
		r.stats.SampleInFlight()
		if turn%samplesPerReport != 0 {
			continue
		}
		now := ctx.Now()
		asked := r.stats.TakeReport(now, now.Since(last))
		asked.From, asked.Region = r.daemon.Address, ctx.Settings.Region
		if !ctx.Settings.Grouping {
			// Only grouping by length needs them.
			asked.Lengths = nil
		}
		last = now
		go r.daemon.Report(ctx, asked)
	}
	return nil
}

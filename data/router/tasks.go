package router

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

const (
	// looks is how often the running requests are counted for one report.
	looks = 3
	// reportSpan is the time between two reports.
	reportSpan = clock.Second / 2
)

// report sends what this router saw of the runners up to its zone's relay.
func (r *Router) report(ctx scope.Scope) error {
	last := ctx.Now()
	for turn := 1; ctx.Wait(reportSpan / looks); turn++ {
		r.board.SampleInFlight()
		if turn%looks != 0 {
			continue
		}
		now := ctx.Now()
		asked := r.board.TakeReport(now, now.Since(last))
		asked.From, asked.Region = r.common.Address, ctx.Settings.Region
		if !ctx.Settings.Grouping {
			// Only grouping by length needs them.
			asked.Lengths = nil
		}
		last = now
		go r.common.Report(ctx, asked)
	}
	return nil
}

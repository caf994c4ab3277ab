package controller

import (
	"context"

	"onyxwell/base/settings"
	"onyxwell/control/duty"
	"onyxwell/control/transport"
	"onyxwell/control/usage"
)

// dutyRateShare is the share of the platform's rate limit for calls of duties that usage
// reports may take, even when many of them are due after an outage.
const dutyRateShare = 0.5

// addUsageCollector adds the collector that the holder of the usage part runs, and its
// message handlers and metrics.
func (c *Controller) addUsageCollector() {
	agreed, bounds := c.daemon.ServeTime(), c.settings.Bounds
	c.duties.usage = usage.NewCollector(usage.CollectorOptions{
		Clock: c.clock, Now: agreed.Now, Synced: agreed.Synced,
		Window: settings.Seconds(bounds.UsageWindowS), DueAfter: settings.Seconds(bounds.UsageLateS), Zones: c.settings.ZoneNames(),
		CallsPerStep: max(1, int(dutyRateShare*c.settings.Platform.DutiesPerS*dutyInterval.Seconds())),
		MergeTime:    settings.Milliseconds(bounds.MergeMS),
		Assigned:     func() (int64, bool) { return c.duties.session.Assigned(duty.UsagePart) },
		Held:         func() (int64, bool) { return c.duties.session.Held(duty.UsagePart) },
		Update:       c.commands.Update, FetchCopies: c.daemon.UsageCopies,
		Call: func(ctx context.Context, fence int64, call duty.Call) (int, error) {
			return c.duties.client.Call(ctx, duty.UsagePart, fence, call)
		},
		Log: c.log,
	})
	transport.Handle(c.daemon.Calls, usage.SumsMessage, c.duties.usage.ReceiveSums)
	transport.Handle(c.daemon.Calls, usage.CollectMessage, c.duties.usage.ReceiveReports)
	transport.Handle(c.daemon.Calls, usage.CopyMessage, c.duties.usage.ReceiveCopy)
	transport.Handle(c.daemon.Calls, usage.CopiesMessage, c.duties.usage.ListCopies)
	for result, read := range map[string]func(usage.Stats) int64{
		"decided": func(s usage.Stats) int64 { return s.Decided }, "incomplete": func(s usage.Stats) int64 { return s.Incomplete },
		"reported": func(s usage.Stats) int64 { return s.Reported }, "failed": func(s usage.Stats) int64 { return s.Failed },
	} {
		c.daemon.Metrics.CounterFunc("usage_windows_total", "Windows of usage that this controller decided, decided without all zones, reported, or failed to report (calls).",
			map[string]string{"result": result}, func() float64 { return float64(read(c.duties.usage.Stats())) })
	}
	c.daemon.AddService("usage", func(ctx context.Context) error { c.duties.usage.Run(ctx, dutyInterval); return nil })
}

package router

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/daemon"
	"onyxwell/control/timesync"
	"onyxwell/control/usage"
)

// usageReportInterval is the maximum time between two usage reports. Another report is sent
// shortly after the end of each window. The usage counted since the last report is lost if
// the router is killed.
const usageReportInterval = time.Second / 2

// usageReporter counts the requests that runners began to process, by tenant, and reports
// them to a relay of the zone. It does nothing if the settings do not enable usage reports.
type usageReporter struct {
	clock       clock.Clock
	daemon      *daemon.Daemon
	meter       *usage.Meter
	incarnation int64
}

func newUsageReporter(source clock.Clock, node *settings.Settings, d *daemon.Daemon) *usageReporter {
	reporter := &usageReporter{clock: source, daemon: d}
	if agreed := d.SyncedClock(); agreed != nil {
		reporter.meter = usage.NewMeter(settings.Seconds(node.Bounds.UsageWindowS), agreed.Now)
		reporter.incarnation = newIncarnation(agreed)
	}
	return reporter
}

// newIncarnation returns the number of a router's incarnation that starts now. Later
// incarnations have higher numbers, unless the clock was set back.
func newIncarnation(agreed *timesync.Clock) int64 { return int64(agreed.Now()) }

// requestBegan counts a request of a tenant that a runner began to process age ago.
func (u *usageReporter) requestBegan(tenant ids.Tenant, age time.Duration) {
	if u.meter != nil {
		u.meter.CountRequest(tenant, age)
	}
}

func (u *usageReporter) addService(d *daemon.Daemon) {
	if u.meter == nil {
		return
	}
	d.AddService("usage", func(ctx context.Context) error {
		for clock.Wait(ctx, u.clock, u.meter.UntilReport(usageReportInterval)) {
			u.report(ctx)
		}
		return nil
	})
}

func (u *usageReporter) report(ctx context.Context) {
	report := u.meter.Report()
	report.Incarnation = u.incarnation
	if decided, err := u.daemon.ReportUsage(ctx, report); err == nil {
		u.meter.DropDecided(decided)
	}
}

// end sends the last report, which closes all windows. It is called once the router no
// longer serves requests.
func (u *usageReporter) end(ctx context.Context) {
	if u.meter != nil {
		u.meter.CloseAllWindows()
		u.report(ctx)
	}
}

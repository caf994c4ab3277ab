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

// usageReportInterval is the time between two reports of usage; one goes out at the end
// of each window besides. What a router that is killed had counted in it is lost.
const usageReportInterval = time.Second / 2

// usageReporter counts the requests that runners began, and reports them to the zone's
// relay. It does nothing where the settings ask for no usage reports.
type usageReporter struct {
	clock  clock.Clock
	daemon *daemon.Daemon
	meter  *usage.Meter
	life   int64
}

func newUsageReporter(source clock.Clock, node *settings.Settings, d *daemon.Daemon) *usageReporter {
	reporter := &usageReporter{clock: source, daemon: d}
	if agreed := d.AgreedTime(); agreed != nil {
		reporter.meter = usage.NewMeter(settings.Seconds(node.Bounds.UsageWindowS), agreed.Now)
		reporter.life = lifeOf(agreed)
	}
	return reporter
}

// lifeOf numbers a life of a router that begins now: later ones have higher numbers, unless
// its clock was set back.
func lifeOf(agreed *timesync.Clock) int64 { return int64(agreed.Now()) }

// began counts a request of a tenant that a runner began age ago.
func (u *usageReporter) began(tenant ids.Tenant, age time.Duration) {
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
	report.Incarnation = u.life
	if decided, err := u.daemon.ReportUsage(ctx, report); err == nil {
		u.meter.DropDecided(decided)
	}
}

// end reports all that was counted: the router serves no more.
func (u *usageReporter) end(ctx context.Context) {
	if u.meter != nil {
		u.meter.CloseAllWindows()
		u.report(ctx)
	}
}

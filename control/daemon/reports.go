package daemon

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

const (
	// detectionInterval is the time between two looks at what the zone's requests met.
	detectionInterval = clock.Second / 2
	// detectionsPerReport is how many such looks pass between two sums sent on.
	detectionsPerReport = 2
)

// serveReports takes the reports of the zone's routers, judges by them which
// runners the zone should leave alone, and sends their sum to the planner.
func (d *Daemon) serveReports() {
	transport.Handle(d.Calls, "sum", func(ctx scope.Scope, message autoscaler.ReportMessage) (autoscaler.ReportResponse, error) {
		report, err := message.Decode()
		if err == nil {
			d.addReport(report, ctx.Now())
		}
		return autoscaler.ReportResponse{Owner: true}, err
	})
	d.AddService("sums", func(ctx scope.Scope) error {
		for turn := 1; ctx.Wait(detectionInterval); turn++ {
			d.detectOutliers(ctx.Now())
			if turn%detectionsPerReport == 0 {
				d.forwardReports(ctx)
			}
		}
		return nil
	})
}

func (d *Daemon) addReport(report autoscaler.ReportRequest, now clock.Instant) {
	d.reports.Add(report)
	d.outliers.Add(report, now)
}

// detectOutliers tells the zone who is to rest, where that changed.
func (d *Daemon) detectOutliers(now clock.Instant) {
	rests, changed := d.outliers.Evaluate(now)
	if !changed {
		return
	}
	if body, err := transport.Marshal(rests); err == nil {
		d.Updates.PutNext(outlier.Key(d.Membership.Self().Zone), d.Address, body)
	}
}

func (d *Daemon) forwardReports(ctx scope.Scope) {
	report, any := d.reports.Flush()
	if holder := d.plannerAddress(); any && holder != "" {
		report.From = d.Address
		go func() { _ = d.sendReport(ctx, holder, "report", report) }()
	}
}

// Report sends a router's report up: to the first relay of its zone that
// answers, or straight to the planner where none does.
func (d *Daemon) Report(ctx scope.Scope, report autoscaler.ReportRequest) {
	pace := TimingOf(d.Scope.Settings)
	for _, relay := range d.Membership.Relays(d.Membership.Self().Zone, pace.RelaysPerZone) {
		if relay.Address == d.Address {
			d.addReport(report, ctx.Now())
			return
		}
		if d.sendReport(ctx, relay.Address, "sum", report) == nil {
			return
		}
	}
	if holder := d.plannerAddress(); holder != "" {
		_ = d.sendReport(ctx, holder, "report", report)
	}
}

func (d *Daemon) sendReport(ctx scope.Scope, to ids.Address, name string, report autoscaler.ReportRequest) error {
	short, release := ctx.WithTimeout(d.Gossiper.Timeout)
	defer release()
	message, err := report.Encode()
	if err == nil {
		_, err = transport.Send[autoscaler.ReportResponse](short, d.Transport, to, name, message)
	}
	return err
}

// plannerAddress tells who made the newest plan; the plan is read once a version.
func (d *Daemon) plannerAddress() ids.Address {
	item, found := d.Updates.Get(autoscaler.RoutingKey)
	if !found {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.Version != d.planSerial {
		if routing, err := autoscaler.ReadRouting(item.Body); err == nil {
			d.planSerial, d.planOwner = item.Version, routing.Owner
		}
	}
	return d.planOwner
}

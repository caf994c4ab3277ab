package daemon

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

const (
	// detectionInterval is the time between two evaluations of the zone's runners.
	detectionInterval = time.Second / 2
	// detectionsPerReport is how many evaluations pass between two reports to the
	// planner.
	detectionsPerReport = 2
)

// Names of the messages that carry a report. They are sent; they never change.
const (
	// relayReportMessage goes from a router to its zone's relay, which aggregates it.
	relayReportMessage = "sum"
	// plannerReportMessage goes to the planner.
	plannerReportMessage = "report"
)

// addReports takes the reports of the zone's routers, ejects outliers from the
// zone by them, and forwards their aggregate to the planner.
func (d *Daemon) addReports() {
	transport.Handle(d.Calls, relayReportMessage, func(_ context.Context, message autoscaler.ReportMessage) (autoscaler.ReportResponse, error) {
		report, err := message.Decode()
		if err == nil {
			d.recordReport(report, d.clock.Now())
		}
		return autoscaler.ReportResponse{Owner: true}, err
	})
	d.AddService("reports", func(ctx context.Context) error {
		for evaluation := 1; clock.Wait(ctx, d.clock, detectionInterval); evaluation++ {
			d.detectOutliers(d.clock.Now())
			if evaluation%detectionsPerReport == 0 {
				d.forwardReports(ctx)
			}
		}
		return nil
	})
}

func (d *Daemon) recordReport(report autoscaler.ReportRequest, now clock.Instant) {
	d.reports.Add(report)
	d.outliers.Add(report, now)
}

// detectOutliers gossips the zone's ejections where they changed.
func (d *Daemon) detectOutliers(now clock.Instant) {
	ejections, changed := d.outliers.Evaluate(now)
	if !changed {
		return
	}
	if body, err := transport.Marshal(ejections); err == nil {
		d.Updates.PutNext(outlier.Key(d.Membership.Self().Zone), d.Address, body)
	}
}

// forwardReports sends the aggregate to the planner without waiting for it: a
// planner that does not answer must not hold up the detection. The send ends with
// ctx or the gossiper's time-out.
func (d *Daemon) forwardReports(ctx context.Context) {
	report, ok := d.reports.Flush()
	if planner := d.plannerAddress(); ok && planner != "" {
		report.From = d.Address
		go func() { _ = d.sendReport(ctx, planner, plannerReportMessage, report) }()
	}
}

// Report sends a router's report to the first of its zone's relays that answers,
// or to the planner where none does. A report that nobody takes is lost.
func (d *Daemon) Report(ctx context.Context, report autoscaler.ReportRequest) {
	for _, relay := range d.Membership.Relays(d.Membership.Self().Zone, d.timing.RelaysPerZone) {
		if relay.Address == d.Address {
			d.recordReport(report, d.clock.Now())
			return
		}
		if d.sendReport(ctx, relay.Address, relayReportMessage, report) == nil {
			return
		}
	}
	if planner := d.plannerAddress(); planner != "" {
		_ = d.sendReport(ctx, planner, plannerReportMessage, report)
	}
}

func (d *Daemon) sendReport(ctx context.Context, to ids.Address, name string, report autoscaler.ReportRequest) error {
	limited, cancel := d.clock.WithTimeout(ctx, d.Gossiper.Timeout)
	defer cancel()
	message, err := report.Encode()
	if err != nil {
		return err
	}
	_, err = transport.Send[autoscaler.ReportResponse](limited, d.Transport, to, name, message)
	return err
}

// plannerAddress gives the owner of the current routing plan, or "" while there is
// none. A plan is decoded once a version.
func (d *Daemon) plannerAddress() ids.Address {
	item, ok := d.Updates.Get(autoscaler.RoutingKey)
	if !ok {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.Version != d.planVersion {
		if routing, err := autoscaler.ReadRouting(item.Body); err == nil {
			d.planVersion, d.planOwner = item.Version, routing.Owner
		}
	}
	return d.planOwner
}

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
	// detectionInterval is the interval between evaluations of the zone's runners.
	detectionInterval = time.Second / 2
	// detectionsPerReport is the number of evaluations per report to the planner.
	detectionsPerReport = 2
)

// Names of the messages that carry a report. They are part of the wire protocol and
// must not change.
const (
	// relayReportMessage is sent by a router to a relay of its zone, which aggregates the
	// reports.
	relayReportMessage = "sum"
	// plannerReportMessage is sent to the planner, with an aggregate from a relay or, if no
	// relay responds, with the report of a router.
	plannerReportMessage = "report"
)

// addReports adds the handler for the reports of the zone's routers, and the service
// that detects the zone's outliers from them and forwards their aggregate to the
// planner.
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

// detectOutliers evaluates the zone's outliers and gossips the ejections if they have
// changed.
func (d *Daemon) detectOutliers(now clock.Instant) {
	ejections, changed := d.outliers.Evaluate(now)
	if !changed {
		return
	}
	if body, err := transport.Marshal(ejections); err == nil {
		d.Updates.PutNext(outlier.Key(d.Membership.Self().Zone), d.Address, body)
	}
}

// forwardReports sends the aggregated reports to the planner. It doesn't wait for the
// response, because an unresponsive planner must not delay outlier detection. Sending
// ends when ctx is done or after the gossiper's timeout.
func (d *Daemon) forwardReports(ctx context.Context) {
	report, ok := d.reports.Flush()
	if planner := d.plannerAddress(); ok && planner != "" {
		report.From = d.Address
		go func() { _ = d.sendReport(ctx, planner, plannerReportMessage, report) }()
	}
}

// Report sends a router's report to the first relay of its zone that responds, or to
// the planner if none does. A report that neither accepts is lost.
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

// plannerAddress returns the owner of the current routing plan, or "" if there is no
// plan. Each version that is valid is decoded only once.
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

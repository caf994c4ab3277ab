package daemon

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/scaler"
)

// sumSpan is the time between two sums that a relay sends on.
const sumSpan = clock.Second

// serveSums takes the reports of the zone's routers and sends their sum to the
// planner once a span.
func (daemon *Daemon) serveSums() {
	courier.Handle(daemon.Calls, "sum", func(_ scope.Scope, report scaler.ReportAsk) (scaler.ReportTold, error) {
		daemon.sum.Add(report)
		return scaler.ReportTold{Holding: true}, nil
	})
	daemon.Part("sums", func(inner scope.Scope) error {
		for inner.Wait(sumSpan) {
			report, any := daemon.sum.Take()
			if holder := daemon.planner(); any && holder != "" {
				report.From, report.SpanMS = daemon.Address, float64(sumSpan.Milliseconds())
				go daemon.carry(inner, holder, "report", report)
			}
		}
		return nil
	})
}

// Report sends a router's report up: to the first relay of its zone that
// answers, or straight to the planner where none does.
//
// Example:
//
//	common.Report(inner, report)
func (daemon *Daemon) Report(inner scope.Scope, report scaler.ReportAsk) {
	pace := PaceOf(daemon.Scope.Boot)
	for _, relay := range daemon.Table.Relays(daemon.Table.Self().Zone, pace.Relays) {
		if relay.Address == daemon.Address {
			daemon.sum.Add(report)
			return
		}
		if daemon.carry(inner, relay.Address, "sum", report) == nil {
			return
		}
	}
	if holder := daemon.planner(); holder != "" {
		_ = daemon.carry(inner, holder, "report", report)
	}
}

func (daemon *Daemon) carry(inner scope.Scope, to ids.Address, name string, report scaler.ReportAsk) error {
	short, release := inner.WithLimit(daemon.Spreader.Limit)
	defer release()
	_, fault := courier.Send[scaler.ReportTold](short, daemon.Messenger, to, name, report)
	return fault
}

// planner tells who made the newest plan; the plan is read once a version.
func (daemon *Daemon) planner() ids.Address {
	item, found := daemon.News.Get(scaler.Key)
	if !found {
		return ""
	}
	daemon.lock.Lock()
	defer daemon.lock.Unlock()
	if item.Serial != daemon.planned {
		if plan, fault := scaler.ReadPlan(item.Body); fault == nil {
			daemon.planned, daemon.holder = item.Serial, plan.Holder
		}
	}
	return daemon.holder
}

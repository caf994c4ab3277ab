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
	// judgeSpan is the time between two looks at what the zone's requests met.
	judgeSpan = clock.Second / 2
	// sumTurns is how many such looks pass between two sums sent on.
	sumTurns = 2
)

// serveSums takes the reports of the zone's routers, judges by them which
// runners the zone should leave alone, and sends their sum to the planner.
func (d *Daemon) serveSums() {
	transport.Handle(d.Calls, "sum", func(ctx scope.Scope, message autoscaler.ReportMessage) (autoscaler.ReportTold, error) {
		report, err := message.Report()
		if err == nil {
			d.take(report, ctx.Now())
		}
		return autoscaler.ReportTold{Holding: true}, err
	})
	d.Part("sums", func(ctx scope.Scope) error {
		for turn := 1; ctx.Wait(judgeSpan); turn++ {
			d.judgeRunners(ctx.Now())
			if turn%sumTurns == 0 {
				d.sendSum(ctx)
			}
		}
		return nil
	})
}

func (d *Daemon) take(report autoscaler.ReportAsk, now clock.Instant) {
	d.sum.Add(report)
	d.judge.Take(report, now)
}

// judgeRunners tells the zone who is to rest, where that changed.
func (d *Daemon) judgeRunners(now clock.Instant) {
	rests, changed := d.judge.Verdict(now)
	if !changed {
		return
	}
	if body, err := transport.Marshal(rests); err == nil {
		d.News.PutNext(outlier.Key(d.Table.Self().Zone), d.Address, body)
	}
}

func (d *Daemon) sendSum(ctx scope.Scope) {
	report, any := d.sum.Take()
	if holder := d.planner(); any && holder != "" {
		report.From = d.Address
		go func() { _ = d.carry(ctx, holder, "report", report) }()
	}
}

// Report sends a router's report up: to the first relay of its zone that
// answers, or straight to the planner where none does.
func (d *Daemon) Report(ctx scope.Scope, report autoscaler.ReportAsk) {
	pace := PaceOf(d.Scope.Boot)
	for _, relay := range d.Table.Relays(d.Table.Self().Zone, pace.Relays) {
		if relay.Address == d.Address {
			d.take(report, ctx.Now())
			return
		}
		if d.carry(ctx, relay.Address, "sum", report) == nil {
			return
		}
	}
	if holder := d.planner(); holder != "" {
		_ = d.carry(ctx, holder, "report", report)
	}
}

func (d *Daemon) carry(ctx scope.Scope, to ids.Address, name string, report autoscaler.ReportAsk) error {
	short, release := ctx.WithLimit(d.Spreader.Timeout)
	defer release()
	message, err := report.Message()
	if err == nil {
		_, err = transport.Send[autoscaler.ReportTold](short, d.Messenger, to, name, message)
	}
	return err
}

// planner tells who made the newest plan; the plan is read once a version.
func (d *Daemon) planner() ids.Address {
	item, found := d.News.Get(autoscaler.Key)
	if !found {
		return ""
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if item.Version != d.planned {
		if routing, err := autoscaler.ReadRouting(item.Body); err == nil {
			d.planned, d.holder = item.Version, routing.Holder
		}
	}
	return d.holder
}

package daemon

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/eject"
	"onyxwell/control/scaler"
)

const (
	// judgeSpan is the time between two looks at what the zone's requests met.
	judgeSpan = clock.Second / 2
	// sumTurns is how many such looks pass between two sums sent on.
	sumTurns = 2
)

// serveSums takes the reports of the zone's routers, judges by them which
// runners the zone should leave alone, and sends their sum to the planner.
func (daemon *Daemon) serveSums() {
	courier.Handle(daemon.Calls, "sum", func(inner scope.Scope, message scaler.ReportMessage) (scaler.ReportTold, error) {
		report, err := message.Report()
		if err == nil {
			daemon.take(report, inner.Now())
		}
		return scaler.ReportTold{Holding: true}, err
	})
	daemon.Part("sums", func(inner scope.Scope) error {
		for turn := 1; inner.Wait(judgeSpan); turn++ {
			daemon.judgeRunners(inner.Now())
			if turn%sumTurns == 0 {
				daemon.sendSum(inner)
			}
		}
		return nil
	})
}

func (daemon *Daemon) take(report scaler.ReportAsk, now clock.Instant) {
	daemon.sum.Add(report)
	daemon.judge.Take(report, now)
}

// judgeRunners tells the zone who is to rest, where that changed.
func (daemon *Daemon) judgeRunners(now clock.Instant) {
	rests, changed := daemon.judge.Verdict(now)
	if !changed {
		return
	}
	if body, err := courier.Pack(rests); err == nil {
		daemon.News.Write(eject.Key(daemon.Table.Self().Zone), daemon.Address, body)
	}
}

func (daemon *Daemon) sendSum(inner scope.Scope) {
	report, any := daemon.sum.Take()
	if holder := daemon.planner(); any && holder != "" {
		report.From = daemon.Address
		go func() { _ = daemon.carry(inner, holder, "report", report) }()
	}
}

// Report sends a router's report up: to the first relay of its zone that
// answers, or straight to the planner where none does.
func (daemon *Daemon) Report(inner scope.Scope, report scaler.ReportAsk) {
	pace := PaceOf(daemon.Scope.Boot)
	for _, relay := range daemon.Table.Relays(daemon.Table.Self().Zone, pace.Relays) {
		if relay.Address == daemon.Address {
			daemon.take(report, inner.Now())
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
	message, err := report.Message()
	if err == nil {
		_, err = courier.Send[scaler.ReportTold](short, daemon.Messenger, to, name, message)
	}
	return err
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
		if routing, err := scaler.ReadRouting(item.Body); err == nil {
			daemon.planned, daemon.holder = item.Serial, routing.Holder
		}
	}
	return daemon.holder
}

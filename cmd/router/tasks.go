package main

import (
	"math/rand/v2"
	"net/http"

	"onyxwell/base/boot"
	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/census"
	"onyxwell/control/courier"
	"onyxwell/control/scaler"
)

// lookAfterCensus asks the platform where no census came for long: slowly, so
// that all daemons together stay under the platform's rate.
func (made *router) lookAfterCensus(inner scope.Scope) error {
	client := made.client()
	drain := made.pace.Census * 6
	for inner.Wait(made.pace.Census + rand.N(made.pace.Census)) {
		seen := made.frame.Now()
		fresh := seen.Runners != nil && inner.Now().Since(seen.Census) < drain/2
		if fresh {
			continue
		}
		rate := inner.Boot.Platform.RatePerS
		if least := boot.Seconds(float64(made.sharers()) * 4 / rate); least > made.pace.Census && !inner.Wait(least) {
			return nil
		}
		short, release := inner.WithLimit(made.pace.Silence)
		list, fault := census.Fetch(short, client, inner.Boot.Platform.Address)
		release()
		if fault == nil {
			made.frame.Take(list)
		}
	}
	return nil
}

func (made *router) client() *http.Client {
	return call.Client(call.Pooling{
		Dialing: call.Dialing{Limit: made.pace.Connect, Silence: made.pace.Silence}, Idle: 4 * made.pace.Silence, PerHost: 1,
	})
}

// looks is how often the running requests are counted for one report.
const looks = 5

// report sends what this router saw of the runners to the holder of the plan.
func (made *router) report(inner scope.Scope) error {
	span := clock.Second
	last := inner.Now()
	for turn := 1; inner.Wait(span / looks); turn++ {
		made.board.Sample()
		if turn%looks != 0 {
			continue
		}
		now := inner.Now()
		asked := scaler.ReportAsk{From: made.common.Address, Region: inner.Boot.Region, SpanMS: float64(now.Since(last).Milliseconds())}
		last = now
		asked.Samples, asked.Demands = made.board.Collect()
		holder := made.frame.Now().Plan.Holder
		if holder == "" {
			continue
		}
		go func() {
			short, release := inner.WithLimit(made.pace.Silence)
			defer release()
			_, _ = courier.Send[scaler.ReportTold](short, made.common.Messenger, holder, "report", asked)
		}()
	}
	return nil
}

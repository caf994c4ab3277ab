package router

import (
	"math/rand/v2"
	"net/http"

	"onyxwell/base/boot"
	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// followList asks the platform where no list came for long: slowly, so
// that all daemons together stay under the platform's rate.
func (r *Router) followList(inner scope.Scope) error {
	client := r.client()
	// The holder tells the list once a span; a third of the time for
	// draining without one is long.
	patience := 3 * r.pace.Census
	for pause := clock.Span(0); inner.Wait(pause); pause = r.pace.Census / 4 {
		if r.listFresh(inner, patience) {
			continue
		}
		crowd := boot.Seconds(2 * float64(r.sharers()) / inner.Boot.Platform.RatePerS)
		if !inner.Wait(rand.N(crowd)) || r.listFresh(inner, patience) {
			continue
		}
		inner.Log.Info().Str("part", "census").Msg("no news of it: the platform is asked from here")
		short, release := inner.WithLimit(r.pace.Census)
		list, err := discovery.Fetch(short, client, inner.Boot.Platform.Address)
		release()
		if err == nil {
			r.frame.Take(list)
		}
	}
	return nil
}

func (r *Router) listFresh(inner scope.Scope, patience clock.Span) bool {
	seen := r.frame.Now()
	return seen.Runners != nil && inner.Now().Since(seen.Census) < patience
}

func (r *Router) client() *http.Client {
	return call.Client(call.Pooling{
		Dialing: call.Dialing{Limit: r.pace.Connect, Silence: r.pace.Silence}, Idle: 4 * r.pace.Silence, PerHost: 1,
	})
}

const (
	// looks is how often the running requests are counted for one report.
	looks = 3
	// reportSpan is the time between two reports.
	reportSpan = clock.Second / 2
)

// report sends what this router saw of the runners up to its zone's relay.
func (r *Router) report(inner scope.Scope) error {
	last := inner.Now()
	for turn := 1; inner.Wait(reportSpan / looks); turn++ {
		r.board.Sample()
		if turn%looks != 0 {
			continue
		}
		now := inner.Now()
		asked := r.board.Collect(now, now.Since(last))
		asked.From, asked.Region = r.common.Address, inner.Boot.Region
		last = now
		go r.common.Report(inner, asked)
	}
	return nil
}

package daemon

import (
	"maps"
	"net"
	"slices"
	"strconv"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// trafficLogInterval is the time between two debug lines on what was sent.
const trafficLogInterval = 10 * clock.Second

// logTraffic logs what was sent to other daemons, by message, since the start.
func (d *Daemon) logTraffic(ctx scope.Scope) error {
	for ctx.Wait(trafficLogInterval) {
		volumes := d.Transport.Stats.Snapshot()
		for _, name := range slices.Sorted(maps.Keys(volumes)) {
			volume := volumes[name]
			ctx.Log.Debug().Str("part", "volumes").Str("message", name).Int64("messages", volume.Messages).
				Int64("asked_bytes", volume.RequestBytes).Int64("told_bytes", volume.ResponseBytes).Msg("sent since the start")
		}
	}
	return nil
}

// serveMetrics serves the daemon's figures where the command line names a port
// and a path.
func (d *Daemon) serveMetrics() {
	metrics, where := d.Metrics, d.Scope.Settings.Metrics
	metrics.CounterFunc("messages_sent_total", "Messages and datagrams sent to other daemons.", nil, func() float64 { return float64(d.Traffic.Messages.Load()) })
	metrics.GaugeFunc("members", "Daemons that this one knows, itself included.", nil, func() float64 { return float64(len(d.Membership.Members())) })
	for flaw, name := range transport.RejectReasonNames() {
		metrics.CounterFunc("messages_refused_total", "Messages of other daemons that were dropped, by their flaw.",
			map[string]string{"flaw": name}, func() float64 { return float64(d.Transport.Guard.Counts[flaw].Load()) })
	}
	if d.Scope.Log.Level <= log.DebugLevel {
		d.AddService("volumes", d.logTraffic)
	}
	if where.Port == 0 {
		return
	}
	if d.Scope.Settings.UsesPort(where.Port) {
		d.Scope.Log.Error().Str("part", "metrics").Int("port", where.Port).Msg("the port is one that the settings give away: figures are not served")
		return
	}
	address := ids.Address(net.JoinHostPort(d.Scope.Settings.IP, strconv.Itoa(where.Port)))
	d.AddService("metrics", func(ctx scope.Scope) error {
		return d.ServeHTTP(ctx, address, metrics.Handler(where.Path))
	})
}

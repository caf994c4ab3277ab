package daemon

import (
	"context"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// trafficLogInterval is the interval between debug log lines about the traffic.
const trafficLogInterval = 10 * time.Second

// addMetrics registers the daemon's metrics and serves them if the settings specify a
// port that no other listener uses. At log level debug it also logs the traffic.
func (d *Daemon) addMetrics() {
	d.registerMetrics()
	if d.log.Level <= log.DebugLevel {
		d.AddService("traffic", d.logTraffic)
	}
	endpoint := d.settings.Metrics
	if endpoint.Port == 0 {
		return
	}
	if d.settings.UsesPort(endpoint.Port) {
		d.log.Error().Str("part", "metrics").Int("port", endpoint.Port).Msg("metrics not served: port taken by another listener")
		return
	}
	address := ids.Address(net.JoinHostPort(d.settings.IP, strconv.Itoa(endpoint.Port)))
	d.AddService("metrics", func(ctx context.Context) error {
		return d.ServeHTTP(ctx, address, d.Metrics.Handler(endpoint.Path))
	})
}

func (d *Daemon) registerMetrics() {
	d.Metrics.CounterFunc("messages_sent_total", "Messages and datagrams sent to other daemons.", nil,
		func() float64 { return float64(d.Traffic.Messages.Load()) })
	d.Metrics.GaugeFunc("members", "Daemons that this one knows, itself included.", nil,
		func() float64 { return float64(len(d.Membership.Members())) })
	d.Metrics.GaugeFunc("unsupported_settings", "What the boot file asks for and the programs do not do.", nil,
		func() float64 { return float64(len(d.settings.Unsupported())) })
	for reason, name := range transport.RejectReasonNames() {
		d.Metrics.CounterFunc("messages_refused_total", "Messages of other daemons that were dropped, by their flaw.",
			map[string]string{"flaw": name}, func() float64 { return float64(d.Transport.Guard.Counts[reason].Load()) })
	}
}

// logTraffic periodically logs the traffic to other daemons since the start, by
// message name.
func (d *Daemon) logTraffic(ctx context.Context) error {
	for clock.Wait(ctx, d.clock, trafficLogInterval) {
		stats := d.Transport.Stats.Snapshot()
		for _, name := range slices.Sorted(maps.Keys(stats)) {
			message := stats[name]
			d.log.Debug().Str("part", "traffic").Str("message", name).Int64("messages", message.Messages).
				Int64("request_bytes", message.RequestBytes).Int64("response_bytes", message.ResponseBytes).Msg("messages since start")
		}
	}
	return nil
}

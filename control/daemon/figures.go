package daemon

import (
	"net"
	"strconv"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
)

// serveMetrics serves the daemon's figures where the command line names a port
// and a path.
func (daemon *Daemon) serveMetrics() {
	metrics, where := daemon.Metrics, daemon.Scope.Boot.Metrics
	metrics.Total("messages_sent_total", "Messages and datagrams sent to other daemons.", nil, func() float64 { return float64(daemon.Traffic.Messages.Load()) })
	metrics.Gauge("members", "Daemons that this one knows, itself included.", nil, func() float64 { return float64(len(daemon.Table.Members())) })
	for flaw, name := range courier.FlawNames() {
		metrics.Total("messages_refused_total", "Messages of other daemons that were dropped, by their flaw.",
			map[string]string{"flaw": name}, func() float64 { return float64(daemon.Messenger.Gate.Counts[flaw].Load()) })
	}
	if where.Port == 0 {
		return
	}
	if daemon.Scope.Boot.Uses(where.Port) {
		daemon.Scope.Log.Error().Str("part", "metrics").Int("port", where.Port).Msg("the port is one that the settings give away: figures are not served")
		return
	}
	address := ids.Address(net.JoinHostPort(daemon.Scope.Boot.IP, strconv.Itoa(where.Port)))
	daemon.Part("metrics", func(inner scope.Scope) error {
		return daemon.ServeHTTP(inner, address, metrics.Handler(where.Path))
	})
}

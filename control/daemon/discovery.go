package daemon

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// maxMissedPolls is the number of consecutive polls of the platform that may be
// missed before the list of runners is stale.
const maxMissedPolls = 4

// platformIdleTimeoutFactor is the idle timeout of a connection to the platform as a
// multiple of the peer timeout.
const platformIdleTimeoutFactor = 4

// NewView returns a view of the list of runners for a daemon with the settings of env.
func NewView(env scope.Scope) *discovery.View {
	return discovery.NewView(discovery.ViewOptions{
		Clock: env.Clock, Zones: env.Settings.ZoneNames(),
		MaxAge: maxMissedPolls * TimingOf(env.Settings).DiscoveryInterval,
	})
}

// NewPlatformClient returns a client of the platform with its own connections.
func (d *Daemon) NewPlatformClient() *discovery.PlatformClient {
	return &discovery.PlatformClient{
		HTTP: d.Network.Client(httpcall.ClientOptions{
			Dialer:      httpcall.Dialer{Timeout: d.timing.ConnectTimeout, UserTimeout: d.timing.PeerTimeout},
			IdleTimeout: platformIdleTimeoutFactor * d.timing.PeerTimeout, MaxIdlePerHost: discovery.MaxConcurrentReads,
		}),
		Clock: d.clock, Interval: d.timing.DiscoveryInterval,
		Address: d.settings.Platform.Address, Zones: d.settings.ZoneNames(),
	}
}

// addDiscoveryFallback adds the service that polls the platform from this daemon while
// the view is stale. It also makes the gossiper fetch a list eagerly while the view is
// incomplete.
func (d *Daemon) addDiscoveryFallback(view *discovery.View) {
	fallback := &discovery.Fallback{
		Platform: d.NewPlatformClient(), View: view, Updates: d.Updates, Membership: d.Membership,
		Clock: d.clock, Log: d.log, RatePerS: d.settings.Platform.RatePerS,
		RouterCount: d.Zones.RouterCount, Interval: d.timing.DiscoveryInterval, Restarted: !d.settings.FirstStart,
	}
	d.Gossiper.MissingData = func() bool { return !view.Complete() }
	d.AddService("list", func(ctx context.Context) error { fallback.Run(ctx); return nil })
}

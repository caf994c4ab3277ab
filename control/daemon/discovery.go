package daemon

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// maxMissedPolls is how many polls of the platform may be missed in a row before
// the list of runners is stale.
const maxMissedPolls = 4

// platformIdleTimeoutFactor is how many peer timeouts an idle connection to the
// platform is kept.
const platformIdleTimeoutFactor = 4

// NewView makes the view of the list of runners for a daemon of these settings.
func NewView(env scope.Scope) *discovery.View {
	return discovery.NewView(discovery.ViewOptions{
		Clock: env.Clock, Zones: env.Settings.ZoneNames(),
		MaxAge: maxMissedPolls * TimingOf(env.Settings).DiscoveryInterval,
	})
}

// NewPlatformClient makes a client of the platform with connections of its own.
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

// addDiscoveryFallback polls the platform from this daemon while the view is stale,
// and has gossip fetch a list eagerly while there is none.
func (d *Daemon) addDiscoveryFallback(view *discovery.View) {
	fallback := &discovery.Fallback{
		Platform: d.NewPlatformClient(), View: view, Updates: d.Updates, Membership: d.Membership,
		Clock: d.clock, Log: d.log, RatePerS: d.settings.Platform.RatePerS,
		RouterCount: d.Zones.RouterCount, Interval: d.timing.DiscoveryInterval, Restart: !d.settings.FirstStart,
	}
	d.Gossiper.MissingData = func() bool { return !view.Complete() }
	d.AddService("list", func(ctx context.Context) error { fallback.Run(ctx); return nil })
}

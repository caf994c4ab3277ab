package daemon

import (
	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// maxMissedPolls is how many readings of the platform's list may be missed
// before the list counts as old.
const maxMissedPolls = 4

// NewView makes the view of the list of runners that a daemon of these settings
// acts on.
func NewView(top scope.Scope) *discovery.View {
	return discovery.NewView(discovery.ViewOptions{
		Clock: top.Clock, Zones: top.Settings.ZoneNames(),
		MaxAge: maxMissedPolls * TimingOf(top.Settings).DiscoveryInterval,
	})
}

// NewPlatformClient makes a reader of the platform's list, with connections of its own.
func (d *Daemon) NewPlatformClient() *discovery.PlatformClient {
	settings, pace := d.Scope.Settings, TimingOf(d.Scope.Settings)
	return &discovery.PlatformClient{
		HTTP: d.Network.Client(httpcall.ClientOptions{
			Dialer: httpcall.Dialer{Timeout: pace.ConnectTimeout, UserTimeout: pace.PeerTimeout}, IdleTimeout: 4 * pace.PeerTimeout, MaxIdlePerHost: discovery.MaxConcurrentReads,
		}),
		Address: settings.Platform.Address, Zones: settings.ZoneNames(), Interval: pace.DiscoveryInterval, Clock: d.Scope.Clock,
	}
}

// addListFallback has the list read from here where no news of it comes.
func (d *Daemon) addListFallback(view *discovery.View) {
	fallback := &discovery.Fallback{
		Platform: d.NewPlatformClient(), View: view, Updates: d.Updates, Membership: d.Membership,
		Clock: d.Scope.Clock, Log: d.Scope.Log, RatePerS: d.Scope.Settings.Platform.RatePerS,
		RouterCount: d.Zones.RouterCount, Interval: TimingOf(d.Scope.Settings).DiscoveryInterval, Restart: !d.Scope.Settings.FirstStart,
	}
	d.Gossiper.MissingData = func() bool { return !view.Complete() }
	d.AddService("list", func(ctx scope.Scope) error { fallback.Run(ctx); return nil })
}

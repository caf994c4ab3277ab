package daemon

import (
	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// patienceInReadings is how many readings of the platform's list may be missed
// before the list counts as old.
const patienceInReadings = 4

// NewView makes the view of the list of runners that a daemon of these settings
// acts on.
func NewView(top scope.Scope) *discovery.View {
	return discovery.NewView(discovery.ViewOptions{
		Clock: top.Clock, Zones: top.Boot.ZoneNames(),
		Patience: patienceInReadings * PaceOf(top.Boot).Census,
	})
}

// Platform makes a reader of the platform's list, with connections of its own.
func (d *Daemon) Platform() *discovery.Platform {
	settings, pace := d.Scope.Boot, PaceOf(d.Scope.Boot)
	return &discovery.Platform{
		Client: d.Network.Client(httpcall.Pooling{
			Dialing: httpcall.Dialing{Limit: pace.Connect, Silence: pace.Silence}, Idle: 4 * pace.Silence, PerHost: discovery.ReadersAtOnce,
		}),
		Address: settings.Platform.Address, Zones: settings.ZoneNames(), Every: pace.Census,
	}
}

// followList has the list read from here where no news of it comes.
func (d *Daemon) followList(view *discovery.View) {
	fallback := &discovery.Fallback{
		Platform: d.Platform(), View: view, News: d.News, Table: d.Table,
		Routers: d.Zones.RouterCount, Every: PaceOf(d.Scope.Boot).Census, Hurry: !d.Scope.Boot.FirstStart,
	}
	d.Spreader.MissingData = func() bool { return !view.Whole() }
	d.Part("list", func(ctx scope.Scope) error { fallback.Run(ctx); return nil })
}

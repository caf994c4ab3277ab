package daemon

import (
	"onyxwell/base/call"
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
func (daemon *Daemon) Platform() *discovery.Platform {
	settings, pace := daemon.Scope.Boot, PaceOf(daemon.Scope.Boot)
	return &discovery.Platform{
		Client: daemon.Network.Client(call.Pooling{
			Dialing: call.Dialing{Limit: pace.Connect, Silence: pace.Silence}, Idle: 4 * pace.Silence, PerHost: discovery.ReadersAtOnce,
		}),
		Address: settings.Platform.Address, Zones: settings.ZoneNames(), Every: pace.Census,
	}
}

// followList has the list read from here where no news of it comes.
func (daemon *Daemon) followList(view *discovery.View) {
	fallback := &discovery.Fallback{
		Platform: daemon.Platform(), View: view, News: daemon.News, Table: daemon.Table,
		Routers: daemon.Zones.Routers, Every: PaceOf(daemon.Scope.Boot).Census, Hurry: !daemon.Scope.Boot.FirstStart,
	}
	daemon.Spreader.Lacks = func() bool { return !view.Whole() }
	daemon.Part("list", func(inner scope.Scope) error { fallback.Run(inner); return nil })
}

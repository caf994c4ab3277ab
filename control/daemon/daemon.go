// Package daemon puts together what every onyxwell daemon has: the members it
// knows, the news it passes on, and the calls between daemons.
package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/thejerf/suture/v4"

	"onyxwell/base/boot"
	"onyxwell/base/call"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/quota"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/discovery"
	"onyxwell/control/eject"
	"onyxwell/control/scaler"
	"onyxwell/control/spread"
	"onyxwell/control/zoneview"
)

// Carrier is the role that carries requests.
const Carrier = "router"

// Daemon is the common part of a router and a fleet-controller.
type Daemon struct {
	Scope     scope.Scope
	Network   Network
	Address   ids.Address
	Table     *cohort.Table
	News      *spread.News
	Messenger *courier.Courier
	Calls     *call.Table
	Spreader  *spread.Spreader
	Zones     *zoneview.Watcher
	// Metrics are this daemon's figures, Monitor counts the promises that it broke.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
	// Bodies bounds what the bodies of all calls take together.
	Bodies *quota.Quota
	// Traffic counts what the daemon says to others of its kind.
	Traffic call.Traffic
	prober  *cohort.Prober
	tree    *suture.Supervisor
	socket  Socket
	sum     scaler.Sum
	judge   eject.Judge
	lock    sync.Mutex
	planned ids.Serial
	holder  ids.Address
}

// Options are what the common part is made from.
type Options struct {
	Role string
	// Fresh is told each item of news.
	Fresh func(spread.Item)
	// View is the list of runners that Fresh keeps up to date; where there is one,
	// this daemon reads the list itself when no news of it comes.
	View *discovery.View
	// Network is the machine's own where none is given.
	Network Network
	// Monitor counts broken promises; one is made where none is given.
	Monitor *invariant.Monitor
}

// bodiesPart is the part of the memory, one in so many, that the bodies of calls
// may take together: each is read and kept in further forms while it is acted on.
const bodiesPart = 4

// New makes the common part for a role.
func New(top scope.Scope, options Options) (*Daemon, error) {
	settings, role := top.Boot, options.Role
	pace := PaceOf(settings)
	if options.Network == nil {
		options.Network = Sockets{}
	}
	made := &Daemon{Scope: top, Network: options.Network, Address: settings.InnerAddress(settings.IP, role)}
	made.Monitor = options.Monitor
	if made.Monitor == nil {
		made.Monitor = &invariant.Monitor{Log: top.Log}
	}
	made.Metrics = telemetry.New(made.Monitor)
	made.Table = cohort.NewTable(top.Clock, cohort.Member{
		Address: made.Address, Role: role, Zone: settings.Zone, Region: settings.Region,
		Front: settings.Listen["front"], Core: settings.Listen["control"] != "" && role != Carrier,
		LinkMbps: int64(settings.Limits.LinkMbps),
	})
	made.Zones = &zoneview.Watcher{Table: made.Table, Zones: settings.Zones, Role: Carrier}
	made.News = spread.NewNews(func(item spread.Item) {
		made.Zones.Absorb(item)
		options.Fresh(item)
	})
	made.Zones.News = made.News
	made.Messenger = courier.Over(made.Network, call.Dialing{Limit: pace.Connect, Silence: pace.Silence, Count: &made.Traffic})
	made.Messenger.Gate, made.Messenger.Tally = courier.NewGate(settings.Zones), &courier.Tally{}
	made.Calls = call.NewTable(top, settings.Limits.MemoryMB<<20/8)
	made.Calls.Gate = made.Messenger.Gate
	made.Calls.Metrics = made.Metrics
	made.Bodies = quota.New(settings.Limits.MemoryMB<<20/bodiesPart, made.Monitor)
	made.Calls.Bodies = made.Bodies
	made.Spreader = &spread.Spreader{
		News: made.News, Table: made.Table, Messenger: made.Messenger,
		Seeds: settings.SeedAddresses(), Every: pace.Exchange, Limit: pace.Silence,
		Hurry: !settings.FirstStart,
		Zones: settings.Zones, Relays: pace.Relays, Fanout: pace.Fanout,
	}
	made.Spreader.Serve(made.Calls)
	var err error
	if made.socket, err = made.Network.Datagrams(made.Address); err != nil {
		return nil, err
	}
	made.prober = &cohort.Prober{Table: made.Table, Pace: pace.Probe, Send: made.send, Gate: made.Messenger.Gate}
	made.tree = suture.New(role, suture.Spec{
		FailureBackoff: pace.Exchange, Timeout: pace.Connect,
		EventHook: func(event suture.Event) { top.Log.Warn().Str("part", "tree").Msg(event.String()) },
	})
	made.Part("inner", func(inner scope.Scope) error { return made.serveInner(inner) })
	made.Part("probe", func(inner scope.Scope) error { made.prober.Run(inner); return nil })
	made.Part("datagrams", made.receive)
	made.serveSums()
	made.serveMetrics()
	if options.View != nil {
		made.followList(options.View)
	}
	made.Part("relays", func(inner scope.Scope) error {
		for inner.Wait(pace.View) {
			made.Table.Elect(pace.Relays, pace.Probe.Suspicion)
			made.Zones.Look()
		}
		return nil
	})
	made.Part("spread", func(inner scope.Scope) error { made.Spreader.Run(inner); return nil })
	return made, nil
}

type part struct {
	name string
	top  scope.Scope
	run  func(inner scope.Scope) error
}

// Serve runs the part under suture.
func (piece part) Serve(ctx context.Context) error { return piece.run(piece.top.Under(ctx)) }

// String names the part in logs.
func (piece part) String() string { return piece.name }

// Part adds a part that the supervisor keeps running.
func (daemon *Daemon) Part(name string, run func(inner scope.Scope) error) {
	daemon.tree.Add(part{name: name, top: daemon.Scope, run: run})
}

// Once adds a part that comes to an end of its own, and is not run again.
func (daemon *Daemon) Once(name string, run func(inner scope.Scope)) {
	daemon.Part(name, func(inner scope.Scope) error {
		run(inner)
		<-inner.Done()
		return nil
	})
}

// Run runs all parts until the context ends.
func (daemon *Daemon) Run(ctx context.Context) error { return daemon.tree.Serve(ctx) }

// ServeHTTP serves a handler at an address until the scope ends.
func (daemon *Daemon) ServeHTTP(inner scope.Scope, address ids.Address, handler http.Handler) error {
	return daemon.Network.Serve(inner, address, handler, nil)
}

func (daemon *Daemon) serveInner(inner scope.Scope) error {
	return daemon.Network.Serve(inner, daemon.Address, daemon.Calls, &daemon.Traffic)
}

func (daemon *Daemon) send(to ids.Address, body []byte) {
	daemon.Traffic.Messages.Add(1)
	daemon.Traffic.BytesOut.Add(int64(len(body)))
	daemon.Messenger.Tally.Add("datagram", len(body), 0)
	daemon.socket.Send(to, body)
}

func (daemon *Daemon) receive(inner scope.Scope) error {
	stop := context.AfterFunc(inner, func() { _ = daemon.socket.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		size, sender, err := daemon.socket.Receive(buffer)
		if err != nil {
			return err
		}
		daemon.Traffic.BytesIn.Add(int64(size))
		daemon.prober.Take(inner, sender, buffer[:size])
	}
}

// Leave tells a few others that this daemon goes.
func (daemon *Daemon) Leave(inner scope.Scope) {
	daemon.Table.Announce(func(self *cohort.Member) { self.State, self.Ready = cohort.Left, false })
	daemon.Tell(inner)
}

// Tell exchanges with several others at once.
func (daemon *Daemon) Tell(inner scope.Scope) {
	for _, address := range daemon.Spreader.Several() {
		go daemon.Spreader.Exchange(inner, address)
	}
}

// Reread replaces the boot file's values after it changed.
func (daemon *Daemon) Reread(fresh *boot.Boot) { daemon.Spreader.Reseed(fresh.SeedAddresses()) }

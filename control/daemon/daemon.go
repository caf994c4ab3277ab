// Package daemon puts together what every onyxwell daemon has: the members it
// knows, the news it passes on, and the calls between daemons.
package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/thejerf/suture/v4"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/base/telemetry"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

// Carrier is the role that carries requests.
const Carrier = "router"

// Daemon is the common part of a router and a fleet-controller.
type Daemon struct {
	Scope     scope.Scope
	Network   Network
	Address   ids.Address
	Table     *membership.Table
	News      *gossip.Store
	Messenger *transport.Client
	Calls     *httpcall.Table
	Spreader  *gossip.Gossiper
	Zones     *zonesummary.Manager
	// Metrics are this daemon's figures, Monitor counts the promises that it broke.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
	// Bodies bounds what the bodies of all calls take together.
	Bodies *memquota.Quota
	// Traffic counts what the daemon says to others of its kind.
	Traffic httpcall.Traffic
	prober  *membership.Prober
	tree    *suture.Supervisor
	socket  Socket
	sum     autoscaler.Sum
	judge   outlier.Judge
	mu      sync.Mutex
	planned ids.Serial
	holder  ids.Address
}

// Options are what the common part is made from.
type Options struct {
	Role string
	// Fresh is told each item of news.
	Fresh func(gossip.Item)
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
	made.Table = membership.NewTable(top.Clock, membership.Member{
		Address: made.Address, Role: role, Zone: settings.Zone, Region: settings.Region,
		ClientAddress: settings.Listen["front"], ServesControl: settings.Listen["control"] != "" && role != Carrier,
		LinkMbps: int64(settings.Limits.LinkMbps),
	})
	made.Zones = &zonesummary.Manager{Table: made.Table, Zones: settings.Zones, RouterRole: Carrier}
	made.News = gossip.NewStore(func(item gossip.Item) {
		made.Zones.HandleItem(item)
		options.Fresh(item)
	})
	made.Zones.Store = made.News
	made.Messenger = transport.NewClientOnNetwork(made.Network, httpcall.Dialing{Limit: pace.Connect, Silence: pace.Silence, Count: &made.Traffic})
	made.Messenger.Guard, made.Messenger.Stats = transport.NewGuard(settings.Zones), &transport.MessageStats{}
	made.Calls = httpcall.NewTable(top, settings.Limits.MemoryMB<<20/8)
	made.Calls.Gate = made.Messenger.Guard
	made.Calls.Metrics = made.Metrics
	made.Bodies = memquota.New(settings.Limits.MemoryMB<<20/bodiesPart, made.Monitor)
	made.Calls.Bodies = made.Bodies
	made.Spreader = &gossip.Gossiper{
		Store: made.News, Table: made.Table, Client: made.Messenger,
		Seeds: settings.SeedAddresses(), Interval: pace.Exchange, Timeout: pace.Silence,
		Rejoining: !settings.FirstStart,
		Zones:     settings.Zones, RelaysPerZone: pace.Relays, Fanout: pace.Fanout,
	}
	made.Spreader.RegisterHandlers(made.Calls)
	var err error
	if made.socket, err = made.Network.Datagrams(made.Address); err != nil {
		return nil, err
	}
	made.prober = &membership.Prober{Table: made.Table, Config: pace.Probe, Send: made.send, Guard: made.Messenger.Guard}
	made.tree = suture.New(role, suture.Spec{
		FailureBackoff: pace.Exchange, Timeout: pace.Connect,
		EventHook: func(event suture.Event) { top.Log.Warn().Str("part", "tree").Msg(event.String()) },
	})
	made.Part("inner", func(ctx scope.Scope) error { return made.serveInner(ctx) })
	made.Part("probe", func(ctx scope.Scope) error { made.prober.Run(ctx); return nil })
	made.Part("datagrams", made.receive)
	made.serveSums()
	made.serveMetrics()
	if options.View != nil {
		made.followList(options.View)
	}
	made.Part("relays", func(ctx scope.Scope) error {
		for ctx.Wait(pace.View) {
			made.Table.UpdateRelayRole(pace.Relays, pace.Probe.SuspicionTimeout)
			made.Zones.Refresh()
		}
		return nil
	})
	made.Part("spread", func(ctx scope.Scope) error { made.Spreader.Run(ctx); return nil })
	return made, nil
}

type part struct {
	name string
	top  scope.Scope
	run  func(inner scope.Scope) error
}

// Serve runs the part under suture.
func (p part) Serve(ctx context.Context) error { return p.run(p.top.Under(ctx)) }

// String names the part in logs.
func (p part) String() string { return p.name }

// Part adds a part that the supervisor keeps running.
func (d *Daemon) Part(name string, run func(ctx scope.Scope) error) {
	d.tree.Add(part{name: name, top: d.Scope, run: run})
}

// Once adds a part that comes to an end of its own, and is not run again.
func (d *Daemon) Once(name string, run func(ctx scope.Scope)) {
	d.Part(name, func(ctx scope.Scope) error {
		run(ctx)
		<-ctx.Done()
		return nil
	})
}

// Run runs all parts until the context ends.
func (d *Daemon) Run(ctx context.Context) error { return d.tree.Serve(ctx) }

// ServeHTTP serves a handler at an address until the scope ends.
func (d *Daemon) ServeHTTP(ctx scope.Scope, address ids.Address, handler http.Handler) error {
	return d.Network.Serve(ctx, address, handler, nil)
}

func (d *Daemon) serveInner(ctx scope.Scope) error {
	return d.Network.Serve(ctx, d.Address, d.Calls, &d.Traffic)
}

func (d *Daemon) send(to ids.Address, body []byte) {
	d.Traffic.Messages.Add(1)
	d.Traffic.BytesOut.Add(int64(len(body)))
	d.Messenger.Stats.Add("datagram", len(body), 0)
	d.socket.Send(to, body)
}

func (d *Daemon) receive(ctx scope.Scope) error {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	buffer := make([]byte, 64<<10)
	for {
		size, sender, err := d.socket.Receive(buffer)
		if err != nil {
			return err
		}
		d.Traffic.BytesIn.Add(int64(size))
		d.prober.Receive(ctx, sender, buffer[:size])
	}
}

// Leave tells a few others that this daemon goes.
func (d *Daemon) Leave(ctx scope.Scope) {
	d.Table.UpdateSelf(func(self *membership.Member) { self.State, self.Ready = membership.Left, false })
	d.Tell(ctx)
}

// Tell exchanges with several others at once.
func (d *Daemon) Tell(ctx scope.Scope) {
	for _, address := range d.Spreader.AnnounceTargets() {
		go d.Spreader.Exchange(ctx, address)
	}
}

// Reread replaces the boot file's values after it changed.
func (d *Daemon) Reread(fresh *settings.Boot) { d.Spreader.SetSeeds(fresh.SeedAddresses()) }

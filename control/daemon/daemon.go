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

// RouterRole is the role that carries requests.
const RouterRole = "router"

// Daemon is the common part of a router and a fleet-controller.
type Daemon struct {
	Scope      scope.Scope
	Network    Network
	Address    ids.Address
	Membership *membership.Table
	Updates    *gossip.Store
	Transport  *transport.Client
	Calls      *httpcall.Mux
	Gossiper   *gossip.Gossiper
	Zones      *zonesummary.Manager
	// Metrics are this daemon's figures, Monitor counts the promises that it broke.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
	// BodyQuota bounds what the bodies of all calls take together.
	BodyQuota *memquota.Quota
	// Traffic counts what the daemon says to others of its kind.
	Traffic    httpcall.Traffic
	prober     *membership.Prober
	supervisor *suture.Supervisor
	socket     Socket
	reports    autoscaler.Aggregator
	outliers   outlier.Detector
	mu         sync.Mutex
	planSerial ids.Serial
	planOwner  ids.Address
}

// Options are what the common part is made from.
type Options struct {
	Role string
	// OnUpdate is told each item of news.
	OnUpdate func(gossip.Item)
	// View is the list of runners that Fresh keeps up to date; where there is one,
	// this daemon reads the list itself when no news of it comes.
	View *discovery.View
	// Network is the machine's own where none is given.
	Network Network
	// Monitor counts broken promises; one is made where none is given.
	Monitor *invariant.Monitor
}

// bodyMemoryDivisor is the part of the memory, one in so many, that the bodies of calls
// may take together: each is read and kept in further forms while it is acted on.
const bodyMemoryDivisor = 4

// New makes the common part for a role.
func New(top scope.Scope, options Options) (*Daemon, error) {
	settings, role := top.Settings, options.Role
	pace := TimingOf(settings)
	if options.Network == nil {
		options.Network = HostNetwork{}
	}
	made := &Daemon{Scope: top, Network: options.Network, Address: settings.InternalAddress(settings.IP, role)}
	made.Monitor = options.Monitor
	if made.Monitor == nil {
		made.Monitor = &invariant.Monitor{Log: top.Log}
	}
	made.Metrics = telemetry.New(made.Monitor)
	made.Membership = membership.NewTable(top.Clock, membership.Member{
		Address: made.Address, Role: role, Zone: settings.Zone, Region: settings.Region,
		ClientAddress: settings.Listen["front"], ServesControl: settings.Listen["control"] != "" && role != RouterRole,
		LinkMbps: int64(settings.Limits.LinkMbps),
	})
	made.Zones = &zonesummary.Manager{Table: made.Membership, Zones: settings.Zones, RouterRole: RouterRole}
	made.Updates = gossip.NewStore(func(item gossip.Item) {
		made.Zones.HandleItem(item)
		options.OnUpdate(item)
	})
	made.Zones.Store = made.Updates
	made.Transport = transport.NewClientOnNetwork(made.Network, httpcall.Dialer{Timeout: pace.ConnectTimeout, UserTimeout: pace.PeerTimeout, Traffic: &made.Traffic})
	made.Transport.Guard, made.Transport.Stats = transport.NewGuard(settings.Zones), &transport.MessageStats{}
	made.Calls = httpcall.NewMux(top, settings.Limits.MemoryMB<<20/8)
	made.Calls.Gate = made.Transport.Guard
	made.Calls.Metrics = made.Metrics
	made.BodyQuota = memquota.New(settings.Limits.MemoryMB<<20/bodyMemoryDivisor, made.Monitor)
	made.Calls.Bodies = made.BodyQuota
	made.Gossiper = &gossip.Gossiper{
		Store: made.Updates, Table: made.Membership, Client: made.Transport,
		Seeds: settings.SeedAddresses(), Interval: pace.GossipInterval, Timeout: pace.PeerTimeout,
		Rejoining: !settings.FirstStart,
		Zones:     settings.Zones, RelaysPerZone: pace.RelaysPerZone, Fanout: pace.Fanout,
	}
	made.Gossiper.RegisterHandlers(made.Calls)
	var err error
	if made.socket, err = made.Network.Datagrams(made.Address); err != nil {
		return nil, err
	}
	made.prober = &membership.Prober{Table: made.Membership, Config: pace.Probe, Send: made.sendDatagram, Guard: made.Transport.Guard}
	made.supervisor = suture.New(role, suture.Spec{
		FailureBackoff: pace.GossipInterval, Timeout: pace.ConnectTimeout,
		EventHook: func(event suture.Event) { top.Log.Warn().Str("part", "tree").Msg(event.String()) },
	})
	made.AddService("inner", func(ctx scope.Scope) error { return made.servePeers(ctx) })
	made.AddService("probe", func(ctx scope.Scope) error { made.prober.Run(ctx); return nil })
	made.AddService("datagrams", made.receiveDatagrams)
	made.serveReports()
	made.serveMetrics()
	if options.View != nil {
		made.addListFallback(options.View)
	}
	made.AddService("relays", func(ctx scope.Scope) error {
		for ctx.Wait(pace.ZoneSummaryInterval) {
			made.Membership.UpdateRelayRole(pace.RelaysPerZone, pace.Probe.SuspicionTimeout)
			made.Zones.Refresh()
		}
		return nil
	})
	made.AddService("spread", func(ctx scope.Scope) error { made.Gossiper.Run(ctx); return nil })
	return made, nil
}

type service struct {
	name  string
	scope scope.Scope
	run   func(inner scope.Scope) error
}

// Serve runs the part under suture.
func (s service) Serve(ctx context.Context) error { return s.run(s.scope.WithContext(ctx)) }

// String names the part in logs.
func (s service) String() string { return s.name }

// AddService adds a part that the supervisor keeps running.
func (d *Daemon) AddService(name string, run func(ctx scope.Scope) error) {
	d.supervisor.Add(service{name: name, scope: d.Scope, run: run})
}

// AddOneShot adds a part that comes to an end of its own, and is not run again.
func (d *Daemon) AddOneShot(name string, run func(ctx scope.Scope)) {
	d.AddService(name, func(ctx scope.Scope) error {
		run(ctx)
		<-ctx.Done()
		return nil
	})
}

// Run runs all parts until the context ends.
func (d *Daemon) Run(ctx context.Context) error { return d.supervisor.Serve(ctx) }

// ServeHTTP serves a handler at an address until the scope ends.
func (d *Daemon) ServeHTTP(ctx scope.Scope, address ids.Address, handler http.Handler) error {
	return d.Network.Serve(ctx, address, handler, nil)
}

func (d *Daemon) servePeers(ctx scope.Scope) error {
	return d.Network.Serve(ctx, d.Address, d.Calls, &d.Traffic)
}

func (d *Daemon) sendDatagram(to ids.Address, body []byte) {
	d.Traffic.Messages.Add(1)
	d.Traffic.BytesOut.Add(int64(len(body)))
	d.Transport.Stats.Add("datagram", len(body), 0)
	d.socket.Send(to, body)
}

func (d *Daemon) receiveDatagrams(ctx scope.Scope) error {
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
	d.Membership.UpdateSelf(func(self *membership.Member) { self.State, self.Ready = membership.Left, false })
	d.GossipNow(ctx)
}

// GossipNow exchanges with several others at once.
func (d *Daemon) GossipNow(ctx scope.Scope) {
	for _, address := range d.Gossiper.AnnounceTargets() {
		go d.Gossiper.Exchange(ctx, address)
	}
}

// Reload replaces the boot file's values after it changed.
func (d *Daemon) Reload(fresh *settings.Settings) { d.Gossiper.SetSeeds(fresh.SeedAddresses()) }

// Package daemon is what a router and a fleet-controller have in common: the
// membership and its probes, the gossip store, the transport and the handlers
// for calls of other daemons, discovery's fallback, outlier detection for the
// zone, metrics, and the supervisor that restarts services which fail. It owns
// the daemon's datagram socket and its internal listener.
package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/base/telemetry"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/quota"
	"onyxwell/control/transport"
)

// RouterRole is the routers' role in the deploy file and in the membership.
const RouterRole = "router"

const (
	// bodyMemoryDivisor is the part of the memory limit, one in so many, that the
	// bodies of all calls may take together: each is decoded into further copies
	// while it is served.
	bodyMemoryDivisor = 4
	// callBodyDivisor is the part that the body of one call of another daemon may
	// take.
	callBodyDivisor = 8
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 64 << 10
)

// Daemon is the common part of a router and a fleet-controller. Its exported
// fields are set by New and must not be changed.
type Daemon struct {
	clock    clock.Clock
	log      *log.Logger
	settings *settings.Settings
	Network  Network
	// Address is where other daemons reach this one.
	Address    ids.Address
	Membership *membership.Table
	// Updates is the gossip store.
	Updates   *gossip.Store
	Transport *transport.Client
	// Calls has the handlers for calls of other daemons.
	Calls    *httpcall.Mux
	Gossiper *gossip.Gossiper
	Zones    *zonesummary.Manager
	Metrics  *telemetry.Metrics
	// Monitor counts violated invariants.
	Monitor *invariant.Monitor
	// BodyQuota bounds the memory of the bodies of all calls together.
	BodyQuota *memquota.Quota
	// Traffic counts messages and bytes to and from other daemons.
	Traffic httpcall.Traffic

	timing     Timing
	prober     *membership.Prober
	supervisor *suture.Supervisor
	socket     Socket
	reports    autoscaler.Aggregator
	quotaRelay *quota.Relay
	quotas     quotaState
	usage      *usageState
	rollouts   *rolloutState
	outliers   outlier.Detector

	mu sync.Mutex
	// planVersion is the version of the routing plan that planOwner was read from.
	planVersion ids.Version
	planOwner   ids.Address
}

// Options are what a role brings to the common part.
type Options struct {
	// Role is the daemon's role in the deploy file and in the membership.
	Role string
	// OnUpdate is called with each new gossip item, in the order of its versions.
	OnUpdate func(gossip.Item)
	// View is the list of runners that OnUpdate keeps up to date. With one, the
	// daemon polls the platform itself while the list is stale; it may be nil.
	View *discovery.View
	// Config returns the configuration in force, nil for none. It defaults to the one
	// in the gossip store.
	Config func() *config.Config
	// Network defaults to HostNetwork.
	Network Network
	// Monitor defaults to a new one that logs.
	Monitor *invariant.Monitor
}

// New assembles the common part for a role and opens its datagram socket.
// Everything else starts with Run.
func New(env scope.Scope, options Options) (*Daemon, error) {
	d := &Daemon{
		clock: env.Clock, log: env.Log, settings: env.Settings, Network: options.Network, Monitor: options.Monitor,
		Address: env.Settings.InternalAddress(env.Settings.IP, options.Role),
		timing:  TimingOf(env.Settings),
	}
	if d.Network == nil {
		d.Network = HostNetwork{}
	}
	if d.Monitor == nil {
		d.Monitor = &invariant.Monitor{Log: env.Log}
	}
	d.Metrics = telemetry.New(d.Monitor)
	d.initMembership(options)
	d.initTransport()
	d.initGossip()
	var err error
	if d.socket, err = d.Network.Datagrams(d.Address); err != nil {
		return nil, err
	}
	d.prober = &membership.Prober{Table: d.Membership, Config: d.timing.Probe, Send: d.sendDatagram, Guard: d.Transport.Guard}
	d.supervisor = suture.New(options.Role, suture.Spec{
		FailureBackoff: d.timing.GossipInterval, Timeout: d.timing.ConnectTimeout,
		EventHook: func(event suture.Event) { env.Log.Warn().Str("part", "supervisor").Msg(event.String()) },
	})
	d.addServices(options)
	return d, nil
}

// initMembership makes the membership table, the zones' summaries and the gossip
// store that feeds them.
func (d *Daemon) initMembership(options Options) {
	node := d.settings
	d.Membership = membership.NewTable(d.clock, membership.Member{
		Address: d.Address, Role: options.Role, Zone: node.Zone, Region: node.Region,
		ClientAddress: node.Listen["front"], ServesControl: node.Listen["control"] != "" && options.Role != RouterRole,
		LinkMbps: int64(node.Limits.LinkMbps),
	})
	d.Zones = &zonesummary.Manager{
		Table: d.Membership, Zones: node.Zones, RouterRole: RouterRole, SettleTime: d.timing.ZoneSettleTime,
	}
	d.Updates = gossip.NewStore(func(item gossip.Item) {
		d.Zones.HandleItem(item)
		options.OnUpdate(item)
	})
	d.Zones.Store = d.Updates
}

// initTransport makes the client for calls to other daemons and the handlers for
// theirs; one guard drops what is not of this fleet in both directions.
func (d *Daemon) initTransport() {
	memory := d.settings.Limits.MemoryMB << 20
	d.Transport = transport.NewClientOnNetwork(d.Network, httpcall.Dialer{
		Timeout: d.timing.ConnectTimeout, UserTimeout: d.timing.PeerTimeout, Traffic: &d.Traffic,
	})
	d.Transport.Guard, d.Transport.Stats = transport.NewGuard(d.settings.Zones, d.log), &transport.MessageStats{}
	d.BodyQuota = memquota.New(memory/bodyMemoryDivisor, d.Monitor)
	d.Calls = httpcall.NewMux(d.clock, memory/callBodyDivisor)
	d.Calls.Gate, d.Calls.Metrics, d.Calls.Bodies = d.Transport.Guard, d.Metrics, d.BodyQuota
}

func (d *Daemon) initGossip() {
	node := d.settings
	d.Gossiper = &gossip.Gossiper{
		Clock: d.clock,
		Store: d.Updates, Table: d.Membership, Client: d.Transport,
		Seeds: node.SeedAddresses(), Interval: d.timing.GossipInterval, Timeout: d.timing.PeerTimeout,
		Rejoining: !node.FirstStart,
		Zones:     node.Zones, RelaysPerZone: d.timing.RelaysPerZone, Fanout: d.timing.Fanout,
	}
	d.Gossiper.RegisterHandlers(d.Calls)
}

// addServices adds the services that the supervisor starts, in this order.
func (d *Daemon) addServices(options Options) {
	d.AddService("calls", func(ctx context.Context) error { return d.Network.Serve(ctx, d.Address, d.Calls, &d.Traffic) })
	d.AddService("probe", func(ctx context.Context) error { d.prober.Run(ctx); return nil })
	d.AddService("datagrams", d.receiveDatagrams)
	d.addReports()
	d.addQuotaRelay(options.Config)
	d.addUsage()
	d.addRollouts()
	d.addMetrics()
	if options.View != nil {
		d.addDiscoveryFallback(options.View)
	}
	d.AddService("relays", func(ctx context.Context) error {
		for clock.Wait(ctx, d.clock, d.timing.ZoneSummaryInterval) {
			d.Membership.UpdateRelayRole(d.timing.RelaysPerZone, d.timing.Probe.SuspicionTimeout)
			d.Zones.Refresh()
		}
		return nil
	})
	d.AddService("gossip", func(ctx context.Context) error { d.Gossiper.Run(ctx); return nil })
}

// service is a suture.Service.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's log lines.
func (s service) String() string { return s.name }

// AddService adds a service that the supervisor starts, and starts again whenever
// run returns before its ctx ends. It must not be called once Run was.
func (d *Daemon) AddService(name string, run func(ctx context.Context) error) {
	d.supervisor.Add(service{name: name, run: run})
}

// AddOneShot adds a service that is not started again after run returns.
func (d *Daemon) AddOneShot(name string, run func(ctx context.Context)) {
	d.AddService(name, func(ctx context.Context) error {
		run(ctx)
		<-ctx.Done()
		return nil
	})
}

// Run runs all services until ctx ends.
func (d *Daemon) Run(ctx context.Context) error { return d.supervisor.Serve(ctx) }

// ServeHTTP serves a handler at an address until ctx ends. It does not count the
// traffic, which is that of other daemons alone.
func (d *Daemon) ServeHTTP(ctx context.Context, address ids.Address, handler http.Handler) error {
	return d.Network.Serve(ctx, address, handler, nil)
}

func (d *Daemon) sendDatagram(to ids.Address, body []byte) {
	d.Traffic.Messages.Add(1)
	d.Traffic.BytesOut.Add(int64(len(body)))
	d.Transport.Stats.Add("datagram", len(body), 0)
	d.socket.Send(to, body)
}

// receiveDatagrams passes datagrams to the prober until ctx ends, which closes the
// socket.
func (d *Daemon) receiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, sender, err := d.socket.Receive(buffer)
		if err != nil {
			return err
		}
		d.Traffic.BytesIn.Add(int64(size))
		d.prober.Receive(ctx, sender, buffer[:size])
	}
}

// Leave marks this daemon as having left and announces it. It does not wait for
// the announcement to arrive.
func (d *Daemon) Leave(ctx context.Context) {
	d.Membership.UpdateSelf(func(self *membership.Member) { self.State, self.Ready = membership.Left, false })
	d.GossipNow(ctx)
}

// GossipNow starts exchanges with several members at once and does not wait for
// them; each ends with ctx or the gossiper's time-out.
func (d *Daemon) GossipNow(ctx context.Context) {
	for _, address := range d.Gossiper.AnnounceTargets() {
		go d.Gossiper.Exchange(ctx, address)
	}
}

// Reload applies reloaded settings. Only the seeds take effect without a restart.
func (d *Daemon) Reload(reloaded *settings.Settings) { d.Gossiper.SetSeeds(reloaded.SeedAddresses()) }

// Package controller puts a fleet-controller together from the control
// libraries: the seat and the register, the desk and the operator's calls, the
// duties, the directory. It runs on the machine, or in a simulation.
package controller

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/admin"
	"onyxwell/control/daemon"
	"onyxwell/control/directory"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/state/command"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/readindex"
	"onyxwell/control/state/register"
	"onyxwell/control/state/voter"
	"onyxwell/control/state/wal"
)

// Role is the controllers' name in the deploy file and among members.
const Role = "fleet-controller"

// Options are what a controller stands on.
type Options struct {
	// Network is the machine's own where none is given.
	Network daemon.Network
	// Disk is the folder that the boot file names where none is given.
	Disk wal.FS
}

// Controller is the daemon put together.
type Controller struct {
	daemon     *daemon.Daemon
	timing     daemon.Timing
	voter      *voter.Voter
	proposer   *register.Proposer
	commands   *command.Dispatcher
	quorum     *quorum.Tracker
	autoscaler *autoscaler.Planner
	view       *discovery.View
	leases     []*lease.Holder
}

// Run runs the controller until the scope ends, then leaves in order.
func (c *Controller) Run(top scope.Scope, reread <-chan *settings.Settings) error {
	defer c.voter.Close()
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- c.daemon.Run(running) }()
	c.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
	for {
		select {
		case fresh := <-reread:
			c.daemon.Reload(fresh)
		case err := <-ended:
			return err
		case <-top.Done():
			// Calls that run are answered; others find another controller.
			leaving := top.WithoutCancel()
			c.voter.Leave()
			c.daemon.Leave(leaving)
			for _, duty := range c.leases {
				go duty.Resign(leaving)
			}
			leaving.Wait(c.timing.CommandTimeout)
			c.voter.HandOver(leaving)
			return nil
		}
	}
}

// New puts a controller together.
func New(top scope.Scope, options Options) (*Controller, error) {
	made := &Controller{timing: daemon.TimingOf(top.Settings), view: daemon.NewView(top)}
	var err error
	made.daemon, err = daemon.New(top, daemon.Options{
		Role: Role, OnUpdate: func(item gossip.Item) { made.view.Apply(item) }, View: made.view, Network: options.Network,
	})
	if err != nil {
		return nil, err
	}
	disk := options.Disk
	if disk == nil {
		disk = wal.Dir(top.Settings.DataDir)
	}
	members := &membership.Store{Table: made.daemon.Membership, Disk: disk, Name: "members", ZoneSizes: made.daemon.Zones.Sizes, RestoreZoneSizes: made.daemon.Zones.MergeSizes}
	if err := members.Load(); err != nil {
		top.Log.Warn().Str("part", "members").Err(err).Msg("the members of before can't be read")
	}
	made.daemon.AddService("members", func(ctx scope.Scope) error { members.Run(ctx, made.timing.LeaseDuration); return nil })
	made.quorum = quorum.New(quorum.Options{
		Address: made.daemon.Address, Transport: made.daemon.Transport, MaxAge: made.timing.ForwardTimeout,
		Voters: func() register.VoterSet { return made.voter.Acceptor.Voters() },
	})
	made.voter, err = voter.Open(top, voter.Options{
		Address: made.daemon.Address, Disk: disk, FirstStart: top.Settings.FirstStart,
		Seeds: top.Settings.SeedAddresses(), Membership: made.daemon.Membership, Transport: made.daemon.Transport, Quorum: made.quorum,
		ReplaceAfter: made.timing.LeaseDuration, Timeout: 3 * made.timing.CommandTimeout, LeaseTTL: made.timing.LeaseDuration,
		TargetCount: voter.TargetCount(top.Settings), Zones: top.Settings.Zones, Timing: voter.TimingOf(top.Settings, made.timing.LeaseDuration, made.timing.ForwardTimeout),
	})
	if err != nil {
		return nil, err
	}
	made.voter.Acceptor.Monitor = made.daemon.Monitor
	made.voter.RegisterHandlers(made.daemon.Calls)
	made.proposer = register.NewProposer(register.ProposerOptions{
		Address: made.daemon.Address, Client: made.voter, Voters: made.voter.Acceptor.Voters,
		HighestEpoch:   func(key string) int64 { return made.voter.Acceptor.Slot(key).Promised.Number },
		OnCommit:       func(key string, accepted register.Proposal) { made.commands.Publish(key, accepted) },
		MessageTimeout: made.timing.PeerTimeout, BatchTimeout: made.timing.CommandTimeout, MinCopies: voter.RequiredCopies(top.Settings),
	})
	made.voter.Attach(made.proposer)
	made.commands = command.New(command.Options{
		Address: made.daemon.Address, Proposer: made.proposer, Acceptor: made.voter.Acceptor,
		Membership: made.daemon.Membership, Updates: made.daemon.Updates, Transport: made.daemon.Transport,
		ForwardTimeout: made.timing.ForwardTimeout, CommandTimeout: made.timing.CommandTimeout, Quorum: made.quorum,
	})
	made.commands.Serve(made.daemon.Calls)
	made.quorum.RegisterHandlers(made.daemon.Calls)
	readindex.NewReader(made.commands.LatestVersion).RegisterHandlers(made.daemon.Calls)
	made.daemon.AddService("contact", func(ctx scope.Scope) error { made.quorum.Run(ctx); return nil })
	made.addServices(top)
	return made, nil
}

func (c *Controller) addServices(top scope.Scope) {
	common, pace := c.daemon, c.timing
	common.AddService("seat", func(ctx scope.Scope) error {
		c.voter.Run(ctx, pace.GossipInterval)
		return nil
	})
	common.AddService("sweep", func(ctx scope.Scope) error { c.commands.Run(ctx, pace.SweepInterval); return nil })
	c.addSingleton("census", func(holder *lease.Holder) func(ctx scope.Scope) {
		reader := &discovery.Publisher{
			Platform: common.NewPlatformClient(), Updates: common.Updates, Held: holder.Held,
			Clock: top.Clock, Log: top.Log, RatePerS: top.Settings.Platform.RatePerS,
			Resign:   func(ctx context.Context) { holder.StandDown(top.WithContext(ctx), pace.LeaseDuration) },
			Interval: pace.DiscoveryInterval, HeartbeatInterval: 2 * pace.DiscoveryInterval,
		}
		return func(ctx scope.Scope) { reader.Run(ctx) }
	})
	c.addSingleton("plan", c.newAutoscaler(top))
	orders := httpcall.NewMux(top, top.Settings.Limits.MemoryMB<<20/16)
	orders.Metrics, orders.Bodies = common.Metrics, common.BodyQuota
	admin.Serve(orders, c.commands)
	admin.ServeHeadroom(orders, common.Updates)
	c.serveStatus(orders)
	common.AddService("control", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Settings.Listen["control"], orders)
	})
	lookups := httpcall.NewMux(top, 1<<16)
	lookups.Metrics, lookups.Bodies = common.Metrics, common.BodyQuota
	front := &directory.Directory{
		Membership: common.Membership, OtherZones: common.Zones.RemoteEndpoints, Zones: top.Settings.Zones,
		LossTimeout: max(settings.Seconds(top.Settings.Bounds.RecoveryS), pace.LeaseDuration), Metrics: common.Metrics, Monitor: common.Monitor,
	}
	front.Serve(lookups)
	common.AddService("directory", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Settings.Listen["directory"], lookups)
	})
}

// addSingleton adds what one controller does at a time.
func (c *Controller) addSingleton(name string, work func(holder *lease.Holder) func(ctx scope.Scope)) {
	holder := lease.NewHolder(lease.Options{
		Name: name, Address: c.daemon.Address, TTL: c.timing.LeaseDuration,
		RequestGrant: c.voter.RequestLease, NextEpoch: c.commands.NextEpoch, Monitor: c.daemon.Monitor,
	})
	c.leases = append(c.leases, holder)
	run := work(holder)
	c.daemon.AddService("hold "+name, func(ctx scope.Scope) error { holder.Run(ctx); return nil })
	c.daemon.AddService(name, func(ctx scope.Scope) error { run(ctx); return nil })
}

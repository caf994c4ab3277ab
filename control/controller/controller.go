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
	common *daemon.Daemon
	pace   daemon.Pace
	own    *voter.Voter
	keeper *register.Proposer
	front  *command.Dispatcher
	reach  *quorum.Tracker
	scaler *autoscaler.Scaler
	view   *discovery.View
	duties []*lease.Holder
}

// Run runs the controller until the scope ends, then leaves in order.
func (c *Controller) Run(top scope.Scope, reread <-chan *settings.Boot) error {
	defer c.own.Close()
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- c.common.Run(running) }()
	c.common.Table.UpdateSelf(func(self *membership.Member) { self.Ready = true })
	for {
		select {
		case fresh := <-reread:
			c.common.Reread(fresh)
		case err := <-ended:
			return err
		case <-top.Done():
			// Calls that run are answered; others find another controller.
			leaving := top.Detached()
			c.own.Leave()
			c.common.Leave(leaving)
			for _, duty := range c.duties {
				go duty.Resign(leaving)
			}
			leaving.Wait(c.pace.Order)
			c.own.HandOver(leaving)
			return nil
		}
	}
}

// New puts a controller together.
func New(top scope.Scope, options Options) (*Controller, error) {
	made := &Controller{pace: daemon.PaceOf(top.Boot), view: daemon.NewView(top)}
	var err error
	made.common, err = daemon.New(top, daemon.Options{
		Role: Role, Fresh: func(item gossip.Item) { made.view.Absorb(item) }, View: made.view, Network: options.Network,
	})
	if err != nil {
		return nil, err
	}
	disk := options.Disk
	if disk == nil {
		disk = wal.Dir(top.Boot.DataFolder)
	}
	members := &membership.Store{Table: made.common.Table, Disk: disk, Name: "members", ZoneSizes: made.common.Zones.Sizes, RestoreZoneSizes: made.common.Zones.MergeSizes}
	if err := members.Load(); err != nil {
		top.Log.Warn().Str("part", "members").Err(err).Msg("the members of before can't be read")
	}
	made.common.Part("members", func(ctx scope.Scope) error { members.Run(ctx, made.pace.Hold); return nil })
	made.reach = quorum.New(quorum.Options{
		Address: made.common.Address, Transport: made.common.Messenger, MaxAge: made.pace.Pass,
		Voters: func() register.VoterSet { return made.own.Acceptor.Voters() },
	})
	made.own, err = voter.Open(top, voter.Options{
		Address: made.common.Address, Disk: disk, FirstStart: top.Boot.FirstStart,
		Seeds: top.Boot.SeedAddresses(), Membership: made.common.Table, Transport: made.common.Messenger, Quorum: made.reach,
		ReplaceAfter: made.pace.Hold, Timeout: 3 * made.pace.Order, LeaseTTL: made.pace.Hold,
		TargetCount: voter.TargetCount(top.Boot), Zones: top.Boot.Zones, Timing: voter.TimingOf(top.Boot, made.pace.Hold, made.pace.Pass),
	})
	if err != nil {
		return nil, err
	}
	made.own.Acceptor.Monitor = made.common.Monitor
	made.own.RegisterHandlers(made.common.Calls)
	made.keeper = register.NewProposer(register.ProposerOptions{
		Address: made.common.Address, Client: made.own, Voters: made.own.Acceptor.Voters,
		HighestEpoch:   func(key string) int64 { return made.own.Acceptor.Slot(key).Promised.Number },
		OnCommit:       func(key string, accepted register.Proposal) { made.front.Publish(key, accepted) },
		MessageTimeout: made.pace.Silence, BatchTimeout: made.pace.Order, MinCopies: voter.RequiredCopies(top.Boot),
	})
	made.own.Attach(made.keeper)
	made.front = command.New(command.Options{
		Address: made.common.Address, Proposer: made.keeper, Acceptor: made.own.Acceptor,
		Membership: made.common.Table, Updates: made.common.News, Transport: made.common.Messenger,
		ForwardTimeout: made.pace.Pass, CommandTimeout: made.pace.Order, Quorum: made.reach,
	})
	made.front.Serve(made.common.Calls)
	made.reach.RegisterHandlers(made.common.Calls)
	readindex.NewReader(made.front.LatestVersion).RegisterHandlers(made.common.Calls)
	made.common.Part("contact", func(ctx scope.Scope) error { made.reach.Run(ctx); return nil })
	made.parts(top)
	return made, nil
}

func (c *Controller) parts(top scope.Scope) {
	common, pace := c.common, c.pace
	common.Part("seat", func(ctx scope.Scope) error {
		c.own.Run(ctx, pace.Exchange)
		return nil
	})
	common.Part("sweep", func(ctx scope.Scope) error { c.front.Run(ctx, pace.Sweep); return nil })
	c.duty("census", func(holder *lease.Holder) func(ctx scope.Scope) {
		reader := &discovery.Reader{
			Platform: common.Platform(), News: common.News, Held: holder.Held,
			Resign: func(ctx scope.Scope) { holder.StandDown(ctx, pace.Hold) },
			Every:  pace.Census, Beat: 2 * pace.Census,
		}
		return reader.Run
	})
	c.duty("plan", c.planner(top))
	orders := httpcall.NewTable(top, top.Boot.Limits.MemoryMB<<20/16)
	orders.Metrics, orders.Bodies = common.Metrics, common.Bodies
	admin.Serve(orders, c.front)
	admin.ServeHeadroom(orders, common.News)
	c.serveStatus(orders)
	common.Part("control", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Boot.Listen["control"], orders)
	})
	lookups := httpcall.NewTable(top, 1<<16)
	lookups.Metrics, lookups.Bodies = common.Metrics, common.Bodies
	front := &directory.Directory{
		Table: common.Table, Elsewhere: common.Zones.RemoteEndpoints, Zones: top.Boot.Zones,
		Patience: max(settings.Seconds(top.Boot.Bounds.RecoveryS), pace.Hold), Metrics: common.Metrics, Monitor: common.Monitor,
	}
	front.Serve(lookups)
	common.Part("directory", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Boot.Listen["directory"], lookups)
	})
}

// duty adds what one controller does at a time.
func (c *Controller) duty(name string, work func(holder *lease.Holder) func(ctx scope.Scope)) {
	holder := lease.NewHolder(lease.Options{
		Name: name, Address: c.common.Address, TTL: c.pace.Hold,
		RequestGrant: c.own.RequestLease, NextEpoch: c.front.NextEpoch, Monitor: c.common.Monitor,
	})
	c.duties = append(c.duties, holder)
	run := work(holder)
	c.common.Part("hold "+name, func(ctx scope.Scope) error { holder.Run(ctx); return nil })
	c.common.Part(name, func(ctx scope.Scope) error { run(ctx); return nil })
}

// Package controller assembles a fleet-controller from the control packages:
// the voter and the registers, the command dispatcher with its admin API, the
// singletons that a lease restricts to one controller at a time, and the client
// directory. It determines the order in which these are built, started and
// stopped, and has no state of its own. It runs on the machine's network and
// disk, or on simulated ones.
package controller

import (
	"context"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/counter"
	"onyxwell/control/daemon"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/rollout"
	"onyxwell/control/state/command"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/readindex"
	"onyxwell/control/state/register"
	"onyxwell/control/state/voter"
	"onyxwell/control/state/wal"
)

// Role is the role of controllers in the deploy file and in the membership.
const Role = "fleet-controller"

// membersFile is the name of the file in the data directory that keeps the
// membership across restarts.
const membersFile = "members"

// voterTimeoutFactor is the number of command timeouts that one attempt to join
// the voter set, or one survey of it, may take.
const voterTimeoutFactor = 3

// Options override the network and the disk, which a controller otherwise takes from
// the machine.
type Options struct {
	// Network defaults to the machine's network.
	Network daemon.Network
	// Disk defaults to the data directory of the settings.
	Disk wal.FS
}

// Controller is an assembled fleet-controller.
type Controller struct {
	clock    clock.Clock
	log      *log.Logger
	settings *settings.Settings
	timing   daemon.Timing

	daemon     *daemon.Daemon
	voter      *voter.Voter
	counters   *counter.Service
	proposer   *register.Proposer
	commands   *command.Dispatcher
	quorum     *quorum.Tracker
	autoscaler *autoscaler.Planner
	view       *discovery.View
	leases     []*lease.Holder
	duties     *duties
	// director is nil if the settings have no rollouts.
	director *rollout.Director
}

// New assembles a controller and loads its state from the disk. It opens the
// datagram socket; Run opens the other sockets.
func New(env scope.Scope, options Options) (*Controller, error) {
	c := &Controller{
		clock: env.Clock, log: env.Log, settings: env.Settings,
		timing: daemon.TimingOf(env.Settings), view: daemon.NewView(env),
	}
	var err error
	c.daemon, err = daemon.New(env, daemon.Options{
		Role: Role, OnUpdate: func(item gossip.Item) { c.view.Apply(item) }, View: c.view, Network: options.Network,
	})
	if err != nil {
		return nil, err
	}
	disk := options.Disk
	if disk == nil {
		disk = wal.Dir(c.settings.DataDir)
	}
	c.restoreMembership(disk)
	if err := c.openVoter(env, disk); err != nil {
		return nil, err
	}
	if err := c.openCounters(env, disk); err != nil {
		c.voter.Close()
		return nil, err
	}
	c.addCommands()
	c.addServices()
	c.daemon.Metrics.GaugeFunc("losses_survived", "Further voters that may be lost with every acknowledged command kept and the next one possible; below 0 none is possible now, 0 also where this controller does not vote.", nil,
		func() float64 { return float64(c.voter.Redundancy().TolerableLosses) })
	return c, nil
}

// Run runs the controller until ctx is done and then shuts it down gracefully:
// it gives up its duties, announces its departure, resigns its leases, waits for
// the command timeout so that commands in flight are answered, and hands over
// its vote and its counters. Reloaded settings arrive on reloads. If the
// supervisor ends first, Run returns its error.
func (c *Controller) Run(ctx context.Context, reloads <-chan *settings.Settings) error {
	defer c.voter.Close()
	defer c.counters.Close()
	services, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- c.daemon.Run(services) }()
	c.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
	for {
		select {
		case reloaded := <-reloads:
			c.daemon.Reload(reloaded)
		case err := <-ended:
			return err
		case <-ctx.Done():
			c.shutDown(context.WithoutCancel(ctx))
			return nil
		}
	}
}

// shutDown leaves the fleet. It does not wait for each resignation, which is a
// message to voters that may be unreachable; it waits once, for the command
// timeout.
func (c *Controller) shutDown(ctx context.Context) {
	c.leaveDuties(ctx)
	c.voter.Leave()
	counters := make(chan struct{})
	go func() {
		defer close(counters)
		c.counters.HandOver(ctx)
	}()
	c.daemon.Leave(ctx)
	for _, holder := range c.leases {
		go holder.Resign(ctx)
	}
	clock.Wait(ctx, c.clock, c.timing.CommandTimeout)
	c.voter.HandOff(ctx)
	<-counters
}

// restoreMembership loads the members that were known before the restart and adds
// a service that keeps the file up to date. Without the file, the controller can
// rejoin only through the seeds.
func (c *Controller) restoreMembership(disk wal.FS) {
	members := &membership.Store{
		Clock: c.clock, Log: c.log,
		Table: c.daemon.Membership, Disk: disk, Name: membersFile,
		ZoneSizes: c.daemon.Zones.Sizes, RestoreZoneSizes: c.daemon.Zones.MergeSizes,
	}
	if err := members.Load(); err != nil {
		c.log.Warn().Str("part", "members").Err(err).Msg("members file unreadable")
	}
	c.daemon.AddService("members", func(ctx context.Context) error { members.Run(ctx, c.timing.LeaseDuration); return nil })
}

// openVoter creates the quorum tracker and opens the voter on the disk, which reports
// to the tracker.
func (c *Controller) openVoter(ctx context.Context, disk wal.FS) error {
	c.quorum = quorum.New(quorum.Options{
		Clock: c.clock, Log: c.log,
		Address: c.daemon.Address, Transport: c.daemon.Transport, MaxAge: c.timing.ForwardTimeout,
		Voters: c.Voters,
	})
	var err error
	c.voter, err = voter.Open(ctx, voter.Options{
		Clock: c.clock, Log: c.log, Settings: c.settings,
		Address: c.daemon.Address, Disk: disk, FirstStart: c.settings.FirstStart,
		Seeds: c.settings.SeedAddresses(), Zones: c.settings.Zones,
		Membership: c.daemon.Membership, Transport: c.daemon.Transport, Quorum: c.quorum,
		ReplaceAfter: c.timing.LeaseDuration, LeaseTTL: c.timing.LeaseDuration,
		Timeout:     voterTimeoutFactor * c.timing.CommandTimeout,
		TargetCount: voter.TargetCount(c.settings),
		Timing:      voter.TimingOf(c.settings, c.timing.LeaseDuration, c.timing.ForwardTimeout),
	})
	if err != nil {
		return err
	}
	c.voter.Acceptor.Monitor = c.daemon.Monitor
	c.voter.RegisterHandlers(c.daemon.Calls)
	return nil
}

// openCounters opens the replica of the counters on the disk.
func (c *Controller) openCounters(ctx context.Context, disk wal.FS) error {
	var err error
	c.counters, err = counter.Open(ctx, counter.Options{
		Clock: c.clock, Log: c.log, Settings: c.settings,
		Address: c.daemon.Address, Disk: disk, Membership: c.daemon.Membership, Transport: c.daemon.Transport,
		Seeds:          c.settings.SeedAddresses(),
		RequiredCopies: voter.RequiredCopies(c.settings), Timing: counter.TimingOf(c.settings), Metrics: c.daemon.Metrics,
	})
	if err != nil {
		return err
	}
	c.counters.RegisterHandlers(c.daemon.Calls)
	return nil
}

// addCommands creates the proposer, which uses the voter, and the dispatcher, which
// uses the proposer, and registers the handlers for calls from other daemons.
func (c *Controller) addCommands() {
	c.proposer = register.NewProposer(register.ProposerOptions{
		Clock: c.clock, Log: c.log,
		Address: c.daemon.Address, Client: c.voter, Voters: c.voter.Acceptor.Voters,
		HighestEpoch:   func(key string) int64 { return c.voter.Acceptor.Slot(key).Promised.Number },
		OnCommit:       func(key string, accepted register.Proposal) { c.commands.Publish(key, accepted) },
		MessageTimeout: c.timing.PeerTimeout, BatchTimeout: c.timing.CommandTimeout,
		MinCopies: voter.RequiredCopies(c.settings),
	})
	c.voter.Attach(c.proposer)
	c.commands = command.New(command.Options{
		Clock: c.clock, Log: c.log,
		Address: c.daemon.Address, Proposer: c.proposer, Acceptor: c.voter.Acceptor,
		Membership: c.daemon.Membership, Updates: c.daemon.Updates, Transport: c.daemon.Transport, Quorum: c.quorum,
		ForwardTimeout: c.timing.ForwardTimeout, CommandTimeout: c.timing.CommandTimeout, MaxDecodedBytes: c.maxDecodedBytes(),
	})
	c.commands.RegisterHandlers(c.daemon.Calls)
	c.quorum.RegisterHandlers(c.daemon.Calls)
	readindex.NewReader(c.commands.LatestVersion).RegisterHandlers(c.daemon.Calls)
}

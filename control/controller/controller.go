// Package controller puts a fleet-controller together from the control
// libraries: the seat and the register, the desk and the operator's calls, the
// duties, the directory. It runs on the machine, or in a simulation.
package controller

import (
	"context"

	"onyxwell/base/boot"
	"onyxwell/base/call"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/contact"
	"onyxwell/control/daemon"
	"onyxwell/control/desk"
	"onyxwell/control/directory"
	"onyxwell/control/discovery"
	"onyxwell/control/journal"
	"onyxwell/control/lease"
	"onyxwell/control/operator"
	"onyxwell/control/readindex"
	"onyxwell/control/register"
	"onyxwell/control/scaler"
	"onyxwell/control/seat"
	"onyxwell/control/spread"
)

// Role is the controllers' name in the deploy file and among members.
const Role = "fleet-controller"

// Options are what a controller stands on.
type Options struct {
	// Network is the machine's own where none is given.
	Network daemon.Network
	// Disk is the folder that the boot file names where none is given.
	Disk journal.Disk
}

// Controller is the daemon put together.
type Controller struct {
	common *daemon.Daemon
	pace   daemon.Pace
	own    *seat.Seat
	keeper *register.Keeper
	front  *desk.Desk
	reach  *contact.Contact
	scaler *scaler.Scaler
	view   *discovery.View
	duties []*lease.Holder
}

// Run runs the controller until the scope ends, then leaves in order.
func (made *Controller) Run(top scope.Scope, reread <-chan *boot.Boot) error {
	defer made.own.Close()
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- made.common.Run(running) }()
	made.common.Table.Announce(func(self *cohort.Member) { self.Ready = true })
	for {
		select {
		case fresh := <-reread:
			made.common.Reread(fresh)
		case err := <-ended:
			return err
		case <-top.Done():
			// Calls that run are answered; others find another controller.
			leaving := top.Detached()
			made.own.Leave()
			made.common.Leave(leaving)
			for _, duty := range made.duties {
				go duty.Leave(leaving)
			}
			leaving.Wait(made.pace.Order)
			made.own.HandOn(leaving)
			return nil
		}
	}
}

// New puts a controller together.
func New(top scope.Scope, options Options) (*Controller, error) {
	made := &Controller{pace: daemon.PaceOf(top.Boot), view: daemon.NewView(top)}
	var err error
	made.common, err = daemon.New(top, daemon.Options{
		Role: Role, Fresh: func(item spread.Item) { made.view.Absorb(item) }, View: made.view, Network: options.Network,
	})
	if err != nil {
		return nil, err
	}
	disk := options.Disk
	if disk == nil {
		disk = journal.Folder(top.Boot.DataFolder)
	}
	members := &cohort.Keeper{Table: made.common.Table, Disk: disk, Name: "members", Sizes: made.common.Zones.Sizes, Sized: made.common.Zones.Learn}
	if err := members.Load(); err != nil {
		top.Log.Warn().Str("part", "members").Err(err).Msg("the members of before can't be read")
	}
	made.common.Part("members", func(inner scope.Scope) error { members.Run(inner, made.pace.Hold); return nil })
	made.reach = contact.New(contact.Options{
		Address: made.common.Address, Messenger: made.common.Messenger, Fresh: made.pace.Pass,
		Voters: func() register.Voters { return made.own.Acceptor.Voters() },
	})
	made.own, err = seat.Open(top, seat.Options{
		Address: made.common.Address, Disk: disk, First: top.Boot.FirstStart,
		Seeds: top.Boot.SeedAddresses(), Table: made.common.Table, Messenger: made.common.Messenger, Contact: made.reach,
		Patience: made.pace.Hold, Limit: 3 * made.pace.Order, HoldSpan: made.pace.Hold,
		Seats: seat.Wanted(top.Boot), Zones: top.Boot.Zones, Pace: seat.PaceOf(top.Boot, made.pace.Hold, made.pace.Pass),
	})
	if err != nil {
		return nil, err
	}
	made.own.Acceptor.Monitor = made.common.Monitor
	made.own.Serve(made.common.Calls)
	made.keeper = register.NewKeeper(register.Options{
		Address: made.common.Address, Line: made.own, Voters: made.own.Acceptor.Voters,
		Seen:         func(key string) int64 { return made.own.Acceptor.Slot(key).Promised.Number },
		Chosen:       func(key string, accepted register.Accepted) { made.front.Chosen(key, accepted) },
		MessageLimit: made.pace.Silence, RoundLimit: made.pace.Order, Copies: seat.Copies(top.Boot),
	})
	made.own.Seek(made.keeper)
	made.front = desk.New(desk.Options{
		Address: made.common.Address, Keeper: made.keeper, Acceptor: made.own.Acceptor,
		Table: made.common.Table, News: made.common.News, Messenger: made.common.Messenger,
		Pass: made.pace.Pass, Limit: made.pace.Order, Contact: made.reach,
	})
	made.front.Serve(made.common.Calls)
	made.reach.Serve(made.common.Calls)
	readindex.NewReader(made.front.Newest).Serve(made.common.Calls)
	made.common.Part("contact", func(inner scope.Scope) error { made.reach.Run(inner); return nil })
	made.parts(top)
	return made, nil
}

func (made *Controller) parts(top scope.Scope) {
	common, pace := made.common, made.pace
	common.Part("seat", func(inner scope.Scope) error {
		made.own.Run(inner, pace.Exchange)
		return nil
	})
	common.Part("sweep", func(inner scope.Scope) error { made.front.Run(inner, pace.Sweep); return nil })
	made.duty("census", func(holder *lease.Holder) func(inner scope.Scope) {
		reader := &discovery.Reader{
			Platform: common.Platform(), News: common.News, Held: holder.Held,
			Resign: func(inner scope.Scope) { holder.Rest(inner, pace.Hold) },
			Every:  pace.Census, Beat: 2 * pace.Census,
		}
		return reader.Run
	})
	made.duty("plan", made.planner(top))
	orders := call.NewTable(top, top.Boot.Limits.MemoryMB<<20/16)
	orders.Metrics, orders.Bodies = common.Metrics, common.Bodies
	operator.Serve(orders, made.front)
	operator.ServeRoom(orders, common.News)
	made.serveStatus(orders)
	common.Part("control", func(inner scope.Scope) error {
		return common.ServeHTTP(inner, top.Boot.Listen["control"], orders)
	})
	lookups := call.NewTable(top, 1<<16)
	lookups.Metrics, lookups.Bodies = common.Metrics, common.Bodies
	front := &directory.Directory{
		Table: common.Table, Elsewhere: common.Zones.Elsewhere, Zones: top.Boot.Zones,
		Patience: max(boot.Seconds(top.Boot.Bounds.RecoveryS), pace.Hold), Metrics: common.Metrics, Monitor: common.Monitor,
	}
	front.Serve(lookups)
	common.Part("directory", func(inner scope.Scope) error {
		return common.ServeHTTP(inner, top.Boot.Listen["directory"], lookups)
	})
}

// duty adds what one controller does at a time.
func (made *Controller) duty(name string, work func(holder *lease.Holder) func(inner scope.Scope)) {
	holder := lease.NewHolder(lease.Options{
		Duty: name, Address: made.common.Address, Span: made.pace.Hold,
		Ask: made.own.AskHold, Epoch: made.front.Epoch, Monitor: made.common.Monitor,
	})
	made.duties = append(made.duties, holder)
	run := work(holder)
	made.common.Part("hold "+name, func(inner scope.Scope) error { holder.Run(inner); return nil })
	made.common.Part(name, func(inner scope.Scope) error { run(inner); return nil })
}

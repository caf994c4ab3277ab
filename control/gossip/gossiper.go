package gossip

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// Gossiper pushes what is new in a store to other daemons, and runs the exchanges
// with them. The exported fields but for Stats are set before its first use.
type Gossiper struct {
	Clock  clock.Clock
	Store  *Store
	Table  *membership.Table
	Client *transport.Client
	// Seeds are partners while no other member is known, and rarely after that.
	Seeds []ids.Address
	// Interval is the mean time between two exchanges, and the timeout of a push.
	Interval time.Duration
	// Timeout is that of an exchange.
	Timeout time.Duration
	// Rejoining says that other daemons should hold items already, as they do
	// except at the first start of a deployment.
	Rejoining bool
	// MissingData reports whether this daemon can't work yet for want of items; it
	// then exchanges with relays of its zone, and often. It may be nil.
	MissingData func() bool
	// Zones has all zones with their regions.
	Zones map[ids.Zone]ids.Region
	// RelaysPerZone is how many daemons of each zone forward pushes.
	RelaysPerZone int
	// Fanout bounds the daemons that one level of a push is sent to.
	Fanout int
	// Stats counts the pushes of this daemon.
	Stats PushStats

	// peers replaces the network in tests; inline has tests run what else runs in
	// a goroutine of its own.
	peers  peers
	inline bool

	reloadedSeeds atomic.Pointer[[]ids.Address]
	// exchanges counts those that were begun.
	exchanges atomic.Int64
	// mu guards answered: the seeds that have answered an exchange.
	mu            sync.Mutex
	answeredSeeds map[ids.Address]bool
	// nearerAttempts counts the exchanges that were left to nearer daemons in vain.
	nearerAttempts atomic.Int64
}

// Run exchanges with a partner now and then and pushes whatever is new, until
// ctx ends. It returns once all that it started has.
func (g *Gossiper) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-g.Store.localUpdates.wake:
			items, targets := g.Store.takePending(g.Store.localUpdates), g.allTargets()
			tasks.Go(func() { g.Push(ctx, items, targets) })
		case <-g.Store.remoteUpdates.wake:
			items := g.Store.takePending(g.Store.remoteUpdates)
			tasks.Go(func() { g.forward(ctx, items) })
		case <-g.Clock.After(g.nextDelay()):
			if partner, ok := g.choosePartner(); ok {
				tasks.Go(func() { g.Exchange(ctx, partner) })
			}
		}
	}
}

// SetSeeds replaces the seeds, at any time.
func (g *Gossiper) SetSeeds(seeds []ids.Address) { g.reloadedSeeds.Store(&seeds) }

func (g *Gossiper) seeds() []ids.Address {
	if reloaded := g.reloadedSeeds.Load(); reloaded != nil {
		return *reloaded
	}
	return g.Seeds
}

func (g *Gossiper) remote() peers {
	if g.peers != nil {
		return g.peers
	}
	return remotePeers{client: g.Client}
}

func (g *Gossiper) spawn(task func()) {
	if g.inline {
		task()
		return
	}
	go task()
}

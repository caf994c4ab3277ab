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

// Gossiper pushes the updates of a store to other daemons and runs the anti-entropy
// exchanges with them. The exported fields except Stats must be set before its first use.
type Gossiper struct {
	Clock  clock.Clock
	Store  *Store
	Table  *membership.Table
	Client *transport.Client
	// Seeds are the addresses used as partners while no other member is known, often
	// until each of them has answered, and rarely after that. SetSeeds overrides them.
	Seeds []ids.Address
	// Interval is the mean time between two exchanges, and the timeout of a push.
	Interval time.Duration
	// Timeout is the timeout of an exchange.
	Timeout time.Duration
	// Rejoining reports whether other daemons should already hold items, which is the
	// case except at the first start of a deployment.
	Rejoining bool
	// MissingData reports whether this daemon can't work yet because it lacks items.
	// It then exchanges more often, and more often with relays of its zone. It is not
	// called unless Rejoining is set, and may be nil.
	MissingData func() bool
	// Zones maps all zones to their regions.
	Zones map[ids.Zone]ids.Region
	// RelaysPerZone is the number of daemons of each zone that forward pushes.
	RelaysPerZone int
	// Fanout bounds the number of daemons to which this daemon sends one level of a
	// push.
	Fanout int
	// Stats holds the counters of this daemon's pushes.
	Stats PushStats

	// peers, if set, replaces the network in tests. inline makes spawn run its task
	// synchronously in tests.
	peers  peers
	inline bool

	reloadedSeeds atomic.Pointer[[]ids.Address]
	// exchanges counts the exchanges that this daemon started.
	exchanges atomic.Int64
	// mu guards answeredSeeds, the seeds that have answered an exchange.
	mu            sync.Mutex
	answeredSeeds map[ids.Address]bool
	// nearerAttempts counts the exchanges in which nearer daemons could not supply any
	// items.
	nearerAttempts atomic.Int64
}

// Run periodically exchanges with a partner and pushes updates as they arrive, until ctx
// ends. It returns once all pushes and exchanges that it started have ended.
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

// SetSeeds replaces the seeds. It may be called at any time.
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

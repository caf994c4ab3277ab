package gossip

import (
	"context"
	"runtime"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// hangingPeers never answer. A push to them continues for a while after its context has
// ended, and records whether Run returned in the meantime. Any other message panics.
type hangingPeers struct {
	peers
	started     chan struct{}
	runReturned chan struct{}
	ended       chan struct{}
	outlivedRun bool
}

// Push implements peers.
func (h *hangingPeers) Push(ctx context.Context, _ ids.Address, _ PushRequest) error {
	defer close(h.ended)
	close(h.started)
	<-ctx.Done()
	for range 10_000 {
		select {
		case <-h.runReturned:
			h.outlivedRun = true
			return ctx.Err()
		default:
			runtime.Gosched()
		}
	}
	return ctx.Err()
}

// TestGossiperRun_waitsForPushes cancels Run during a push: Run must return only after the
// push has.
func TestGossiperRun_waitsForPushes(t *testing.T) {
	source := clock.NewFake()
	table := membership.NewTable(source, newMember("self:1", "a", "home", true))
	table.Merge([]membership.Member{newMember("near:1", "a", "home", true)})
	hanging := &hangingPeers{started: make(chan struct{}), runReturned: make(chan struct{}), ended: make(chan struct{})}
	gossiper := &Gossiper{
		Clock: source,
		Store: NewStore(nil), Table: table, Zones: map[ids.Zone]ids.Region{"a": "home"},
		RelaysPerZone: 2, Fanout: 8, Interval: time.Second, Timeout: time.Second, peers: hanging,
	}
	ctx, cancel := scope.New(scope.Options{Clock: source}).WithCancel()
	go func() {
		defer close(hanging.runReturned)
		gossiper.Run(ctx)
	}()
	gossiper.Store.Put(Item{Key: "spec", Version: 1})
	<-hanging.started
	cancel()
	<-hanging.runReturned
	<-hanging.ended
	if hanging.outlivedRun {
		t.Error("a push outlived Run")
	}
}

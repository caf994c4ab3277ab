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

// hangingPeers never answer: a push to them goes on for a while after the end of
// its context, and looks whether Run has returned meanwhile. Any other message
// panics.
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

// TestGossiperRun_waitsForPushes ends Run in the middle of a push: Run returns
// after it.
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
		t.Error("a push outlasts Run")
	}
}

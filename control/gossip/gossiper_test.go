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
	begun     chan struct{}
	returned  chan struct{}
	ended     chan struct{}
	outlasted bool
}

// Push implements peers.
func (h *hangingPeers) Push(ctx context.Context, _ ids.Address, _ PushRequest) error {
	defer close(h.ended)
	close(h.begun)
	<-ctx.Done()
	for range 10_000 {
		select {
		case <-h.returned:
			h.outlasted = true
			return ctx.Err()
		default:
			runtime.Gosched()
		}
	}
	return ctx.Err()
}

// TestGossiperRun_awaitsItsPushes ends Run in the middle of a push: Run returns
// after it.
func TestGossiperRun_awaitsItsPushes(t *testing.T) {
	source := clock.NewFake()
	table := membership.NewTable(source, newMember("self:1", "a", "home", true))
	table.Merge([]membership.Member{newMember("near:1", "a", "home", true)})
	hanging := &hangingPeers{begun: make(chan struct{}), returned: make(chan struct{}), ended: make(chan struct{})}
	gossiper := &Gossiper{
		Clock: source,
		Store: NewStore(nil), Table: table, Zones: map[ids.Zone]ids.Region{"a": "home"},
		RelaysPerZone: 2, Fanout: 8, Interval: time.Second, Timeout: time.Second, peers: hanging,
	}
	ctx, cancel := scope.New(scope.Options{Clock: source}).WithCancel()
	go func() {
		defer close(hanging.returned)
		gossiper.Run(ctx)
	}()
	gossiper.Store.Put(Item{Key: "spec", Version: 1})
	<-hanging.begun
	cancel()
	<-hanging.returned
	<-hanging.ended
	if hanging.outlasted {
		t.Error("a push outlasts Run")
	}
}

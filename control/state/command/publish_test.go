package command

import (
	"testing"

	"onyxwell/control/rollout"
	"onyxwell/control/transport"
)

// TestGossipItem_publishesStableVersions guards against stable versions that are stored and
// reach no router.
func TestGossipItem_publishesStableVersions(t *testing.T) {
	value, err := transport.Marshal(rollout.StableRecord{Version: 3, Order: 2, Target: "v3", Stable: "v1"})
	if err != nil {
		t.Fatal(err)
	}
	item, ok := gossipItem(rollout.StableKey("s"), value)
	if !ok || item.Key != rollout.StableKey("s") || item.Version != 3 || string(item.Body) != string(value) {
		t.Errorf("got %+v, %v, want the stored value as version 3", item, ok)
	}
}

package command

import (
	"strings"

	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/rollout"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Publish passes a committed value to gossip if its key is one that is gossiped. The
// proposer calls it, as its OnCommit, with each proposal that a majority has accepted.
func (d *Dispatcher) Publish(key string, committed register.Proposal) {
	if item, ok := gossipItem(key, committed.Value); ok {
		d.options.Updates.Put(item)
	}
}

// gossipItem returns the gossip item for a register's value. It returns false if the
// key is not gossiped, or if the value was never written or can't be decoded.
func gossipItem(key string, value []byte) (gossip.Item, bool) {
	kind, _, _ := strings.Cut(key, "/")
	decode := gossipDecoders[kind]
	if decode == nil || len(value) == 0 {
		return gossip.Item{}, false
	}
	item, err := decode(value)
	item.Key = key
	return item, err == nil && item.Version > 0
}

// gossipDecoders holds the functions that convert the values of gossiped keys into
// gossip items, without the key of the item. A function is found by the part of the
// key before the first slash; keys without a function are not gossiped.
var gossipDecoders = map[string]func(value []byte) (gossip.Item, error){
	config.Key: func(value []byte) (gossip.Item, error) {
		record, err := store.DecodeCompressed(value)
		return gossip.Item{Version: record.Version, Body: record.Document, Compressed: record.Compressed}, err
	},
	strings.TrimSuffix(evacuation.KeyPrefix, "/"): func(value []byte) (gossip.Item, error) {
		state, err := evacuation.Decode(value)
		return gossip.Item{Version: state.Version, Body: value}, err
	},
	strings.TrimSuffix(rollout.KeyPrefix, "/"): func(value []byte) (gossip.Item, error) {
		record, err := transport.Unmarshal[rollout.Record](value)
		return gossip.Item{Version: record.Version, Body: value}, err
	},
	strings.TrimSuffix(rollout.StableKeyPrefix, "/"): func(value []byte) (gossip.Item, error) {
		stored, err := transport.Unmarshal[rollout.StableRecord](value)
		return gossip.Item{Version: stored.Version, Body: value}, err
	},
}

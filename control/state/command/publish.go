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

// Publish hands a committed value to gossip, if its key is one that is gossiped.
// The proposer calls it with each proposal that a majority accepted.
func (d *Dispatcher) Publish(key string, committed register.Proposal) {
	if item, ok := gossipItem(key, committed.Value); ok {
		d.options.Updates.Put(item)
	}
}

// gossipItem makes the gossip item of a register's value; it is not ok for a key
// that is not gossiped and for a value that was never written.
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

// gossipDecoders holds the keys that are gossiped, by what precedes a slash.
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
}

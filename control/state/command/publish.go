package command

import (
	"strings"

	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/state/register"
)

// Publish publishes a value that a majority holds.
func (d *Dispatcher) Publish(key string, accepted register.Proposal) {
	if item, found := gossipItem(key, accepted.Value); found {
		d.options.Updates.Put(item)
	}
}

// gossipItem makes the news item of a register's value.
func gossipItem(key string, value []byte) (gossip.Item, bool) {
	kind, _, _ := strings.Cut(key, "/")
	read := gossipDecoders[kind]
	if read == nil || len(value) == 0 {
		return gossip.Item{}, false
	}
	item, err := read(value)
	item.Key = key
	return item, err == nil && item.Version > 0
}

var gossipDecoders = map[string]func([]byte) (gossip.Item, error){
	config.Key: func(value []byte) (gossip.Item, error) {
		kept, err := store.DecodeCompressed(value)
		return gossip.Item{Version: kept.Version, Body: kept.Document, Compressed: kept.Compressed}, err
	},
	"evacuation": func(value []byte) (gossip.Item, error) {
		kept, err := evacuation.Decode(value)
		return gossip.Item{Version: kept.Version, Body: value}, err
	},
}

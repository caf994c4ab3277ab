package command

import (
	"strings"

	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/state/register"
)

// Chosen publishes a value that a majority holds.
func (d *Desk) Chosen(key string, accepted register.Proposal) {
	if item, found := newsOf(key, accepted.Value); found {
		d.options.News.Put(item)
	}
}

// newsOf makes the news item of a register's value.
func newsOf(key string, value []byte) (gossip.Item, bool) {
	kind, _, _ := strings.Cut(key, "/")
	read := publishers[kind]
	if read == nil || len(value) == 0 {
		return gossip.Item{}, false
	}
	item, err := read(value)
	item.Key = key
	return item, err == nil && item.Serial > 0
}

var publishers = map[string]func([]byte) (gossip.Item, error){
	config.Key: func(value []byte) (gossip.Item, error) {
		kept, err := store.Travelling(value)
		return gossip.Item{Serial: kept.Serial, Body: kept.Document, Packed: kept.Packed}, err
	},
	"evacuation": func(value []byte) (gossip.Item, error) {
		kept, err := evacuation.Read(value)
		return gossip.Item{Serial: kept.Serial, Body: value}, err
	},
}

package desk

import (
	"strings"

	"onyxwell/control/evacuation"
	"onyxwell/control/register"
	"onyxwell/control/revision"
	"onyxwell/control/spec"
	"onyxwell/control/spread"
)

// Chosen publishes a value that a majority holds.
func (d *Desk) Chosen(key string, accepted register.Accepted) {
	if item, found := newsOf(key, accepted.Value); found {
		d.options.News.Put(item)
	}
}

// newsOf makes the news item of a register's value.
func newsOf(key string, value []byte) (spread.Item, bool) {
	kind, _, _ := strings.Cut(key, "/")
	read := publishers[kind]
	if read == nil || len(value) == 0 {
		return spread.Item{}, false
	}
	item, err := read(value)
	item.Key = key
	return item, err == nil && item.Serial > 0
}

var publishers = map[string]func([]byte) (spread.Item, error){
	spec.Key: func(value []byte) (spread.Item, error) {
		kept, err := revision.Travelling(value)
		return spread.Item{Serial: kept.Serial, Body: kept.Document, Packed: kept.Packed}, err
	},
	"evacuation": func(value []byte) (spread.Item, error) {
		kept, err := evacuation.Read(value)
		return spread.Item{Serial: kept.Serial, Body: value}, err
	},
}

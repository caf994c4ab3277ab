// Package evacuation keeps which zones are drained: a key of the register for
// each zone, whose state routers learn by gossip. Every write of a state toggles
// it, except the first, and increments its version by 1.
package evacuation

import (
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// KeyPrefix begins the keys of all zones; it must never change.
const KeyPrefix = "evacuation/"

// State is the register's value of a zone's key. It is stored and gossiped.
type State struct {
	Version ids.Version `avro:"Serial"`
	// Drained says that the zone's runners get no new requests.
	Drained bool `avro:"Empty"`
}

// SchemaName names the stored and sent form; it must never change.
func (State) SchemaName() string { return "Kept_27" }

// Key is the register's key of a zone.
func Key(zone ids.Zone) string { return KeyPrefix + string(zone) }

// ZoneFromKey gives the zone of a key; it is not ok for the keys of others.
func ZoneFromKey(key string) (zone ids.Zone, ok bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return ids.Zone(name), ok
}

// Update is the update of a zone's value to a state. It leaves the value as it is
// if the zone is in that state, or if it was written after the version since: it
// was in that state meanwhile then. A since of 0 stands for any version.
func Update(key string, drained bool, since ids.Version) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		state, err := Decode(current)
		if err != nil {
			return nil, transport.NewStoredValueError(key, err)
		}
		toggled := since > 0 && state.Version > since
		if toggled || (state.Drained == drained && state.Version > 0) {
			return nil, nil
		}
		return transport.Marshal(State{Version: state.Version + 1, Drained: drained})
	}
}

// Decode decodes a zone's value. No value is the zero State of a zone that was
// never drained.
func Decode(value []byte) (State, error) {
	if len(value) == 0 {
		return State{}, nil
	}
	return transport.Unmarshal[State](value)
}

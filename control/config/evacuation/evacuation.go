// Package evacuation keeps which zones are to get nothing: a key of the
// register for each zone.
package evacuation

import (
	"strings"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// KeyPrefix begins the keys of all zones.
const KeyPrefix = "evacuation/"

// State is a zone's value; the serial rises with each change.
type State struct {
	Version ids.Serial `avro:"Serial"`
	Drained bool       `avro:"Empty"`
}

// SchemaName names the stored and sent form; it must never change.
func (State) SchemaName() string { return "Kept_27" }

// Key is the register's key of a zone.
func Key(zone ids.Zone) string { return KeyPrefix + string(zone) }

// ZoneFromKey gives the zone of a key; false for the keys of others.
func ZoneFromKey(key string) (ids.Zone, bool) {
	zone, found := strings.CutPrefix(key, KeyPrefix)
	return ids.Zone(zone), found
}

// Update makes the next value of a zone's key, unless the zone was turned over
// since a serial was in force: 0 for any.
func Update(empty bool, past ids.Serial) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		kept, err := Decode(current)
		if err != nil {
			return nil, errkind.Errorf(errkind.Internal, "kept evacuation: %v", err)
		}
		turned := past > 0 && kept.Version > past
		if turned || (kept.Drained == empty && kept.Version > 0) {
			return nil, nil
		}
		return transport.Marshal(State{Version: kept.Version + 1, Drained: empty})
	}
}

// Decode reads a zone's value; none is a zone that was never emptied.
func Decode(value []byte) (State, error) {
	if len(value) == 0 {
		return State{}, nil
	}
	return transport.Unmarshal[State](value)
}

// Package evacuation stores which zones are drained. Each zone has a key in the
// replicated register, and routers learn its state by gossip. Every write of a state
// increments its version by 1, and every write except the first toggles the state.
package evacuation

import (
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// KeyPrefix is the prefix of the keys of all zones. It must never change.
const KeyPrefix = "evacuation/"

// State is the value of a zone's key. It is stored in the register and gossiped.
type State struct {
	Version ids.Version `avro:"Serial"`
	// Drained is set if the zone's runners get no new requests.
	Drained bool `avro:"Empty"`
}

// SchemaName returns the Avro record name in storage and on the wire; it must never
// change.
func (State) SchemaName() string { return "Kept_27" }

// Key returns the key of a zone in the register and in gossip.
func Key(zone ids.Zone) string { return KeyPrefix + string(zone) }

// ZoneFromKey returns the zone that a key belongs to; ok is false if it is not the
// key of a zone.
func ZoneFromKey(key string) (zone ids.Zone, ok bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return ids.Zone(name), ok
}

// Update returns an update function that sets whether a zone is drained. The function
// returns nil, which leaves the value unchanged, in two cases: a stored value already has
// that state, or it was written after version since. In the second case the zone has had
// the requested state in the meantime, because every write but the first toggles it. If
// since is 0, the version is not checked.
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

// Decode decodes a zone's value. An empty value yields the zero State: the zone has
// never been drained.
func Decode(value []byte) (State, error) {
	if len(value) == 0 {
		return State{}, nil
	}
	return transport.Unmarshal[State](value)
}

// Package evacuation keeps which zones are to get nothing: a key of the
// register for each zone.
package evacuation

import (
	"strings"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Prefix begins the keys of all zones.
const Prefix = "evacuation/"

// Kept is a zone's value; the serial rises with each change.
type Kept struct {
	Serial ids.Serial `avro:"Serial"`
	Empty  bool       `avro:"Empty"`
}

// SchemaName names the stored and sent form; it must never change.
func (Kept) SchemaName() string { return "Kept_27" }

// Key is the register's key of a zone.
func Key(zone ids.Zone) string { return Prefix + string(zone) }

// ZoneOf gives the zone of a key; false for the keys of others.
func ZoneOf(key string) (ids.Zone, bool) {
	zone, found := strings.CutPrefix(key, Prefix)
	return ids.Zone(zone), found
}

// Step makes the next value of a zone's key, unless the zone was turned over
// since a serial was in force: 0 for any.
func Step(empty bool, past ids.Serial) func([]byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		kept, err := Read(current)
		if err != nil {
			return nil, errkind.Of(errkind.Internal, "kept evacuation: %v", err)
		}
		turned := past > 0 && kept.Serial > past
		if turned || (kept.Empty == empty && kept.Serial > 0) {
			return nil, nil
		}
		return transport.Pack(Kept{Serial: kept.Serial + 1, Empty: empty})
	}
}

// Read reads a zone's value; none is a zone that was never emptied.
func Read(value []byte) (Kept, error) {
	if len(value) == 0 {
		return Kept{}, nil
	}
	return transport.Unpack[Kept](value)
}

// Package outlier is outlier ejection, as in passive health checking: a zone's
// relay compares what requests of its own zone met at each runner with the
// runner's peers of the same service, whatever the runner reports of its health,
// and has the zone's routers avoid for a while those that fail far more often.
//
// Invariants: no more than maxEjectedFraction of a service's runners is ejected
// at a time, and an ejection ends by itself.
package outlier

import (
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// Ejection says for how long, in milliseconds, a runner is to be avoided.
type Ejection struct {
	Runner ids.RunnerID `avro:"Runner"`
	LeftMS int64        `avro:"LeftMS"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ejection) SchemaName() string { return "Rest_22" }

// Ejections are all ejections of a zone; it replaces the one before.
type Ejections struct {
	Runners []Ejection `avro:"Runners"`
}

// SchemaName names the stored and sent form; it must never change.
func (Ejections) SchemaName() string { return "Rests_22" }

// Key is the gossip key of a zone's ejections; they are gossiped within the zone
// alone.
func Key(zone ids.Zone) string { return gossip.ZonePrefix + string(zone) }

// Decode decodes the body of the gossip item.
func Decode(body []byte) (Ejections, error) { return transport.Unmarshal[Ejections](body) }

// Package outlier implements outlier ejection, a form of passive health checking. A
// zone's relay compares the failure ratio of its zone's requests at each runner
// with that at the other runners of the same service, whatever health the runner
// itself reports. The zone's routers temporarily avoid the runners that fail far
// more often.
//
// Invariants: no ejection makes the ejected runners of a service exceed
// maxEjectedFraction of those that the detector knows, and an ejection expires on
// its own.
package outlier

import (
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// Ejection is the ejection of one runner. LeftMS is the remaining time, in
// milliseconds, for which routers avoid the runner.
type Ejection struct {
	Runner ids.RunnerID `avro:"Runner"`
	LeftMS int64        `avro:"LeftMS"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Ejection) SchemaName() string { return "Rest_22" }

// Ejections holds all current ejections of a zone. A newer one replaces it as a
// whole.
type Ejections struct {
	Runners []Ejection `avro:"Runners"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Ejections) SchemaName() string { return "Rests_22" }

// Key returns the gossip key of a zone's ejections, which are gossiped only within
// the zone.
func Key(zone ids.Zone) string { return gossip.ZonePrefix + string(zone) }

// Decode decodes the body of a gossip item that holds a zone's ejections.
func Decode(body []byte) (Ejections, error) { return transport.Unmarshal[Ejections](body) }

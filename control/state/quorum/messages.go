package quorum

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// heartbeatMessage is the name of the heartbeat call on the wire.
const heartbeatMessage = "contact"

// HeartbeatRequest asks a voter for a response, which proves contact.
type HeartbeatRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (HeartbeatRequest) SchemaName() string { return "Ask_24" }

// HeartbeatResponse carries a reading of the responder's monotonic clock, in
// nanoseconds, and the incarnation of its process. Readings can be compared only
// within one incarnation.
type HeartbeatResponse struct {
	Incarnation int64 `avro:"Life"`
	Reading     int64 `avro:"Reading"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (HeartbeatResponse) SchemaName() string { return "Told_24" }

// clockOffset returns how far the response's reading is ahead of the local clock,
// where the response was received at the given instant. Among the responses of one
// clock, the one with the shortest transit time has the largest offset.
func (h HeartbeatResponse) clockOffset(received clock.Instant) int64 {
	return h.Reading - int64(received)
}

// RegisterHandlers registers the handler of other controllers' heartbeats.
func (t *Tracker) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, heartbeatMessage, func(_ context.Context, _ HeartbeatRequest) (HeartbeatResponse, error) {
		return t.Respond(t.options.Clock.Now()), nil
	})
}

// Respond returns the response to a heartbeat that arrives at the given instant.
func (t *Tracker) Respond(now clock.Instant) HeartbeatResponse {
	return HeartbeatResponse{Incarnation: t.options.Incarnation, Reading: int64(now)}
}

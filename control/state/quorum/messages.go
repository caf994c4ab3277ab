package quorum

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// heartbeatMessage names the heartbeat on the wire.
const heartbeatMessage = "contact"

// HeartbeatRequest asks a voter to show that it hears the sender.
type HeartbeatRequest struct {
	From ids.Address `avro:"From"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (HeartbeatRequest) SchemaName() string { return "Ask_24" }

// HeartbeatResponse carries the responder's monotonic clock, in nanoseconds, and
// the incarnation of its process, within which alone the clock can be compared.
type HeartbeatResponse struct {
	Incarnation int64 `avro:"Life"`
	Reading     int64 `avro:"Reading"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (HeartbeatResponse) SchemaName() string { return "Told_24" }

// clockOffset is how far the responder's clock was ahead of the own one when its
// response arrived. The response that travelled the least has the largest lead.
func (h HeartbeatResponse) clockOffset(received clock.Instant) int64 {
	return h.Reading - int64(received)
}

// RegisterHandlers serves the heartbeat to other controllers.
func (t *Tracker) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, heartbeatMessage, func(_ context.Context, _ HeartbeatRequest) (HeartbeatResponse, error) {
		return t.Respond(t.options.Clock.Now()), nil
	})
}

// Respond answers a heartbeat that arrived now.
func (t *Tracker) Respond(now clock.Instant) HeartbeatResponse {
	return HeartbeatResponse{Incarnation: t.options.Incarnation, Reading: int64(now)}
}

package ratelimit

import "context"

// Cause is why a request was rejected.
type Cause int

// The causes.
const (
	// Denied: a relay in contact with the issuer granted nothing. The quota is used up, or
	// what is left of it is held elsewhere.
	Denied Cause = iota
	// RecentlyDenied: a request of no higher cost was denied a moment ago.
	RecentlyDenied
	// RelayDetached: the relay is out of contact with the issuer, and neither its allowances nor
	// its zone's part cover the request.
	RelayDetached
	// NoRelay: no relay of the zone answered.
	NoRelay
	// LateRelay: the request waited no longer for a relay's answer.
	LateRelay
	causeCount
)

// CauseNames are the names of the causes; they are values of a label of metrics.
var CauseNames = [causeCount]string{
	Denied: "denied", RecentlyDenied: "denied-of-late", RelayDetached: "relay-detached", NoRelay: "no-relay", LateRelay: "late-relay",
}

// Rejections returns how many requests of tenants with a quota were rejected for a cause.
func (l *Limiter) Rejections(cause Cause) int64 { return l.rejectionCounts[cause].Load() }

// causeOf returns why no relay granted a request after an error: granted is what relays answered,
// nil if none did.
func causeOf(ctx context.Context, granted []float64) Cause {
	switch {
	case granted != nil:
		return RelayDetached
	case ctx.Err() != nil:
		return LateRelay
	}
	return NoRelay
}

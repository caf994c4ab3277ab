package ratelimit

import "context"

// Cause is the reason why a request was rejected.
type Cause int

// Causes of rejections. With the last three, the router's own share and its grace did not cover
// the request either.
const (
	// Denied: a relay in contact with the issuer did not grant the request. The quota is used
	// up, or its remaining credit is held elsewhere.
	Denied Cause = iota
	// RecentlyDenied: a request of the same or a lower cost was denied a moment ago.
	RecentlyDenied
	// RelayDetached: the relay that responded is out of contact with the issuer, and neither
	// its unspent credit, nor its allowances, nor its zone's share cover the request.
	RelayDetached
	// NoRelay: no relay of the zone responded to this request or to a recent one.
	NoRelay
	// LateRelay: the request stopped waiting before a relay responded.
	LateRelay
	causeCount
)

// CauseNames has the name of each cause, as used in metric labels and log keys.
var CauseNames = [causeCount]string{
	Denied: "denied", RecentlyDenied: "denied-of-late", RelayDetached: "relay-detached", NoRelay: "no-relay", LateRelay: "late-relay",
}

// Rejections returns how many requests of tenants with a quota were rejected for a cause.
func (l *Limiter) Rejections(cause Cause) int64 { return l.rejectionCounts[cause].Load() }

// causeOf returns the cause of a rejection after acquire returned an error. granted is what
// acquire returned with it, nil if no relay gave a usable response.
func causeOf(ctx context.Context, granted []float64) Cause {
	switch {
	case granted != nil:
		return RelayDetached
	case ctx.Err() != nil:
		return LateRelay
	}
	return NoRelay
}

package rollout

import (
	"time"

	"onyxwell/base/settings"
)

// Policy holds the limits and intervals of rollouts that are derived from the settings.
type Policy struct {
	// ExposureShare is the share of a service's requests, between an order and the end of its
	// term, that a bad version may get; ExposureSlack is a number of requests allowed beyond it.
	ExposureShare float64
	ExposureSlack float64
	// PermitTTL is how long a permit lasts from when it was requested.
	PermitTTL time.Duration
	// ExchangeInterval is the time between two messages of a router to its relay, and of a
	// relay to the director, while a rollout is in progress.
	ExchangeInterval time.Duration
	// LatchTime is how long a router that has confirmed that it sends nothing to old runners
	// keeps to that, even without a permit.
	LatchTime time.Duration
	// SilenceLimit is how long the director waits for a zone that it doesn't hear from. The
	// zone's routers have no permit by then.
	SilenceLimit time.Duration
}

const (
	// defaultExposureShare applies if the settings have no bad_share.
	defaultExposureShare = 0.1
	// usableExposure is the fraction of the allowed exposure that is used for planning.
	usableExposure = 0.8
	// A permit lasts 1/permitDivisor of the time allowed for a rollback; the rest is for
	// detecting a bad version and for distributing the decision.
	permitDivisor = 4
	// exchangesPerPermit is how many exchange intervals fit into the lifetime of a permit.
	exchangesPerPermit = 5
	// latchPermits and silencePermits are LatchTime and SilenceLimit in permit lifetimes.
	latchPermits   = 3
	silencePermits = 4
	// The slack counts for at most 1/maxSlackDivisor of a term.
	maxSlackDivisor = 4
	minPermitTTL    = 500 * time.Millisecond
	maxPermitTTL    = 2 * time.Second
)

// PolicyOf returns the policy derived from the settings.
func PolicyOf(bounds settings.Bounds) Policy {
	share := bounds.BadShare
	if share <= 0 {
		share = defaultExposureShare
	}
	ttl := min(max(settings.Milliseconds(bounds.RollbackMS)/permitDivisor, minPermitTTL), maxPermitTTL)
	return Policy{
		ExposureShare: share, ExposureSlack: bounds.BadSlack,
		PermitTTL: ttl, ExchangeInterval: ttl / exchangesPerPermit, LatchTime: latchPermits * ttl, SilenceLimit: silencePermits * ttl,
	}
}

// Budget returns the exposure that a rollout may cause, as the time for which all of the
// service's traffic may go to a version that may be bad. requestsPerS is the rate of the
// service's requests, 0 if it is unknown.
func (p Policy) Budget(term time.Duration, requestsPerS float64) time.Duration {
	budget := p.ExposureShare * float64(term)
	if requestsPerS > 0 {
		budget += min(p.ExposureSlack/requestsPerS*float64(time.Second), float64(term)/maxSlackDivisor)
	}
	return time.Duration(usableExposure * budget)
}

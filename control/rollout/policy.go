package rollout

import (
	"time"

	"onyxwell/base/settings"
)

// Policy is what follows from the bounds of the settings.
type Policy struct {
	// ExposureShare is the part of a service's requests, between an order and its term, that
	// a bad version may get; ExposureSlack are requests beyond it.
	ExposureShare float64
	ExposureSlack float64
	// PermitTTL is how long a permit lasts from when it was asked for.
	PermitTTL time.Duration
	// ExchangeInterval is the time between two messages of a router to its relay, and of a
	// relay to the director, while a rollout is in progress.
	ExchangeInterval time.Duration
	// LatchTime is for how long a router that has confirmed that it sends nothing to old
	// runners keeps to it, also without a permit.
	LatchTime time.Duration
	// SilenceLimit is after how long a zone that is not heard is not waited for any more: its
	// routers have no permit by then.
	SilenceLimit time.Duration
}

const (
	// defaultExposureShare holds where the settings have no bad_share.
	defaultExposureShare = 0.1
	// usableExposure is the part of the allowed exposure that is planned with.
	usableExposure = 0.8
	// permitDivisor is the part of the time for a rollback, one in so many, that a permit
	// lasts; the rest is for finding out, and for the way of the news.
	permitDivisor = 4
	// exchangesPerPermit is how often a permit is renewed in its life.
	exchangesPerPermit = 5
	// latchPermits and silencePermits are LatchTime and SilenceLimit in lives of a permit.
	latchPermits   = 3
	silencePermits = 4
	// maxSlackDivisor is the part of a term, one in so many, that the slack counts for at most.
	maxSlackDivisor = 4
	minPermitTTL    = 500 * time.Millisecond
	maxPermitTTL    = 2 * time.Second
)

// PolicyOf returns the policy that follows from the settings.
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

// Budget returns how long the whole traffic of a service may go to a version that may be
// bad, for a rollout with a term and a service that gets so many requests a second; 0 is not
// known.
func (p Policy) Budget(term time.Duration, requestsPerS float64) time.Duration {
	budget := p.ExposureShare * float64(term)
	if requestsPerS > 0 {
		budget += min(p.ExposureSlack/requestsPerS*float64(time.Second), float64(term)/maxSlackDivisor)
	}
	return time.Duration(usableExposure * budget)
}

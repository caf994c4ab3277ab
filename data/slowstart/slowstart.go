// Package slowstart limits the rate of requests to runners that are warming up, and to
// those that may be: an unverified runner got no requests for a while, so that it may have
// become cold, and has not reported since that it is warm.
//
// Invariant: within any second, all routers together send a runner in slow start at most
// its rate plus one request per router. Each router spaces its requests by the number of
// routers divided by the rate, and allows no bursts.
package slowstart

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// Limit is the rate limit for a service's runners in slow start.
type Limit struct {
	// RequestsPerSecond is the rate per runner; 0 means no limit.
	RequestsPerSecond float64
	// Routers is the number of routers that share the rate. If it is 0, this router must
	// not send to runners in slow start.
	Routers int
}

// Tracker tracks which runners are in slow start, and when each may get its next
// request from this router. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	runners map[ids.RunnerID]*runnerState
	// checked holds the unverified runners that DueChecks returns.
	checked map[ids.RunnerID]*runnerState
	// maxPause and tickedAt detect that the process was suspended; see DetectPauses.
	maxPause time.Duration
	tickedAt clock.Instant
	// hasList is set once Update was called with a nonempty list of runners.
	hasList bool
	random  func() float64
}

type runnerState struct {
	// startedAt is the time at which this router learned of the slow start; until is the
	// time at which the slow start ends.
	startedAt clock.Instant
	until     clock.Instant
	// warmup is the duration of a whole warm-up, and local is Runner.Local.
	warmup time.Duration
	local  bool
	// unverifiedSince is the time since which the runner is unverified, or 0 if it is not.
	// Its next health check, if any, is due at nextCheck.
	unverifiedSince clock.Instant
	nextCheck       clock.Instant
	// nextAdmission is the time from which the next request is admitted. It is valid
	// only if scheduled is set.
	nextAdmission clock.Instant
	scheduled     bool
}

// New returns a Tracker without runners. random returns a number in [0, 1). It spreads
// the first requests of routers that learn of a runner at the same time.
func New(random func() float64) *Tracker {
	return &Tracker{runners: map[ids.RunnerID]*runnerState{}, checked: map[ids.RunnerID]*runnerState{}, random: random}
}

// Runner is an entry of the list of runners.
type Runner struct {
	ID ids.RunnerID
	// Remaining is the remaining warm-up time according to the list.
	Remaining time.Duration
	// Warmup is the duration of a whole warm-up of the runner's service.
	Warmup time.Duration
	// Local reports whether the runner is unverified after a pause of this process.
	Local bool
}

// Update replaces the list of runners, which may be outdated by up to lag. A runner that
// was not on the previous list is in slow start for at least its whole warm-up, whatever
// the list says. On the first list that is not empty, only Remaining counts.
func (t *Tracker) Update(runners []Runner, lag time.Duration, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := map[ids.RunnerID]bool{}
	for _, runner := range runners {
		listed[runner.ID] = true
		state := t.runners[runner.ID]
		if state == nil {
			state = &runnerState{}
			t.runners[runner.ID] = state
			if t.hasList && runner.Warmup > 0 {
				state.extend(now.Add(runner.Warmup+lag), now)
			}
		}
		state.warmup, state.local = runner.Warmup, runner.Local
		if runner.Remaining > 0 {
			state.extend(now.Add(runner.Remaining+lag), now)
		}
	}
	for id := range t.runners {
		if !listed[id] {
			delete(t.runners, id)
			delete(t.checked, id)
		}
	}
	t.hasList = t.hasList || len(runners) > 0
}

// Extend extends the slow start of a runner at least to the given time, or starts one.
// Runners that are not listed are ignored.
func (t *Tracker) Extend(id ids.RunnerID, until clock.Instant, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.runners[id]; state != nil {
		state.extend(until, now)
	}
}

// extend extends a slow start at least to the given time, or starts one.
func (r *runnerState) extend(until clock.Instant, now clock.Instant) {
	if !r.active(now) {
		r.startedAt, r.scheduled = now, false
	}
	if r.until.Before(until) {
		r.until = until
	}
}

func (r *runnerState) active(now clock.Instant) bool {
	return now.Before(r.until) || r.unverified(now)
}

// unverified reports whether the runner may have become cold while it got no requests. If
// it did, a whole warm-up later it is warm again.
func (r *runnerState) unverified(now clock.Instant) bool {
	return r.unverifiedSince != 0 && now.Before(r.unverifiedSince.Add(r.warmup))
}

// Active reports whether a runner is in slow start.
func (t *Tracker) Active(id ids.RunnerID, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.runners[id]
	return state != nil && state.active(now)
}

// CanAdmit reports whether Admit would admit a request now.
func (t *Tracker) CanAdmit(id ids.RunnerID, limit Limit, now clock.Instant) bool {
	return t.admit(id, limit, now, false)
}

// Admit reports whether a request may be sent to a runner now, and counts it if so.
// Runners that are unknown or not in slow start are not limited.
func (t *Tracker) Admit(id ids.RunnerID, limit Limit, now clock.Instant) bool {
	return t.admit(id, limit, now, true)
}

// admit reports whether a request is within the limit. If consume is set, an admitted
// request is counted.
func (t *Tracker) admit(id ids.RunnerID, limit Limit, now clock.Instant, consume bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	state := t.runners[id]
	if state == nil || limit.RequestsPerSecond <= 0 || !state.active(now) {
		return true
	}
	if limit.Routers <= 0 {
		return false
	}
	interval := float64(time.Second) * float64(limit.Routers) / limit.RequestsPerSecond
	if !state.scheduled {
		state.scheduled, state.nextAdmission = true, state.startedAt.Add(time.Duration(interval*t.random()))
	}
	if now.Before(state.nextAdmission) {
		return false
	}
	if consume {
		state.nextAdmission = now.Add(time.Duration(interval))
	}
	return true
}

package slowstart

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// SetWarmups updates the duration of a whole warm-up of listed runners.
func (t *Tracker) SetWarmups(runners []Runner) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, runner := range runners {
		if state := t.runners[runner.ID]; state != nil {
			state.warmup = runner.Warmup
		}
	}
}

// Unverify puts runners that get requests again after they got none into slow start until
// Verify is called, at most for a whole warm-up. If check is set, DueChecks returns them.
// Runners that are not listed are ignored.
func (t *Tracker) Unverify(runners []ids.RunnerID, check bool, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range runners {
		state := t.runners[id]
		if state == nil {
			continue
		}
		state.unverify(now)
		if check {
			t.checked[id] = state
		}
	}
}

func (r *runnerState) unverify(now clock.Instant) {
	if !r.active(now) {
		r.startedAt, r.scheduled = now, false
	}
	r.unverifiedSince, r.nextCheck = now, now
}

// DetectPauses has all local runners unverified when no call of Tick came for longer than
// maxPause: the process was suspended, so that the list may not show which runners have
// become cold meanwhile.
func (t *Tracker) DetectPauses(maxPause time.Duration, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxPause, t.tickedAt = maxPause, now
}

// Tick records that the process is running.
func (t *Tracker) Tick(now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.detectPause(now)
	t.tickedAt = now
}

// detectPause unverifies the local runners if the last call of Tick is too long ago. The
// caller holds the lock.
func (t *Tracker) detectPause(now clock.Instant) {
	if t.maxPause <= 0 || now.Since(t.tickedAt) <= t.maxPause {
		return
	}
	t.tickedAt = now
	for id, state := range t.runners {
		if state.local {
			state.unverify(now)
			t.checked[id] = state
		}
	}
}

// DueChecks returns the unverified runners whose next health check is due, and schedules
// another one after the interval. While the warm-up time is not known yet, since there is
// no configuration, checks end with Verify only.
func (t *Tracker) DueChecks(now clock.Instant, interval time.Duration) []ids.RunnerID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []ids.RunnerID
	for id, state := range t.checked {
		switch {
		case state.unverifiedSince == 0 || (state.warmup > 0 && !state.unverified(now)):
			delete(t.checked, id)
		case !now.Before(state.nextCheck):
			due = append(due, id)
			state.nextCheck = now.Add(interval)
		}
	}
	return due
}

// Verify records that a runner reported its remaining warm-up time, 0 if it is warm, in
// response to a health check that was sent at askedAt. A report that was asked for before
// the runner became unverified proves nothing.
func (t *Tracker) Verify(id ids.RunnerID, remaining time.Duration, askedAt clock.Instant, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.runners[id]
	if state == nil {
		return
	}
	if remaining > 0 {
		state.extend(now.Add(remaining), now)
	}
	if !askedAt.Before(state.unverifiedSince) {
		state.unverifiedSince = 0
	}
}

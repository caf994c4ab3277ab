package runnerstats

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// maxProbeShift limits the exponential backoff between probes to 2^maxProbeShift
	// times the first interval.
	maxProbeShift = 3
	// relapseWindow is the time after the end of a suspicion within which another one
	// counts as a relapse. The first probe after a relapse is delayed by
	// relapseBackoff, which doubles with each further relapse, at most maxRelapses
	// times. Without the delay, a runner that fails requests but passes its health
	// checks would be cleared at once every time.
	relapseWindow  = 5 * time.Second
	relapseBackoff = time.Second / 4
	maxRelapses    = 4
	// unhealthyReplyLimit is the number of unhealthy replies to probes after which a
	// runner gets requests anyway, since health checks can be wrong either way.
	unhealthyReplyLimit = 4
)

// probeState is the state of a runner's suspicion and its probes.
type probeState struct {
	// suspectedAt is the time at which the current suspicion was raised.
	suspectedAt clock.Instant
	// probes is the number of probes of the current suspicion, and unhealthyReplies
	// the number of those that reported the runner as unhealthy. nextProbe is the time
	// at which the next probe is due.
	probes           int
	unhealthyReplies int
	nextProbe        clock.Instant
	// relapses is the number of consecutive relapses, up to maxRelapses. clearedAt is
	// the time at which the last suspicion ended, 0 if there was none.
	relapses  int
	clearedAt clock.Instant
}

// DueProbes returns the suspects whose next probe is due and schedules the one after
// it. The interval between probes doubles from first up to 8 times first.
func (c *Collector) DueProbes(now clock.Instant, first time.Duration) []ids.RunnerID {
	var due []ids.RunnerID
	c.eachShard(func(runners map[ids.RunnerID]*runner) {
		for id, r := range runners {
			if r.Suspect && !now.Before(r.probing.nextProbe) {
				due = append(due, id)
				r.probing.nextProbe = now.Add(first << min(r.probing.probes, maxProbeShift))
				r.probing.probes++
			}
		}
	})
	return due
}

// Suspect raises a suspicion of a runner for a reason other than the end of a request.
func (c *Collector) Suspect(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(r *runner) { r.suspect(now) })
}

// suspect raises a suspicion unless there is one already. The first probe is due
// immediately or, after a relapse, after a backoff.
func (r *runner) suspect(now clock.Instant) {
	if r.Suspect {
		return
	}
	p := &r.probing
	r.Suspect, p.suspectedAt, p.probes, p.unhealthyReplies, p.nextProbe = true, now, 0, 0, now
	if !p.clearedWithin(relapseWindow, now) {
		p.relapses = 0
		return
	}
	p.nextProbe = now.Add(relapseBackoff << p.relapses)
	p.relapses = min(maxRelapses, p.relapses+1)
}

// clearedWithin reports whether the last suspicion ended within the window before now.
func (p *probeState) clearedWithin(window time.Duration, now clock.Instant) bool {
	return p.clearedAt != 0 && now.Since(p.clearedAt) <= window
}

// RecordUnhealthy records a probe that reported the runner as unhealthy. It returns
// whether the suspicion should be cleared anyway.
func (c *Collector) RecordUnhealthy(id ids.RunnerID) bool {
	shouldClear := false
	c.update(id, func(r *runner) {
		r.probing.unhealthyReplies++
		shouldClear = r.probing.unhealthyReplies >= unhealthyReplyLimit
	})
	return shouldClear
}

// ClearSuspicion clears the suspicion of a runner and counts as a sign of life.
func (c *Collector) ClearSuspicion(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(r *runner) { r.markAlive(now) })
}

// markAlive records a sign of life and clears a suspicion. It returns for how long the
// runner was suspected or silent, and therefore got no requests.
func (r *runner) markAlive(now clock.Instant) (excluded time.Duration) {
	excluded = r.silentFor(now)
	if r.Suspect {
		excluded = max(excluded, now.Since(r.probing.suspectedAt))
		r.probing.clearedAt = now
	}
	r.Suspect, r.LastSeen = false, now
	return excluded
}

// StopProbing clears the suspicion of a runner that is no longer listed, so that it is
// not probed again. It does not count as a sign of life.
func (c *Collector) StopProbing(id ids.RunnerID) {
	c.update(id, func(r *runner) { r.Suspect = false })
}

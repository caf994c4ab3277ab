package runnerstats

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

const (
	// maxProbeShift bounds the backoff between probes, to 2^maxProbeShift times the
	// first interval.
	maxProbeShift = 3
	// relapseWindow is within what time after a suspicion ended another one is a
	// relapse. Its first probe is delayed, since the runner's health check may
	// succeed all the while: by relapseBackoff, doubled with each further relapse,
	// maxRelapses times at most.
	relapseWindow  = 5 * time.Second
	relapseBackoff = time.Second / 4
	maxRelapses    = 4
	// unhealthyReplyLimit is after how many replies that call the runner unhealthy
	// it is tried nevertheless: health checks can be wrong either way.
	unhealthyReplyLimit = 4
)

// probeState is the state of a runner's suspicions.
type probeState struct {
	// probes counts the probes of the current suspicion, unhealthyReplies those that
	// called the runner unhealthy; nextProbe is when the next is due.
	probes           int
	unhealthyReplies int
	nextProbe        clock.Instant
	// relapses counts the relapses in a row, clearedAt is when the last suspicion
	// ended.
	relapses  int
	clearedAt clock.Instant
}

// DueProbes returns the suspects whose next probe is due, and schedules the one
// after it: the interval doubles from first up to eight times as long.
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

// Suspect begins a suspicion on other evidence than a request's end.
func (c *Collector) Suspect(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(r *runner) { r.suspect(now) })
}

// suspect begins a suspicion, unless there is one. Its first probe is due at once
// or, for a relapse, after a backoff.
func (r *runner) suspect(now clock.Instant) {
	if r.Suspect {
		return
	}
	p := &r.probing
	r.Suspect, p.probes, p.unhealthyReplies, p.nextProbe = true, 0, 0, now
	if !p.clearedWithin(relapseWindow, now) {
		p.relapses = 0
		return
	}
	p.nextProbe = now.Add(relapseBackoff << p.relapses)
	p.relapses = min(maxRelapses, p.relapses+1)
}

// clearedWithin reports whether a suspicion ended within the time before now.
func (p *probeState) clearedWithin(window time.Duration, now clock.Instant) bool {
	return p.clearedAt != 0 && now.Since(p.clearedAt) <= window
}

// RecordUnhealthy records a probe to which the runner replied that it is
// unhealthy; it reports whether the suspicion should be cleared nevertheless.
func (c *Collector) RecordUnhealthy(id ids.RunnerID) bool {
	shouldClear := false
	c.update(id, func(r *runner) {
		r.probing.unhealthyReplies++
		shouldClear = r.probing.unhealthyReplies >= unhealthyReplyLimit
	})
	return shouldClear
}

// ClearSuspicion ends the suspicion of a runner whose probe succeeded.
func (c *Collector) ClearSuspicion(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(r *runner) { r.markAlive(now) })
}

// markAlive records a sign of life.
func (r *runner) markAlive(now clock.Instant) {
	if r.Suspect {
		r.probing.clearedAt = now
	}
	r.Suspect, r.LastSeen = false, now
}

// StopProbing ends the suspicion of a runner that is listed no more, so that it is not
// probed again. It is no sign of life.
func (c *Collector) StopProbing(id ids.RunnerID) {
	c.update(id, func(r *runner) { r.Suspect = false })
}

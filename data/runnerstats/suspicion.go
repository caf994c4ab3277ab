package runnerstats

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// DueProbes gives the doubted runners whose next test is due, and puts the one after
// it off: the pause doubles from the first to eight times as long.
func (c *Collector) DueProbes(now clock.Instant, first clock.Span) []ids.RunnerID {
	var found []ids.RunnerID
	for index := range c.shards {
		part := &c.shards[index]
		part.mu.Lock()
		for id, ledger := range part.states {
			if ledger.Suspect && !now.Before(ledger.nextProbe) {
				found = append(found, id)
				ledger.nextProbe = now.Add(first << min(ledger.probes, 3))
				ledger.probes++
			}
		}
		part.mu.Unlock()
	}
	return found
}

// Suspect doubts a runner on other evidence than a request's.
func (c *Collector) Suspect(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(ledger *State) { ledger.suspect(now) })
}

// A runner that falls again within relapse of the last doubt rests before its
// next test, longer with each fall: its health answer may be good all the while.
const (
	relapseWindow  = 5 * clock.Second
	relapseBackoff = clock.Second / 4
	maxRelapses    = 4
)

func (s *State) suspect(now clock.Instant) {
	if s.Suspect {
		return
	}
	s.Suspect, s.probes, s.unhealthyReplies, s.nextProbe = true, 0, 0, now
	if s.clearedAt == 0 || now.Since(s.clearedAt) > relapseWindow {
		s.relapses = 0
		return
	}
	s.nextProbe = now.Add(relapseBackoff << s.relapses)
	s.relapses = min(maxRelapses, s.relapses+1)
}

// unhealthyReplyLimit is how often a runner may say that it is ill before it is tried all
// the same: health answers can be false either way.
const unhealthyReplyLimit = 4

// RecordUnhealthy notes that a doubted runner answered a test by saying that it is ill;
// it tells whether the runner should be tried with requests nevertheless.
func (c *Collector) RecordUnhealthy(id ids.RunnerID) bool {
	try := false
	c.update(id, func(ledger *State) {
		ledger.unhealthyReplies++
		try = ledger.unhealthyReplies >= unhealthyReplyLimit
	})
	return try
}

// ClearSuspicion ends the doubt about a runner that a test found well.
func (c *Collector) ClearSuspicion(id ids.RunnerID, now clock.Instant) {
	c.update(id, func(ledger *State) { ledger.markAlive(now) })
}

// markAlive ends the doubt about a runner.
func (s *State) markAlive(now clock.Instant) {
	if s.Suspect {
		s.clearedAt = now
	}
	s.Suspect, s.LastSeen = false, now
}

// Unlist forgets a runner that is listed no more.
func (c *Collector) Unlist(id ids.RunnerID) {
	c.update(id, func(ledger *State) { ledger.Suspect = false })
}

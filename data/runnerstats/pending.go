package runnerstats

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// overdueFactor is after how many times its latency target a pending request
// counts as a failure of its runner, though it may still complete.
const overdueFactor = 2

// pendingRequest is a request without a response yet.
type pendingRequest struct {
	sentAt        clock.Instant
	priority      int
	latencyTarget time.Duration
	// overdue says that it was counted as failed.
	overdue bool
}

// SilentFor returns for how long the oldest pending request at a runner has waited
// since it was sent or since the runner's last sign of life; 0 where none is
// pending.
func (c *Collector) SilentFor(id ids.RunnerID, now clock.Instant) time.Duration {
	silence := time.Duration(0)
	c.update(id, func(r *runner) {
		for _, req := range r.pending {
			since := req.sentAt
			if since.Before(r.LastSeen) {
				since = r.LastSeen
			}
			silence = max(silence, now.Since(since))
		}
	})
	return silence
}

// QueuedFor returns how many requests of a priority are pending at a runner, and
// for how long the oldest of them.
func (c *Collector) QueuedFor(id ids.RunnerID, priority int, now clock.Instant) (count int, oldest time.Duration) {
	c.update(id, func(r *runner) {
		for _, req := range r.pending {
			if req.priority == priority {
				count++
				oldest = max(oldest, now.Since(req.sentAt))
			}
		}
	})
	return count, oldest
}

// countOverdue counts requests that hang as failures: by the time that they end,
// the clients would long have given up.
func (r *runner) countOverdue(now clock.Instant) {
	for number, req := range r.pending {
		if !req.overdue && req.latencyTarget > 0 && now.Since(req.sentAt) > overdueFactor*req.latencyTarget {
			req.overdue = true
			r.pending[number] = req
			r.totals.failed++
		}
	}
}

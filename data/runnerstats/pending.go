package runnerstats

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// overdueFactor is the multiple of its latency target after which a pending request
// counts as a failure of its runner, although it may still complete.
const overdueFactor = 2

// pendingRequest is a request in flight without a response.
type pendingRequest struct {
	sentAt        clock.Instant
	priority      int
	latencyTarget time.Duration
	// overdue reports that the request was counted as failed already.
	overdue bool
}

// SilentFor returns how long the oldest pending request at a runner has waited since it
// was sent or since the runner's last sign of life, whichever is later. It returns 0 if
// no request is pending.
func (c *Collector) SilentFor(id ids.RunnerID, now clock.Instant) time.Duration {
	silence := time.Duration(0)
	c.update(id, func(r *runner) { silence = r.silentFor(now) })
	return silence
}

func (r *runner) silentFor(now clock.Instant) time.Duration {
	silence := time.Duration(0)
	for _, req := range r.pending {
		since := req.sentAt
		if since.Before(r.LastSeen) {
			since = r.LastSeen
		}
		silence = max(silence, now.Since(since))
	}
	return silence
}

// QueuedFor returns the number of requests of a priority that are pending at a runner,
// and how long the oldest of them has been.
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

// countOverdue counts overdue requests as failures. Counting them only when they end
// would be too late, since their clients will have given up long before.
func (r *runner) countOverdue(now clock.Instant) {
	for number, req := range r.pending {
		if !req.overdue && req.latencyTarget > 0 && now.Since(req.sentAt) > overdueFactor*req.latencyTarget {
			req.overdue = true
			r.pending[number] = req
			r.totals.failed++
		}
	}
}

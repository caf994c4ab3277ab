package usage

import (
	"context"
	"net/http"

	"onyxwell/control/duty"
)

// retryDivisor sets the pause after a call that the platform did not accept: the length of a
// window divided by retryDivisor.
const retryDivisor = 10

// reportNext sends the report of the oldest decided window that the platform has not
// acknowledged. It returns true if the platform accepted it, so that the next one may follow
// immediately.
func (c *Collector) reportNext(ctx context.Context, fence int64) bool {
	decision, ok := c.nextPending()
	if !ok {
		return false
	}
	status, err := c.options.Call(ctx, fence, duty.Call{Path: "/usage", Body: decision.Body})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fence != fence {
		return false
	}
	if err == nil && status >= http.StatusOK && status < http.StatusMultipleChoices {
		c.acknowledged = max(c.acknowledged, decision.Window)
		c.stats.Reported++
		return true
	}
	c.stats.Failed++
	if err == nil && isFinal(status) {
		// The platform would reject the same bytes again, and retries would delay all later
		// windows.
		c.acknowledged = max(c.acknowledged, decision.Window)
	}
	c.retryAt = c.options.Clock.Now().Add(c.options.Window / retryDivisor)
	if c.options.Log != nil {
		c.options.Log.Warn().Str("part", "usage").Int64("window", decision.Window).Int("status", status).Err(err).Msg("usage report failed")
	}
	return false
}

// isFinal reports whether a status means that the platform will never accept the report.
func isFinal(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusRequestEntityTooLarge || status == http.StatusUnprocessableEntity
}

func (c *Collector) nextPending() (Decision, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.options.Clock.Now().Before(c.retryAt) {
		return Decision{}, false
	}
	for _, decision := range c.log.Pending {
		if decision.Window > c.acknowledged {
			return decision, true
		}
	}
	return Decision{}, false
}

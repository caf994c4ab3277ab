package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/router"
	"onyxwell/data/upstream"
	"onyxwell/emulator/client"
	"onyxwell/emulator/oracle"
	"onyxwell/soak/localcluster"
)

// limitedTenant is the one whose quota the soak checks; its requests go to every
// router.
var limitedTenant = client.Tenant{Name: "gamma", APIKeys: []string{"key-of-gamma"}, RatePerSecond: 100, Burst: 100}

const (
	// hotClients send hotFactor times the quota together, all through the run.
	hotClients = 6
	hotFactor  = 3
	// calmPart is the part of the quota that is sent once all faults are over, for
	// calmTime, and calmLosses how many of those requests may be rejected.
	calmPart   = 0.5
	calmTime   = 3 * time.Second
	calmLosses = 3
)

// quotaRecord is when requests of limitedTenant ran. It is safe for concurrent use.
type quotaRecord struct {
	mu  sync.Mutex
	ran []clock.Instant
}

// record takes a run of a runner, if it is one of limitedTenant.
func (q *quotaRecord) record(run oracle.Run, now clock.Instant) {
	if run.Tenant != limitedTenant.Name || run.Rejected {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ran = append(q.ran, now)
}

// worstWindow returns the most requests that ran in a window.
func (q *quotaRecord) worstWindow(window time.Duration) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	worst, first := 0, 0
	for last, at := range q.ran {
		for q.ran[first].Add(window).Before(at) {
			first++
		}
		worst = max(worst, last-first+1)
	}
	return worst
}

// ranBetween returns how many requests ran from one instant to before another.
func (q *quotaRecord) ranBetween(from clock.Instant, to clock.Instant) (count int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, at := range q.ran {
		if !at.Before(from) && at.Before(to) {
			count++
		}
	}
	return count
}

// runHotClient sends requests of limitedTenant until ctx ends, its part of hotFactor
// times the quota.
func (c *cluster) runHotClient(ctx context.Context) {
	interval := time.Duration(hotClients * float64(time.Second) / (hotFactor * limitedTenant.RatePerSecond))
	sender := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer sender.CloseIdleConnections()
	for c.wait(ctx, interval) {
		_, _ = c.sendLimited(context.WithoutCancel(ctx), sender)
	}
}

// sendLimited sends a request of limitedTenant to a router and returns the status.
func (c *cluster) sendLimited(ctx context.Context, sender *http.Client) (status int, err error) {
	routers := c.machinesByRole(router.Role)
	target := routers[rand.IntN(len(routers))]
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.Address(localcluster.FrontPort)+"/"+serviceNames[0]+"/unsafe/exam", nil)
	if err != nil {
		return 0, err
	}
	req.Host = client.Host
	req.Header.Set(upstream.AttemptIDHeader, fmt.Sprintf("%s%x", checkAttemptPrefix, rand.Uint64()))
	req.Header.Set(upstream.APIKeyHeader, limitedTenant.APIKeys[0])
	resp, err := sender.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// sendCalmly sends calmPart of limitedTenant's quota until ctx ends, and returns how many
// requests were rejected.
func (c *cluster) sendCalmly(ctx context.Context) (rejected int) {
	interval := time.Duration(float64(time.Second) / (calmPart * limitedTenant.RatePerSecond))
	sender := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer sender.CloseIdleConnections()
	for c.wait(ctx, interval) {
		if status, _ := c.sendLimited(context.WithoutCancel(ctx), sender); status == http.StatusTooManyRequests {
			rejected++
		}
	}
	return rejected
}

// checkQuota checks that half of the quota is served once all faults are over, and
// that in no window of the whole run more ran than may.
func (c *cluster) checkQuota(ctx context.Context) {
	calm, end := c.clock.WithTimeout(ctx, calmTime)
	defer end()
	rejected := c.sendCalmly(calm)
	if rejected > calmLosses {
		c.addFinding("QUOTA", "%d requests of a tenant at %g of its quota are rejected in calm", rejected, calmPart)
	}
	window := time.Duration(localcluster.QuotaWindowS) * time.Second
	allowed := (limitedTenant.RatePerSecond*localcluster.QuotaWindowS+limitedTenant.Burst)*(1+localcluster.QuotaExcess) + localcluster.QuotaSlack
	if worst := c.quota.worstWindow(window); float64(worst) > allowed {
		c.addFinding("QUOTA", "%d requests of a tenant ran in %v, %.0f may", worst, window, allowed)
	}
}

package proxy

import (
	"net/http"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/balancer"
	"onyxwell/data/canary"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// attempt is one sending of a request that is under way.
type attempt struct {
	request   upstream.Attempt
	admission *balancer.Admission
	runner    *snapshot.Runner
	arm       canary.Arm
	number    uint64
	startedAt clock.Instant
	// firstByte is how long the head of the response took; 0 where there was none.
	firstByte time.Duration
	// resumes says that the rest of a stream is asked for.
	resumes bool
	// began says that the runner's response began, slow that it did so late.
	began bool
	slow  bool
}

// attemptRecord is an attempt that has ended.
type attemptRecord struct {
	runner   ids.RunnerID
	outcome  upstream.Outcome
	cause    string
	duration time.Duration
}

// mayHaveRun returns whether the runner may have begun to work.
func (a attemptRecord) mayHaveRun() bool {
	return a.outcome != upstream.Unsent && a.outcome != upstream.Rejected
}

// reachedRunner returns whether the runner counts it as an arrival.
func (a attemptRecord) reachedRunner() bool { return a.outcome != upstream.Unsent }

// mayHaveRun returns whether any attempt so far may have run.
func (e *exchange) mayHaveRun() bool {
	for _, record := range e.attempts {
		if record.mayHaveRun() {
			return true
		}
	}
	return false
}

// slowResponseDivisor says after which part of its latency target a response
// counts as slow, as 1/slowResponseDivisor.
const slowResponseDivisor = 4

// responseBegan counts the head of a runner's response.
func (e *exchange) responseBegan(a *attempt) {
	now := e.proxy.clock.Now()
	a.began = true
	a.firstByte = now.Since(a.startedAt)
	a.slow = now.Since(e.arrivedAt) > e.route.LatencyTarget()/slowResponseDivisor
	tokens := e.balancerRequest.PartTokens
	e.proxy.stats.ResponseBegan(a.runner.ID, a.number, tokens, now)
	if tokens > 0 && !a.resumes {
		e.proxy.stats.ObserveFirstEvent(a.admission.Service(), e.route.Name, tokens, now.Since(a.startedAt))
	}
}

// endAttempt counts what came of an attempt. Its outcome differs from the
// result's where the body broke.
func (e *exchange) endAttempt(a *attempt, result upstream.Result, outcome upstream.Outcome) {
	now, stats := e.proxy.clock.Now(), e.proxy.stats
	ended := runnerstats.EndedRequest{
		Number: a.number, Tokens: e.balancerRequest.PartTokens, Began: a.began,
		Completed: outcome == upstream.Answered, Duration: now.Since(a.startedAt),
	}
	cause := result.Cause
	if result.Outcome != outcome {
		cause = "body"
	}
	e.recordAttempt(attemptRecord{runner: a.runner.ID, outcome: outcome, cause: cause, duration: ended.Duration})
	if ended.Completed && ended.Tokens == 0 {
		stats.ObserveFirstEvent(a.admission.Service(), e.route.Name, 1, ended.Duration)
	}
	if ended.Completed && !a.resumes {
		stats.ObserveCompletion(e.completionTotals(a, ended.Duration))
	}
	late := e.clientGone || e.req.Context().Err() != nil || !now.Before(e.deadline)
	ended.RunnerFailed = !ended.Completed && runnerFailed(result, late, ended, e.route.LatencyTarget())
	stats.RequestEnded(a.runner.ID, ended, now)
	e.observeVersion(a, result, ended, now)
}

// observeVersion counts an attempt for or against its runner's version. One that did not
// run, or that its client or its deadline ended, says nothing of it.
func (e *exchange) observeVersion(a *attempt, result upstream.Result, ended runnerstats.EndedRequest, now clock.Instant) {
	serverError := result.Response != nil && result.Response.StatusCode >= http.StatusInternalServerError
	failed := ended.RunnerFailed || (ended.Completed && serverError)
	if result.Outcome == upstream.Unsent || result.Outcome == upstream.Rejected || !(failed || ended.Completed) {
		return
	}
	observed := canary.Attempt{Service: a.admission.Service(), Route: e.route.Name, Runner: a.runner, Arm: a.arm, Failed: failed}
	if !failed && !a.resumes && !e.proxy.slowStart.Active(a.runner.ID, now) {
		observed.FirstByte, observed.Total = a.firstByte, ended.Duration
	}
	e.proxy.versions.Observe(observed)
}

// completionTotals is what a completed attempt adds to the statistics of
// lengths.
func (e *exchange) completionTotals(a *attempt, duration time.Duration) lengthstats.Totals {
	slow := 0.0
	if a.slow {
		slow = 1
	}
	return lengthstats.Totals{
		Key: a.admission.LengthKey(), Count: 1, DurationMS: float64(duration) / float64(time.Millisecond),
		Tokens: max(0, e.balancerRequest.PartTokens-e.balancerRequest.SharedTokens), SlowFirstTokens: slow,
	}
}

// runnerFailed returns whether an attempt that was not completed speaks against
// its runner. One that only rejected the request is healthy, unless it is
// another than the one that was meant. Where the time ran out or the client
// left, only silence of more than the latency target does. Nothing was sent on a
// stale connection or for want of this machine's descriptors: that says nothing
// of the runner.
func runnerFailed(result upstream.Result, late bool, ended runnerstats.EndedRequest, latencyTarget time.Duration) bool {
	if result.StaleConn || result.LocalExhaustion {
		return false
	}
	if result.Outcome == upstream.Rejected {
		return result.Response.StatusCode == http.StatusMisdirectedRequest
	}
	if late {
		return !ended.Began && ended.Duration > latencyTarget
	}
	return true
}

// recordAttempt keeps an attempt for the log and the checks that follow.
func (e *exchange) recordAttempt(record attemptRecord) {
	e.attempts = append(e.attempts, record)
	e.proxy.metrics.CountAttempt(record.outcome.String(), record.cause)
}

// discardTimeout is how long the rest of a rejection is waited for, so that its
// connection can be kept.
const discardTimeout = 50 * time.Millisecond

// discard reads a response that is not relayed to its end. One whose rest does
// not come is left to the end of the exchange, which closes it.
func discard(source clock.Clock, resp *http.Response) {
	if resp == nil || resp.Body == http.NoBody {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		upstream.DrainAndClose(resp)
	}()
	select {
	case <-done:
	case <-source.After(discardTimeout):
	}
}

// checkAttempt counts the promises that an attempt would break, right before it
// is sent: the balancer and the snapshot should have seen to them.
func (e *exchange) checkAttempt(runner *snapshot.Runner, timeLeft time.Duration, now clock.Instant) {
	monitor, route, id := e.proxy.monitor, e.route, e.upstreamRequest.AttemptID
	arrivals := 0
	for _, record := range e.attempts {
		if record.reachedRunner() {
			arrivals++
		}
	}
	if !route.Idempotent() && e.mayHaveRun() {
		monitor.Violated(invariant.RunOnce, "attempt %s of route %s is sent to %s after %v", id, route.Name, runner.ID, e.attempts)
	}
	if arrivals >= max(1, route.MaxAttempts) {
		monitor.Violated(invariant.AttemptLimit, "attempt %s of route %s is sent to %s after %d of %d", id, route.Name, runner.ID, arrivals, route.MaxAttempts)
	}
	if !e.tenantChecked() {
		monitor.Violated(invariant.TenantKnown, "attempt %s of route %s is sent to %s as of tenant %q", id, route.Name, runner.ID, e.upstreamRequest.Tenant)
	}
	if !e.balancerRequest.AllowsRegion(runner.Region) {
		monitor.Violated(invariant.Home, "attempt %s of route %s is sent to %s in %s", id, route.Name, runner.ID, runner.Region)
	}
	if timeout := e.clientTimeout; timeout > 0 && now.Add(timeLeft).Since(e.arrivedAt) > timeout {
		monitor.Violated(invariant.DeadlineNotExtended, "attempt %s: %v left of %v", id, timeLeft, timeout)
	}
}

// tenantChecked returns whether the request goes out without a client's key and as
// one of the tenant that holds it, where the configuration has tenants.
func (e *exchange) tenantChecked() bool {
	cfg, req := e.snapshot.Config, e.upstreamRequest
	switch {
	case cfg.Tenants == nil:
		return true
	case req.Header[upstream.KeyHeader] != nil:
		return false
	case e.tenant == nil:
		return req.Tenant == "" && !cfg.RequiresKey(e.route)
	}
	return req.Tenant == e.tenant.Name
}

// checkResponse counts a response that is another attempt's, or a success
// without a runner's seal.
func (e *exchange) checkResponse(resp *http.Response) {
	id, sealed := resp.Header.Get(upstream.AttemptIDHeader), resp.Header.Get(upstream.SealHeader) != ""
	if id != e.upstreamRequest.AttemptID || (resp.StatusCode/100 == 2 && !sealed) {
		e.proxy.monitor.Violated(invariant.ResponseSeal, "attempt %s gets an answer of %q, status %d, sealed %v", e.upstreamRequest.AttemptID, id, resp.StatusCode, sealed)
	}
}

// checkEventOrder counts an event that does not follow the last one passed on.
func (e *exchange) checkEventOrder(events *upstream.EventReader) {
	if e.hasLastEventID && events.HasLastID && events.LastID != e.lastEventID && events.LastID != e.lastEventID+1 {
		e.proxy.monitor.Violated(invariant.EventOrder, "attempt %s gets event %d after %d", e.upstreamRequest.AttemptID, events.LastID, e.lastEventID)
	}
}

// checkRejection counts a promise that nothing ran where something may have.
func (e *exchange) checkRejection(kind errkind.Kind) {
	if kind.Response().NotRun && e.mayHaveRun() {
		e.proxy.monitor.Violated(invariant.PromiseNotRun, "attempt %s is answered %s after %v", e.upstreamRequest.AttemptID, kind, e.attempts)
	}
}

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

// attempt is an attempt in progress to have a runner execute the request.
type attempt struct {
	request   upstream.Attempt
	admission *balancer.Admission
	runner    *snapshot.Runner
	arm       canary.Arm
	number    uint64
	startedAt clock.Instant
	// timeToFirstByte is the time until the head of the response arrived; 0 if there
	// was no response to relay.
	timeToFirstByte time.Duration
	// resumes reports whether the attempt asks for the rest of a stream.
	resumes bool
	// began reports whether the head of a response to relay arrived.
	began bool
	// slow reports whether the head arrived late; see slowResponseDivisor.
	slow bool
}

// attemptRecord is the result of an attempt that has ended.
type attemptRecord struct {
	runner   ids.RunnerID
	outcome  upstream.Outcome
	cause    string
	duration time.Duration
}

// mayHaveRun reports whether the runner may have executed the request.
func (a attemptRecord) mayHaveRun() bool {
	return a.outcome != upstream.Unsent && a.outcome != upstream.Rejected
}

// reachedRunner reports whether the request may have arrived at the runner.
func (a attemptRecord) reachedRunner() bool { return a.outcome != upstream.Unsent }

// mayHaveRun reports whether any ended attempt may have been executed.
func (e *exchange) mayHaveRun() bool {
	for _, record := range e.attempts {
		if record.mayHaveRun() {
			return true
		}
	}
	return false
}

// slowResponseDivisor defines slow responses: those that begin later than
// 1/slowResponseDivisor of the latency target after the request's arrival.
const slowResponseDivisor = 4

// responseBegan records that the head of a runner's response has arrived.
func (e *exchange) responseBegan(a *attempt) {
	now := e.proxy.clock.Now()
	a.began = true
	a.timeToFirstByte = now.Since(a.startedAt)
	a.slow = now.Since(e.arrivedAt) > e.route.LatencyTarget()/slowResponseDivisor
	tokens := e.balancerRequest.PartTokens
	excluded := e.proxy.stats.ResponseBegan(a.runner.ID, a.number, tokens, now)
	e.unverifyReturned(a.runner.ID, excluded, now)
	if tokens > 0 && !a.resumes {
		e.proxy.stats.ObserveFirstEvent(a.admission.Service(), e.route.Name, tokens, now.Since(a.startedAt))
	}
}

// endAttempt records the outcome of an attempt. It differs from the outcome in
// result if relaying the body failed.
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
	ended.RunnerFailed = !ended.Completed && outcome != upstream.Unusable && runnerFailed(result, late, ended, e.route.LatencyTarget())
	excluded := stats.RequestEnded(a.runner.ID, ended, now)
	e.unverifyReturned(a.runner.ID, excluded, now)
	e.observeVersion(a, result, ended, now)
}

// maxVerifiedExclusion is the time without requests up to which a runner is taken for what
// it was before: a list of runners shows no sooner that it has become cold.
const maxVerifiedExclusion = time.Second

// unverifyReturned puts a runner that a response lets back into use into slow start until it
// reports that it is warm, if it got no requests for long because it was suspected or silent.
func (e *exchange) unverifyReturned(id ids.RunnerID, excluded time.Duration, now clock.Instant) {
	if excluded > maxVerifiedExclusion {
		e.proxy.slowStart.Unverify([]ids.RunnerID{id}, true, now)
	}
}

// observeVersion reports the success or failure of an attempt to the canary gate, which
// compares runner versions. Attempts that were not executed or that ended because of the
// client or the deadline are not reported.
func (e *exchange) observeVersion(a *attempt, result upstream.Result, ended runnerstats.EndedRequest, now clock.Instant) {
	serverError := result.Response != nil && result.Response.StatusCode >= http.StatusInternalServerError
	failed := ended.RunnerFailed || (ended.Completed && serverError)
	if result.Outcome == upstream.Unsent || result.Outcome == upstream.Rejected || !(failed || ended.Completed) {
		return
	}
	observed := canary.Attempt{Service: a.admission.Service(), Route: e.route.Name, Runner: a.runner, Arm: a.arm, Failed: failed}
	if !failed && !a.resumes && !e.proxy.slowStart.Active(a.runner.ID, now) {
		observed.FirstByte, observed.Total = a.timeToFirstByte, ended.Duration
	}
	e.proxy.canary.Observe(observed)
}

// completionTotals returns what a completed attempt adds to the statistics of
// request lengths.
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

// runnerFailed reports whether an attempt that was not completed counts as a
// failure of its runner:
//   - If nothing was sent because connections were stale or this machine lacked
//     resources such as file descriptors, it does not.
//   - A rejection counts only if its status is 421, which means that another
//     runner than the intended one was reached.
//   - If the deadline passed or the client left (late), it counts only if no
//     response began for longer than the latency target.
//   - Anything else counts.
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

// recordAttempt stores the result of an attempt for the checks before the next
// one and for the log, and counts it in the metrics.
func (e *exchange) recordAttempt(record attemptRecord) {
	e.attempts = append(e.attempts, record)
	e.proxy.metrics.CountAttempt(record.outcome.String(), record.cause)
}

// discardTimeout bounds the wait for the rest of a response that is not relayed.
// A connection can be reused only after the response has been read to its end.
const discardTimeout = 50 * time.Millisecond

// discard drains and closes a response that is not relayed. After discardTimeout
// it returns without waiting further: the goroutine that drains ends when the
// exchange does, which closes the connection.
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

// checkAttempt counts the invariants that an attempt is about to violate, right
// before it is sent. The balancer and the snapshot should have prevented that.
func (e *exchange) checkAttempt(runner *snapshot.Runner, timeLeft time.Duration, now clock.Instant) {
	monitor, route, id := e.proxy.monitor, e.route, e.upstreamRequest.AttemptID
	arrivals := 0
	for _, record := range e.attempts {
		if record.reachedRunner() {
			arrivals++
		}
	}
	if !route.Idempotent() && e.mayHaveRun() {
		monitor.Violated(invariant.RunOnce, "attempt %s of route %s may have been executed already and is sent to %s, after %v", id, route.Name, runner.ID, e.attempts)
	}
	if arrivals >= max(1, route.MaxAttempts) {
		monitor.Violated(invariant.AttemptLimit, "attempt %s of route %s is sent to %s after %d attempts of at most %d", id, route.Name, runner.ID, arrivals, route.MaxAttempts)
	}
	if !e.hasConsistentTenant() {
		monitor.Violated(invariant.TenantKnown, "attempt %s of route %s is sent to %s with the client's key, or with a wrong or missing tenant: %q", id, route.Name, runner.ID, e.upstreamRequest.Tenant)
	}
	if !e.balancerRequest.AllowsRegion(runner.Region) {
		monitor.Violated(invariant.Home, "attempt %s of route %s is sent to %s in region %s, which is no home region", id, route.Name, runner.ID, runner.Region)
	}
	if timeout := e.clientTimeout; timeout > 0 && now.Add(timeLeft).Since(e.arrivedAt) > timeout {
		monitor.Violated(invariant.DeadlineNotExtended, "attempt %s is sent with %v left, which ends after the client's timeout of %v", id, timeLeft, timeout)
	}
}

// hasConsistentTenant reports whether the request to runners carries no client key and
// names the tenant that the key identified, or no tenant if there was none and the route
// requires no key. It reports true if the configuration has no tenants.
func (e *exchange) hasConsistentTenant() bool {
	cfg, req := e.snapshot.Config, e.upstreamRequest
	switch {
	case cfg.Tenants == nil:
		return true
	case req.Header[upstream.APIKeyHeader] != nil:
		return false
	case e.tenant == nil:
		return req.Tenant == "" && !cfg.RequiresKey(e.route)
	}
	return req.Tenant == e.tenant.Name
}

// checkResponse counts a violation if a response has the id of another attempt or
// is a success without a runner's seal.
func (e *exchange) checkResponse(resp *http.Response) {
	id, sealed := resp.Header.Get(upstream.AttemptIDHeader), resp.Header.Get(upstream.SealHeader) != ""
	if id != e.upstreamRequest.AttemptID || (resp.StatusCode/100 == 2 && !sealed) {
		e.proxy.monitor.Violated(invariant.ResponseSeal, "attempt %s gets a response with attempt id %q, status %d, sealed %v", e.upstreamRequest.AttemptID, id, resp.StatusCode, sealed)
	}
}

// checkEventOrder counts a violation if the last id after an event was forwarded is
// lower than that before it. An event without an id leaves the last id unchanged.
func (e *exchange) checkEventOrder(previous upstream.EventID, last upstream.EventID) {
	unchanged := previous.String() == last.String()
	if previous.IsSet() && !unchanged && !last.After(previous) {
		e.proxy.monitor.Violated(invariant.EventOrder, "attempt %s gets event %s after %s", e.upstreamRequest.AttemptID, last, previous)
	}
}

// checkRejection counts a violation if a rejection promises that the request was
// not executed although it may have been.
func (e *exchange) checkRejection(kind errkind.Kind) {
	if kind.Response().NotRun && e.mayHaveRun() {
		e.proxy.monitor.Violated(invariant.PromiseNotRun, "attempt %s is rejected as %s, which promises no execution, after %v", e.upstreamRequest.AttemptID, kind, e.attempts)
	}
}

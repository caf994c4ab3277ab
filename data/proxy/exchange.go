package proxy

import (
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/balancer"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// actions are what the executor can do; each tells whether the visit is over.
var actions = map[balancer.Action]func(*exchange, scope.Scope, *balancer.Admission, balancer.Decision) bool{
	balancer.Send: (*exchange).attempt,
	balancer.Wait: func(visit *exchange, inner scope.Scope, _ *balancer.Admission, order balancer.Decision) bool {
		inner.Wait(order.Delay)
		return false
	},
	balancer.Fail: func(visit *exchange, _ scope.Scope, decision *balancer.Admission, order balancer.Decision) bool {
		visit.reject(order.Kind, "")
		visit.reason = "left out: " + decision.Exclusions().String()
		return true
	},
}

// run asks the decision and obeys until the visit is over.
func (e *exchange) run() {
	top := e.proxy.options.Scope.WithContext(e.request.Context())
	ctx, release := top.WithTimeout(e.deadline.Since(e.arrivedAt))
	defer release()
	decision := e.proxy.options.Balancer.Admit(e.balancerRequest)
	for {
		if top.Err() != nil {
			e.abort()
		}
		order := decision.Next(top.Now())
		if actions[order.Action](e, ctx, decision, order) {
			return
		}
	}
}

// attempt takes the request to a runner and its answer to the visitor.
func (e *exchange) attempt(ctx scope.Scope, decision *balancer.Admission, order balancer.Decision) bool {
	if e.headerSent && !e.hasLastEventID {
		// What was passed on had no ids, so that no other run can go on after it.
		e.abort()
	}
	options, runner := e.proxy.options, order.Runner
	begin := ctx.Now()
	if !decision.Confirm(runner, begin) {
		return false
	}
	trip := upstream.Attempt{
		Request: e.upstreamRequest, RunnerID: runner.ID, Address: runner.Address,
		TimeLeft: e.deadline.Since(begin), Urgency: e.route.Priority,
		Service: decision.Service(), AtMostOnce: !e.route.Idempotent(),
	}
	resumed := e.hasLastEventID
	if resumed {
		trip.LastEventID = strconv.FormatInt(e.lastEventID, 10)
	}
	e.checkAttempt(runner, trip.TimeLeft, begin)
	number := e.proxy.attemptSeq.Add(1)
	options.Stats.RequestSent(runner.ID, runnerstats.SentRequest{
		Service: decision.Service(), Number: number, Tokens: e.balancerRequest.PartTokens, Urgency: e.route.Priority,
		Goal: e.route.LatencyTarget(),
	}, begin)
	ending := runnerstats.EndedRequest{Number: number, Tokens: e.balancerRequest.PartTokens}
	result := options.Upstream.Send(ctx, trip)
	e.readRunnerHeaders(runner, result.Response)
	fate, over, slow := result.Outcome, false, 0.0
	if result.Outcome == upstream.Answered {
		ending.Began = true
		first := ctx.Now()
		if first.Since(e.arrivedAt) > e.route.LatencyTarget()/slowResponseDivisor {
			slow = 1
		}
		options.Stats.ResponseBegan(runner.ID, number, e.balancerRequest.PartTokens, first)
		if e.balancerRequest.PartTokens > 0 && !e.hasLastEventID {
			options.Stats.ObserveFirstEvent(decision.Service(), e.route.Name, e.balancerRequest.PartTokens, first.Since(begin))
		}
		fate, over = e.relay(ctx, runner, result.Response)
	} else {
		discard(ctx, result.Response)
	}
	now := ctx.Now()
	ending.Completed = fate == upstream.Answered
	ending.Duration = now.Since(begin)
	cause := result.Cause
	if result.Outcome != fate {
		cause = "body"
	}
	e.recordAttempt(runner, fate, cause, ending.Duration)
	if ending.Completed && e.balancerRequest.PartTokens == 0 {
		options.Stats.ObserveFirstEvent(decision.Service(), e.route.Name, 1, ending.Duration)
	}
	if ending.Completed && !resumed {
		options.Stats.ObserveCompletion(e.completionTotals(decision, ending.Duration, slow))
	}
	late := e.clientGone || e.request.Context().Err() != nil || !now.Before(e.deadline)
	ending.RunnerFailed = fate != upstream.Answered && runnerFailed(result, late, ending, e.route)
	options.Stats.RequestEnded(runner.ID, ending, now)
	if !result.StaleConn {
		decision.RecordOutcome(runner, fate)
	}
	if e.clientGone {
		e.abort()
	}
	return over
}

// discardTimeout is how long the rest of a refusal is waited for, so that its
// connection can be kept.
const discardTimeout = 50 * clock.Millisecond

// discard ends a response that is not passed on; one whose rest does not come is
// left to the end of the visit.
func discard(ctx scope.Scope, response *http.Response) {
	if response == nil || response.Body == http.NoBody {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		upstream.DrainAndClose(response)
	}()
	select {
	case <-done:
	case <-ctx.Clock.After(discardTimeout):
	}
}

// slowResponseDivisor is the part of its goal after which an answer began slowly.
const slowResponseDivisor = 4

// completionTotals is what the length of answers is learnt from.
func (e *exchange) completionTotals(decision *balancer.Admission, spent clock.Span, slow float64) lengthstats.Totals {
	return lengthstats.Totals{
		Key: decision.LengthKind(), Count: 1, DurationMS: float64(spent) / float64(clock.Millisecond),
		Tokens: max(0, e.balancerRequest.PartTokens-e.balancerRequest.SharedTokens), SlowFirstTokens: slow,
	}
}

// runnerFailed tells whether a fate speaks against the runner: one that only turned
// a request away is well; one that was silent for longer than an answer's goal
// is not. Nothing was sent on a kept connection that was too old, or for want of
// this machine's own descriptors: that says nothing of the runner.
func runnerFailed(result upstream.Result, late bool, ending runnerstats.EndedRequest, route *config.Route) bool {
	if result.StaleConn || result.LocalExhaustion {
		return false
	}
	if result.Outcome == upstream.Rejected {
		return result.Response.StatusCode == http.StatusMisdirectedRequest
	}
	if late {
		return !ending.Began && ending.Duration > route.LatencyTarget()
	}
	return true
}

// readRunnerHeaders takes what a runner says of itself in an answer's head.
func (e *exchange) readRunnerHeaders(runner *snapshot.Runner, response *http.Response) {
	if response == nil {
		return
	}
	now := e.proxy.options.Scope.Now()
	if load := response.Header.Get(upstream.LoadHeader); load != "" {
		e.proxy.options.Stats.ObserveLoad(runner.ID, load, now)
	}
	if left, err := strconv.ParseFloat(response.Header.Get(upstream.WarmupHeader), 64); err == nil && left > 0 {
		e.proxy.options.SlowStart.Extend(runner.ID, now.Add(settings.Milliseconds(left)), now)
	}
}

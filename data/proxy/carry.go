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

// acts are what the executor can do; each tells whether the visit is over.
var acts = map[balancer.Action]func(*visit, scope.Scope, *balancer.Admission, balancer.Decision) bool{
	balancer.Send: (*visit).send,
	balancer.Wait: func(visit *visit, inner scope.Scope, _ *balancer.Admission, order balancer.Decision) bool {
		inner.Wait(order.Delay)
		return false
	},
	balancer.Fail: func(visit *visit, _ scope.Scope, decision *balancer.Admission, order balancer.Decision) bool {
		visit.refuse(order.Kind, "")
		visit.reason = "left out: " + decision.Exclusions().String()
		return true
	},
}

// carry asks the decision and obeys until the visit is over.
func (v *visit) carry() {
	top := v.front.options.Scope.WithContext(v.request.Context())
	ctx, release := top.WithTimeout(v.limit.Since(v.since))
	defer release()
	decision := v.front.options.Gate.Admit(v.asking)
	for {
		if top.Err() != nil {
			v.abort()
		}
		order := decision.Next(top.Now())
		if acts[order.Action](v, ctx, decision, order) {
			return
		}
	}
}

// send takes the request to a runner and its answer to the visitor.
func (v *visit) send(ctx scope.Scope, decision *balancer.Admission, order balancer.Decision) bool {
	if v.begun && !v.known {
		// What was passed on had no ids, so that no other run can go on after it.
		v.abort()
	}
	options, runner := v.front.options, order.Runner
	begin := ctx.Now()
	if !decision.Confirm(runner, begin) {
		return false
	}
	trip := upstream.Attempt{
		Request: v.sent, RunnerID: runner.ID, Address: runner.Address,
		TimeLeft: v.limit.Since(begin), Urgency: v.route.Priority,
		Service: decision.Service(), AtMostOnce: !v.route.Idempotent(),
	}
	resumed := v.known
	if resumed {
		trip.LastEventID = strconv.FormatInt(v.last, 10)
	}
	v.checkSending(runner, trip.TimeLeft, begin)
	number := v.front.number.Add(1)
	options.Board.RequestSent(runner.ID, runnerstats.SentRequest{
		Service: decision.Service(), Number: number, Tokens: v.asking.PartTokens, Urgency: v.route.Priority,
		Goal: v.route.LatencyTarget(),
	}, begin)
	ending := runnerstats.EndedRequest{Number: number, Tokens: v.asking.PartTokens}
	result := options.Sender.Send(ctx, trip)
	v.hear(runner, result.Response)
	fate, over, slow := result.Outcome, false, 0.0
	if result.Outcome == upstream.Answered {
		ending.Began = true
		first := ctx.Now()
		if first.Since(v.since) > v.route.LatencyTarget()/slowPart {
			slow = 1
		}
		options.Board.ResponseBegan(runner.ID, number, v.asking.PartTokens, first)
		if v.asking.PartTokens > 0 && !v.known {
			options.Board.ObserveFirstEvent(decision.Service(), v.route.Name, v.asking.PartTokens, first.Since(begin))
		}
		fate, over = v.pass(ctx, runner, result.Response)
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
	v.sentTo(runner, fate, cause, ending.Duration)
	if ending.Completed && v.asking.PartTokens == 0 {
		options.Board.ObserveFirstEvent(decision.Service(), v.route.Name, 1, ending.Duration)
	}
	if ending.Completed && !resumed {
		options.Board.ObserveCompletion(v.answered(decision, ending.Duration, slow))
	}
	late := v.gone || v.request.Context().Err() != nil || !now.Before(v.limit)
	ending.RunnerFailed = fate != upstream.Answered && broken(result, late, ending, v.route)
	options.Board.RequestEnded(runner.ID, ending, now)
	if !result.StaleConn {
		decision.RecordOutcome(runner, fate)
	}
	if v.gone {
		v.abort()
	}
	return over
}

// discardWait is how long the rest of a refusal is waited for, so that its
// connection can be kept.
const discardWait = 50 * clock.Millisecond

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
	case <-ctx.Clock.After(discardWait):
	}
}

// slowPart is the part of its goal after which an answer began slowly.
const slowPart = 4

// answered is what the length of answers is learnt from.
func (v *visit) answered(decision *balancer.Admission, spent clock.Span, slow float64) lengthstats.Totals {
	return lengthstats.Totals{
		Key: decision.LengthKind(), Count: 1, DurationMS: float64(spent) / float64(clock.Millisecond),
		Tokens: max(0, v.asking.PartTokens-v.asking.SharedTokens), SlowFirstTokens: slow,
	}
}

// broken tells whether a fate speaks against the runner: one that only turned
// a request away is well; one that was silent for longer than an answer's goal
// is not. Nothing was sent on a kept connection that was too old, or for want of
// this machine's own descriptors: that says nothing of the runner.
func broken(result upstream.Result, late bool, ending runnerstats.EndedRequest, route *config.Route) bool {
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

// hear takes what a runner says of itself in an answer's head.
func (v *visit) hear(runner *snapshot.Runner, response *http.Response) {
	if response == nil {
		return
	}
	now := v.front.options.Scope.Now()
	if load := response.Header.Get(upstream.LoadHeader); load != "" {
		v.front.options.Board.ObserveLoad(runner.ID, load, now)
	}
	if left, err := strconv.ParseFloat(response.Header.Get(upstream.WarmupHeader), 64); err == nil && left > 0 {
		v.front.options.Warmth.Extend(runner.ID, now.Add(settings.Milliseconds(left)), now)
	}
}

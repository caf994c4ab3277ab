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
var acts = map[balancer.Act]func(*visit, scope.Scope, *balancer.Decision, balancer.Order) bool{
	balancer.Send: (*visit).send,
	balancer.Wait: func(visit *visit, inner scope.Scope, _ *balancer.Decision, order balancer.Order) bool {
		inner.Wait(order.Span)
		return false
	},
	balancer.Answer: func(visit *visit, _ scope.Scope, decision *balancer.Decision, order balancer.Order) bool {
		visit.refuse(order.Kind, "")
		visit.reason = "left out: " + decision.LeftOut().String()
		return true
	},
}

// carry asks the decision and obeys until the visit is over.
func (v *visit) carry() {
	top := v.front.options.Scope.WithContext(v.request.Context())
	ctx, release := top.WithTimeout(v.limit.Since(v.since))
	defer release()
	decision := v.front.options.Gate.Begin(v.asking)
	for {
		if top.Err() != nil {
			v.abort()
		}
		order := decision.Ask(top.Now())
		if acts[order.Act](v, ctx, decision, order) {
			return
		}
	}
}

// send takes the request to a runner and its answer to the visitor.
func (v *visit) send(ctx scope.Scope, decision *balancer.Decision, order balancer.Order) bool {
	if v.begun && !v.known {
		// What was passed on had no ids, so that no other run can go on after it.
		v.abort()
	}
	options, runner := v.front.options, order.Runner
	begin := ctx.Now()
	if !decision.Holds(runner, begin) {
		return false
	}
	trip := upstream.Trip{
		Request: v.sent, Runner: runner.ID, Address: runner.Address,
		Left: v.limit.Since(begin), Urgency: v.route.Priority,
		Service: decision.Service(), Once: !v.route.Idempotent(),
	}
	resumed := v.known
	if resumed {
		trip.LastEvent = strconv.FormatInt(v.last, 10)
	}
	v.checkSending(runner, trip.Left, begin)
	number := v.front.number.Add(1)
	options.Board.Sent(runner.ID, runnerstats.Sending{
		Service: decision.Service(), Number: number, Tokens: v.asking.Tokens, Urgency: v.route.Priority,
		Goal: v.route.LatencyTarget(),
	}, begin)
	ending := runnerstats.Ending{Number: number, Tokens: v.asking.Tokens}
	result := options.Sender.Send(ctx, trip)
	v.hear(runner, result.Response)
	fate, over, slow := result.Fate, false, 0.0
	if result.Fate == upstream.Answered {
		ending.Began = true
		first := ctx.Now()
		if first.Since(v.since) > v.route.LatencyTarget()/slowPart {
			slow = 1
		}
		options.Board.Began(runner.ID, number, v.asking.Tokens, first)
		if v.asking.Tokens > 0 && !v.known {
			options.Board.Read(decision.Service(), v.route.Name, v.asking.Tokens, first.Since(begin))
		}
		fate, over = v.pass(ctx, runner, result.Response)
	} else {
		discard(ctx, result.Response)
	}
	now := ctx.Now()
	ending.Finished = fate == upstream.Answered
	ending.Spent = now.Since(begin)
	cause := result.Cause
	if result.Fate != fate {
		cause = "body"
	}
	v.sentTo(runner, fate, cause, ending.Spent)
	if ending.Finished && v.asking.Tokens == 0 {
		options.Board.Read(decision.Service(), v.route.Name, 1, ending.Spent)
	}
	if ending.Finished && !resumed {
		options.Board.Took(v.answered(decision, ending.Spent, slow))
	}
	late := v.gone || v.request.Context().Err() != nil || !now.Before(v.limit)
	ending.Broken = fate != upstream.Answered && broken(result, late, ending, v.route)
	options.Board.Ended(runner.ID, ending, now)
	if !result.Stale {
		decision.Tell(runner, fate)
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
		upstream.Discard(response)
	}()
	select {
	case <-done:
	case <-ctx.Clock.After(discardWait):
	}
}

// slowPart is the part of its goal after which an answer began slowly.
const slowPart = 4

// answered is what the length of answers is learnt from.
func (v *visit) answered(decision *balancer.Decision, spent clock.Span, slow float64) lengthstats.Totals {
	return lengthstats.Totals{
		Key: decision.Kind(), Count: 1, DurationMS: float64(spent) / float64(clock.Millisecond),
		Tokens: max(0, v.asking.Tokens-v.asking.Shared), SlowFirstTokens: slow,
	}
}

// broken tells whether a fate speaks against the runner: one that only turned
// a request away is well; one that was silent for longer than an answer's goal
// is not. Nothing was sent on a kept connection that was too old, or for want of
// this machine's own descriptors: that says nothing of the runner.
func broken(result upstream.Result, late bool, ending runnerstats.Ending, route *config.Route) bool {
	if result.Stale || result.Local {
		return false
	}
	if result.Fate == upstream.Refused {
		return result.Response.StatusCode == http.StatusMisdirectedRequest
	}
	if late {
		return !ending.Began && ending.Spent > route.LatencyTarget()
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
		v.front.options.Board.Told(runner.ID, load, now)
	}
	if left, err := strconv.ParseFloat(response.Header.Get(upstream.ColdHeader), 64); err == nil && left > 0 {
		v.front.options.Warmth.Chill(runner.ID, now.Add(settings.Milliseconds(left)), now)
	}
}

package answer

import (
	"net/http"
	"strconv"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/lengths"
	"onyxwell/control/spec"
	"onyxwell/data/admit"
	"onyxwell/data/forward"
	"onyxwell/data/metrics"
	"onyxwell/data/snapshot"
)

// acts are what the executor can do; each tells whether the visit is over.
var acts = map[admit.Act]func(*visit, scope.Scope, *admit.Decision, admit.Order) bool{
	admit.Send: (*visit).send,
	admit.Wait: func(visit *visit, inner scope.Scope, _ *admit.Decision, order admit.Order) bool {
		inner.Wait(order.Span)
		return false
	},
	admit.Answer: func(visit *visit, _ scope.Scope, decision *admit.Decision, order admit.Order) bool {
		visit.refuse(order.Kind, "")
		visit.reason = "left out: " + decision.LeftOut().String()
		return true
	},
}

// carry asks the decision and obeys until the visit is over.
func (visit *visit) carry() {
	top := visit.front.options.Scope.Under(visit.request.Context())
	inner, release := top.WithLimit(visit.limit.Since(visit.since))
	defer release()
	decision := visit.front.options.Gate.Begin(visit.asking)
	for {
		if top.Err() != nil {
			visit.abort()
		}
		order := decision.Ask(top.Now())
		if acts[order.Act](visit, inner, decision, order) {
			return
		}
	}
}

// send takes the request to a runner and its answer to the visitor.
func (visit *visit) send(inner scope.Scope, decision *admit.Decision, order admit.Order) bool {
	if visit.begun && !visit.known {
		// What was passed on had no ids, so that no other run can go on after it.
		visit.abort()
	}
	options, runner := visit.front.options, order.Runner
	begin := inner.Now()
	if !decision.Holds(runner, begin) {
		return false
	}
	trip := forward.Trip{
		Request: visit.sent, Runner: runner.ID, Address: runner.Address,
		Left: visit.limit.Since(begin), Urgency: visit.route.Urgency,
		Service: decision.Service(), Once: !visit.route.Repeatable(),
	}
	resumed := visit.known
	if resumed {
		trip.LastEvent = strconv.FormatInt(visit.last, 10)
	}
	visit.checkSending(runner, trip.Left, begin)
	number := visit.front.number.Add(1)
	options.Board.Sent(runner.ID, metrics.Sending{
		Service: decision.Service(), Number: number, Tokens: visit.asking.Tokens, Urgency: visit.route.Urgency,
		Goal: visit.route.Goal(),
	}, begin)
	ending := metrics.Ending{Number: number, Tokens: visit.asking.Tokens}
	result := options.Sender.Send(inner, trip)
	visit.hear(runner, result.Response)
	fate, over, slow := result.Fate, false, 0.0
	if result.Fate == forward.Answered {
		ending.Began = true
		first := inner.Now()
		if first.Since(visit.since) > visit.route.Goal()/slowPart {
			slow = 1
		}
		options.Board.Began(runner.ID, number, visit.asking.Tokens, first)
		if visit.asking.Tokens > 0 && !visit.known {
			options.Board.Read(decision.Service(), visit.route.Name, visit.asking.Tokens, first.Since(begin))
		}
		fate, over = visit.pass(inner, runner, result.Response)
	} else {
		discard(inner, result.Response)
	}
	now := inner.Now()
	ending.Finished = fate == forward.Answered
	ending.Spent = now.Since(begin)
	cause := result.Cause
	if result.Fate != fate {
		cause = "body"
	}
	visit.sentTo(runner, fate, cause, ending.Spent)
	if ending.Finished && visit.asking.Tokens == 0 {
		options.Board.Read(decision.Service(), visit.route.Name, 1, ending.Spent)
	}
	if ending.Finished && !resumed {
		options.Board.Took(visit.answered(decision, ending.Spent, slow))
	}
	late := visit.gone || visit.request.Context().Err() != nil || !now.Before(visit.limit)
	ending.Broken = fate != forward.Answered && broken(result, late, ending, visit.route)
	options.Board.Ended(runner.ID, ending, now)
	if !result.Stale {
		decision.Tell(runner, fate)
	}
	if visit.gone {
		visit.abort()
	}
	return over
}

// discardWait is how long the rest of a refusal is waited for, so that its
// connection can be kept.
const discardWait = 50 * clock.Millisecond

// discard ends a response that is not passed on; one whose rest does not come is
// left to the end of the visit.
func discard(inner scope.Scope, response *http.Response) {
	if response == nil || response.Body == http.NoBody {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		forward.Discard(response)
	}()
	select {
	case <-done:
	case <-inner.Clock.After(discardWait):
	}
}

// slowPart is the part of its goal after which an answer began slowly.
const slowPart = 4

// answered is what the length of answers is learnt from.
func (visit *visit) answered(decision *admit.Decision, spent clock.Span, slow float64) lengths.Sum {
	return lengths.Sum{
		Kind: decision.Kind(), Count: 1, SpentMS: float64(spent) / float64(clock.Millisecond),
		Tokens: max(0, visit.asking.Tokens-visit.asking.Shared), Slow: slow,
	}
}

// broken tells whether a fate speaks against the runner: one that only turned
// a request away is well; one that was silent for longer than an answer's goal
// is not. Nothing was sent on a kept connection that was too old, or for want of
// this machine's own descriptors: that says nothing of the runner.
func broken(result forward.Result, late bool, ending metrics.Ending, route *spec.Route) bool {
	if result.Stale || result.Local {
		return false
	}
	if result.Fate == forward.Refused {
		return result.Response.StatusCode == http.StatusMisdirectedRequest
	}
	if late {
		return !ending.Began && ending.Spent > route.Goal()
	}
	return true
}

// hear takes what a runner says of itself in an answer's head.
func (visit *visit) hear(runner *snapshot.Runner, response *http.Response) {
	if response == nil {
		return
	}
	now := visit.front.options.Scope.Now()
	if load := response.Header.Get(forward.LoadHeader); load != "" {
		visit.front.options.Board.Told(runner.ID, load, now)
	}
	if left, err := strconv.ParseFloat(response.Header.Get(forward.ColdHeader), 64); err == nil && left > 0 {
		visit.front.options.Warmth.Chill(runner.ID, now.Add(boot.Milliseconds(left)), now)
	}
}

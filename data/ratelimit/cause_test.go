package ratelimit

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/quota"
)

// acquireStub returns an Acquire function that gives the same answer to every request.
func acquireStub(answer quota.RelayAnswer, err error) func(context.Context, quota.AcquireRequest, ids.Address) (quota.RelayAnswer, error) {
	return func(context.Context, quota.AcquireRequest, ids.Address) (quota.RelayAnswer, error) {
		return answer, err
	}
}

// TestLimiter_countsRejectionsByCause rejects one request for each cause that a relay's answer or
// its absence leads to, and checks that the rejection is counted under that cause alone.
func TestLimiter_countsRejectionsByCause(t *testing.T) {
	active, canceled := context.Background(), func() context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx
	}()
	detachedAnswer := quota.RelayAnswer{AcquireResponse: quota.AcquireResponse{Amounts: []float64{0}}, Relay: "relay"}
	cases := []struct {
		cause  Cause
		ctx    context.Context
		answer quota.RelayAnswer
		err    error
	}{
		{Denied, active, quota.RelayAnswer{AcquireResponse: quota.AcquireResponse{Issuer: true, Amounts: []float64{0}}, Relay: "relay"}, nil},
		{RelayDetached, active, detachedAnswer, nil},
		{NoRelay, active, quota.RelayAnswer{}, errUnreachable},
		{LateRelay, canceled, quota.RelayAnswer{}, context.Canceled},
	}
	for _, test := range cases {
		limiter, _, fakeClock, tenant := newStubbedLimiter()
		limiter.options.Routers = func() int { return 0 }
		limiter.options.Acquire = acquireStub(test.answer, test.err)
		fakeClock.Advance(time.Second)
		if admits(test.ctx, limiter, tenant, 1) {
			t.Errorf("%s: the request was admitted, want a rejection", CauseNames[test.cause])
		}
		for cause := range causeCount {
			want := int64(0)
			if cause == test.cause {
				want = 1
			}
			if got := limiter.Rejections(cause); got != want {
				t.Errorf("%s: %d rejections were counted as %s", CauseNames[test.cause], got, CauseNames[cause])
			}
		}
	}
}

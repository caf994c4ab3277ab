package lease_test

import (
	"context"
	"fmt"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/state/lease"
)

func ExampleHolder() {
	fake := clock.NewFake()
	ctx := scope.New(scope.Options{Clock: fake})
	// A single voter is a majority by itself.
	lessor := lease.NewLessor(fake, 3*time.Second, func() (bool, int64) { return true, 1 })
	fake.Advance(3 * time.Second)
	epoch := int64(0)
	holder := lease.NewHolder(lease.Options{
		Clock: ctx.Clock, Log: ctx.Log, Name: "census", Address: "10.0.0.1:7721", TTL: 3 * time.Second,
		RequestGrant: func(_ context.Context, req lease.Request) lease.Outcome {
			req.VotersFingerprint = 1
			if lessor.Grant(req).Granted {
				return lease.MajorityGranted
			}
			return lease.NoneGranted
		},
		NextEpoch: func(context.Context, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.TryAcquireOrRenew(ctx)
	fmt.Println(holder.Held(fake.Now()))
	fake.Advance(3 * time.Second)
	fmt.Println(holder.Held(fake.Now()))
	// Output:
	// 1 true
	// 1 false
}

package lease_test

import (
	"fmt"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/state/lease"
)

func ExampleHolder() {
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine})
	// One voter, for the sake of the example.
	voter := lease.NewLessor(machine, 3*clock.Second, func() (bool, int64) { return true, 1 })
	machine.Advance(3 * clock.Second)
	epoch := int64(0)
	holder := lease.NewHolder(lease.Options{
		Name: "census", Address: "10.0.0.1:7721", TTL: 3 * clock.Second,
		RequestGrant: func(_ scope.Scope, asked lease.Request) lease.Outcome {
			asked.VotersMark = 1
			if voter.Grant(asked).Granted {
				return lease.MajorityGranted
			}
			return lease.NoneGranted
		},
		NextEpoch: func(scope.Scope, string) (int64, error) { epoch++; return epoch, nil },
	})
	holder.TryAcquireOrRenew(top)
	fmt.Println(holder.Held(machine.Now()))
	machine.Advance(3 * clock.Second)
	fmt.Println(holder.Held(machine.Now()))
	// Output:
	// 1 true
	// 1 false
}

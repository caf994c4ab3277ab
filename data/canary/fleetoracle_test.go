package canary

import (
	"fmt"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// oracle holds what runners and operators observe, and the violations found in it.
type oracle struct {
	// requests counts all requests within the term, exposed those of them that connected routers
	// sent to the target version.
	requests, exposed float64
	badResponses      int
	fiftiethBadAt     clock.Instant
	condition         rollout.Condition
	conditionAt       clock.Instant
	violations        []string
}

func (f *fleet) recordViolation(format string, args ...any) {
	f.oracle.violations = append(f.oracle.violations, fmt.Sprintf("%v: ", f.clock.Now().Since(f.orderedAt))+fmt.Sprintf(format, args...))
}

// reconnectTime is how long after the end of a partition a zone stays exempt from the
// checks on connected routers.
const reconnectTime = 6 * time.Second

// checkRequest checks a request that reaches a runner.
func (f *fleet) checkRequest(router *fleetRouter, runner *snapshot.Runner, now clock.Instant) {
	sinceOrder := now.Since(f.orderedAt)
	connected := router.partitionedSince == 0
	if sinceOrder <= f.layout.term {
		f.oracle.requests++
	}
	if runner.Version == rejectedVersion && f.oracle.condition != rollout.NoRollout {
		f.recordViolation("request sent to a runner of a version that was reverted before")
	}
	if runner.Version != f.target {
		if f.oracle.condition == rollout.Finished && connected {
			f.recordViolation("request sent to an old runner after the rollout has finished")
		}
		return
	}
	if sinceOrder <= f.layout.term && connected {
		f.oracle.exposed++
	}
	if f.defect != nil && connected && f.oracle.fiftiethBadAt > 0 && now.Since(f.oracle.fiftiethBadAt) > 5*time.Second {
		f.recordViolation("request sent to the bad version %v after its 50th bad response", now.Since(f.oracle.fiftiethBadAt))
	}
	allowedFor := f.policy.PermitTTL
	if state := router.gate.rollouts[fleetService]; state != nil && state.isFull() {
		allowedFor += f.policy.LatchTime
	}
	if partitionedFor := now.Since(router.partitionedSince); !connected && f.partitioned[router.zone] && partitionedFor > allowedFor {
		f.recordViolation("zone %d, partitioned for %v, sends to the target version", router.zone, partitionedFor)
	}
}

// checkRecord checks the record in the register: a verdict is final, and no request of a
// connected router runs on an old runner when a rollout finishes.
func (f *fleet) checkRecord() {
	condition := rollout.Condition(f.record().Condition)
	previous := f.oracle.condition
	if condition == previous {
		return
	}
	if previous == rollout.Finished || previous == rollout.Reverted {
		f.recordViolation("condition %s after verdict %s", condition, previous)
	}
	f.oracle.condition, f.oracle.conditionAt = condition, f.clock.Now()
	if condition != rollout.Finished {
		return
	}
	for _, request := range f.running {
		if request.runner.Version != f.target && request.router.partitionedSince == 0 {
			f.recordViolation("finished while a request of zone %d runs on an old runner", request.router.zone)
		}
	}
}

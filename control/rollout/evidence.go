package rollout

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// evidenceKeyPrefix begins the register's keys of evidence; the service's name follows. It is
// stored; it never changes.
const evidenceKeyPrefix = "rollout-evidence/"

// evidenceKey returns the register's key of the evidence on a service's rollout.
func evidenceKey(service ids.Service) string { return evidenceKeyPrefix + string(service) }

// Evidence is the register's value of what a director knows of a rollout in progress, for the
// one that takes over.
type Evidence struct {
	// Order is the one that it belongs to, Epoch that of the lease of who wrote it.
	Order int64 `avro:"Order"`
	Epoch int64 `avro:"Epoch"`
	// Stage had lasted for LastedMS.
	Stage    int64 `avro:"Stage"`
	LastedMS int64 `avro:"LastedMS"`
	// UsedMS is how long the whole traffic would have had to go to the target version for what
	// it got, and may get until permits are granted no longer; LoadedUsedMS is the part
	// of the runner under load.
	UsedMS       int64 `avro:"UsedMS"`
	LoadedUsedMS int64 `avro:"LoadedUsedMS"`
	// RequestsPerS is the rate of the service's requests, 0 where it was not known.
	RequestsPerS float64 `avro:"RequestsPerS"`
	// LoadTried says that the runner under load got what it may, LoadShown that this was enough.
	LoadTried bool          `avro:"LoadTried"`
	LoadShown bool          `avro:"LoadShown"`
	Canary    JudgeEvidence `avro:"Canary"`
	Loaded    JudgeEvidence `avro:"Loaded"`
}

// SchemaName names the stored form; it must never change.
func (Evidence) SchemaName() string { return "RolloutEvidence" }

// JudgeEvidence is what a Judge knows. What the old version showed of late is not kept: it
// comes anew.
type JudgeEvidence struct {
	PooledSum   float64 `avro:"PooledSum"`
	PooledCusum float64 `avro:"PooledCusum"`
	// TimedMS is for how long attempts at warm runners were timed; -1 is not at all.
	TimedMS int64           `avro:"TimedMS"`
	Routes  []RouteEvidence `avro:"Routes"`
}

// SchemaName names the stored form; it must never change.
func (JudgeEvidence) SchemaName() string { return "RolloutJudgeEvidence" }

// RouteEvidence is what a Judge knows of one route: counts of attempts, and the sums of its
// tests.
type RouteEvidence struct {
	Route         string  `avro:"Route"`
	Ended         int64   `avro:"Ended"`
	Failed        int64   `avro:"Failed"`
	Timed         int64   `avro:"Timed"`
	OldEnded      int64   `avro:"OldEnded"`
	FailuresSum   float64 `avro:"FailuresSum"`
	FailuresCusum float64 `avro:"FailuresCusum"`
	SlowFirst     float64 `avro:"SlowFirst"`
	SlowWhole     float64 `avro:"SlowWhole"`
}

// SchemaName names the stored form; it must never change.
func (RouteEvidence) SchemaName() string { return "RolloutRouteEvidence" }

// update returns the update of the key that stores the evidence, unless a later epoch or order
// has written there.
func (e Evidence) update() func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		stored, err := decodeEvidence(current)
		if err == nil && (stored.Order > e.Order || (stored.Order == e.Order && stored.Epoch > e.Epoch)) {
			return nil, nil
		}
		return transport.Marshal(e)
	}
}

// decodeEvidence decodes a register's value; none is the zero Evidence.
func decodeEvidence(value []byte) (Evidence, error) {
	return transport.UnmarshalStored[Evidence](evidenceKeyPrefix, value)
}

// evidence returns what a Judge knows.
func (j *Judge) evidence(now clock.Instant) JudgeEvidence {
	stored := JudgeEvidence{PooledSum: j.pooled.sum, PooledCusum: j.pooled.cusum, TimedMS: -1}
	if since, ok := j.TimedSince(); ok {
		stored.TimedMS = now.Since(since).Milliseconds()
	}
	for _, name := range j.routeNames() {
		route := j.routes[name]
		stored.Routes = append(stored.Routes, RouteEvidence{
			Route: name, Ended: route.ended, Failed: route.failed, Timed: route.timed, OldEnded: route.oldEnded,
			FailuresSum: route.failures.sum, FailuresCusum: route.failures.cusum,
			SlowFirst: route.slowFirst.cusum, SlowWhole: route.slowWhole.cusum,
		})
	}
	return stored
}

// restoreJudge returns a Judge without evidence that goes on with what another knew.
func restoreJudge(j *Judge, stored JudgeEvidence, stage Stage, now clock.Instant) *Judge {
	j.withoutBaseline = stage == Full
	j.pooled = sequentialTest{sum: stored.PooledSum, cusum: stored.PooledCusum}
	if stored.TimedMS >= 0 {
		j.timedSince = now.Add(-time.Duration(stored.TimedMS) * time.Millisecond)
	}
	for _, route := range stored.Routes {
		evidence := &routeEvidence{
			ended: route.Ended, failed: route.Failed, timed: route.Timed, oldEnded: route.OldEnded,
			failures:  sequentialTest{sum: route.FailuresSum, cusum: route.FailuresCusum},
			slowFirst: sequentialTest{cusum: route.SlowFirst}, slowWhole: sequentialTest{cusum: route.SlowWhole},
		}
		if route.Timed >= minTimedAttempts && route.SlowFirst == 0 {
			// The last ones were in time.
			evidence.slowFirst.sum = slowAcceptThreshold
		}
		j.routes[route.Route] = evidence
	}
	return j
}

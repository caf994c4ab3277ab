package rollout

import (
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// evidenceKeyPrefix is the prefix of the register keys that hold evidence; the service's name
// follows. It is stored and must never change.
const evidenceKeyPrefix = "rollout-evidence/"

// evidenceKey returns the register key of the evidence on a service's rollout.
func evidenceKey(service ids.Service) string { return evidenceKeyPrefix + string(service) }

// Evidence is the register value that holds what a director knows about a rollout in
// progress, for a director that takes over.
type Evidence struct {
	// Order is the order that the evidence belongs to, Epoch that of the lease of the director
	// that wrote it.
	Order int64 `avro:"Order"`
	Epoch int64 `avro:"Epoch"`
	// LastedMS is how long Stage had lasted.
	Stage    int64 `avro:"Stage"`
	LastedMS int64 `avro:"LastedMS"`
	// UsedMS is the exposure used, as the time for which all of the service's traffic would
	// have had to go to the target version. It includes what may still be used until permits
	// are granted no longer. LoadedUsedMS is the part of the runner under load.
	UsedMS       int64 `avro:"UsedMS"`
	LoadedUsedMS int64 `avro:"LoadedUsedMS"`
	// RequestsPerS is the rate of the service's requests, 0 if it was unknown.
	RequestsPerS float64 `avro:"RequestsPerS"`
	// LoadTried is set once the load test has ended, LoadShown once it was passed.
	LoadTried bool          `avro:"LoadTried"`
	LoadShown bool          `avro:"LoadShown"`
	Canary    JudgeEvidence `avro:"Canary"`
	Loaded    JudgeEvidence `avro:"Loaded"`
}

// SchemaName names the stored form; it must never change.
func (Evidence) SchemaName() string { return "RolloutEvidence" }

// JudgeEvidence is the evidence of a Judge. Recent outcomes at the old version are not
// stored, since routers keep reporting them.
type JudgeEvidence struct {
	PooledSum   float64 `avro:"PooledSum"`
	PooledCusum float64 `avro:"PooledCusum"`
	// TimedMS is how long ago the first attempt at a warm runner was timed, -1 if none was.
	TimedMS int64           `avro:"TimedMS"`
	Routes  []RouteEvidence `avro:"Routes"`
}

// SchemaName names the stored form; it must never change.
func (JudgeEvidence) SchemaName() string { return "RolloutJudgeEvidence" }

// RouteEvidence is the evidence of a Judge on one route: counts of attempts, and the sums of
// its tests.
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

// update returns the register update that stores the evidence. It changes nothing if evidence
// of a later order, or of a later epoch of the same order, is stored.
func (e Evidence) update() func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		stored, err := decodeEvidence(current)
		if err == nil && (stored.Order > e.Order || (stored.Order == e.Order && stored.Epoch > e.Epoch)) {
			return nil, nil
		}
		return transport.Marshal(e)
	}
}

// decodeEvidence decodes a register value; an empty value yields the zero Evidence.
func decodeEvidence(value []byte) (Evidence, error) {
	return transport.UnmarshalStored[Evidence](evidenceKeyPrefix, value)
}

// evidence returns the Judge's evidence in its stored form.
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

// restoreJudge adds stored evidence to a Judge that has none, and returns it.
func restoreJudge(j *Judge, stored JudgeEvidence, stage Stage, now clock.Instant) *Judge {
	j.oldHasNoTraffic = stage == Full
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
			// The most recent attempts were in time.
			evidence.slowFirst.sum = slowAcceptThreshold
		}
		j.routes[route.Route] = evidence
	}
	return j
}

// Package snapshot holds the state that a router's decisions depend on: the
// configuration, the runners, the evacuated and lost zones, the ejected runners, the
// rollouts and the autoscaler's plan.
//
// A Snapshot is immutable, so a request can use the same one from start to end. A Store
// replaces the whole snapshot on each update. The versions of the configuration and of
// the other parts never decrease.
package snapshot

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/rollout"
)

// Runner is a runner of the list with the region of its zone.
type Runner struct {
	discovery.Runner
	Region ids.Region
}

// Snapshot is the state at one point in time. Neither it nor its maps may be modified.
type Snapshot struct {
	// Config is nil until a configuration has been received.
	Config *config.Config
	// Runners is nil until a list of runners has been received.
	Runners map[ids.Service][]*Runner
	// Evacuated holds the zones that were ever evacuated: true for those that are now,
	// false for those that were restored.
	Evacuated map[ids.Zone]bool
	// LostZones holds the zones that do not answer this router's zone.
	LostZones map[ids.Zone]bool
	// CutOffSince is the time since which half of the zones or more do not answer this
	// router's zone, or 0 if enough of them do. While it is set, updates of the
	// controllers, which act by majority, may not reach this router.
	CutOffSince clock.Instant
	// EjectedUntil maps each runner that was ejected for failed requests of this router's
	// zone to the end of its ejection.
	EjectedUntil map[ids.RunnerID]clock.Instant
	// Flows holds the plan's distribution of requests over regions.
	Flows []autoscaler.Flow
	// RunnerWeights holds the runners that have a weight of their own in the plan.
	RunnerWeights map[ids.RunnerID]autoscaler.RunnerWeight
	typeWeights   map[runnerType]float64
	// Rollouts holds the newest rollout order of each service.
	Rollouts map[ids.Service]rollout.Record
	// StableVersions holds what is stored of the stable version of each service.
	StableVersions map[ids.Service]rollout.StableRecord
	// Versions holds the roles of the versions of each service that has runners or a rollout.
	// It is nil if versions are not tracked.
	Versions map[ids.Service]rollout.Versions
	// Lengths estimates the durations of responses in this region; nil if unknown.
	Lengths *lengthstats.Table
}

// runnerType is the key of the plan's weights of runner types.
type runnerType struct {
	service ids.Service
	version string
}

// Find returns the runner with an id, or nil if it is not listed.
func (s *Snapshot) Find(id ids.RunnerID) *Runner {
	for _, runners := range s.Runners {
		for _, runner := range runners {
			if runner.ID == id {
				return runner
			}
		}
	}
	return nil
}

// AvailableByID reports whether a service has an available runner with an id.
func (s *Snapshot) AvailableByID(service ids.Service, id ids.RunnerID) bool {
	for _, runner := range s.Runners[service] {
		if runner.ID == id {
			return s.Available(runner)
		}
	}
	return false
}

// Available reports whether a runner of this snapshot may get requests: it is not
// draining, and its zone is not evacuated.
func (s *Snapshot) Available(runner *Runner) bool {
	return !runner.Draining && !s.Evacuated[runner.Zone]
}

// Avoided reports whether a runner should get requests only if no other can take them,
// because outlier detection has ejected it or the plan quarantines it.
func (s *Snapshot) Avoided(id ids.RunnerID, now clock.Instant) bool {
	until, ok := s.EjectedUntil[id]
	return s.RunnerWeights[id].Quarantined || (ok && now.Before(until))
}

// Weight returns a runner's weight in load balancing: its own weight in the plan, else
// that of its type, else its capacity.
func (s *Snapshot) Weight(runner *Runner) float64 {
	if planned := s.RunnerWeights[runner.ID]; planned.Weight > 0 {
		return planned.Weight
	}
	if weight := s.typeWeights[runnerType{service: runner.Service, version: runner.Version}]; weight > 0 {
		return weight
	}
	return float64(max(1, runner.Capacity))
}

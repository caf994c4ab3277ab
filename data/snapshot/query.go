package snapshot

import (
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
)

// Find gives the listed runner of an id; nil where there is none.
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

// AvailableByID tells whether a runner may be sent requests now: listed, ready, and
// in a zone that is not being emptied.
func (s *Snapshot) AvailableByID(service ids.Service, id ids.RunnerID) bool {
	for _, runner := range s.Runners[service] {
		if runner.ID == id {
			return s.Available(runner)
		}
	}
	return false
}

// Available tells the same of a runner of this snapshot.
func (s *Snapshot) Available(runner *Runner) bool {
	return !runner.Draining && !s.Evacuated[runner.Zone]
}

// runnerType tells runners apart by what the plan weighs them by.
type runnerType struct {
	service ids.Service
	version string
}

// applyPlan takes over what a plan says of runners and regions.
func (s *Snapshot) applyPlan(routing autoscaler.Routing) {
	s.Flows = routing.Flows
	s.typeWeights = map[runnerType]float64{}
	for _, known := range routing.Types {
		s.typeWeights[runnerType{service: known.Service, version: known.Version}] = known.Weight
	}
	s.RunnerWeights = map[ids.RunnerID]autoscaler.RunnerWeight{}
	for _, planned := range routing.Runners {
		s.RunnerWeights[planned.Runner] = planned
	}
}

// Weight is a runner's share in routing: its own in the plan, else its type's,
// else, without a plan, its capacity.
func (s *Snapshot) Weight(runner *Runner) float64 {
	if planned := s.RunnerWeights[runner.ID]; planned.Weight > 0 {
		return planned.Weight
	}
	if weight := s.typeWeights[runnerType{service: runner.Service, version: runner.Version}]; weight > 0 {
		return weight
	}
	return float64(max(1, runner.Capacity))
}

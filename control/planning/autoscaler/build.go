package autoscaler

import (
	"maps"
	"math"
	"slices"

	"onyxwell/base/ids"
)

// runnerType corresponds to the GPU type of the paper: runners of the same service and
// version are assumed to have similar capacities.
type runnerType struct {
	service ids.Service
	version string
}

func (r Runner) runnerType() runnerType {
	return runnerType{service: r.Service, version: r.Version}
}

const (
	// priorWeight is the number of samples at which a runner's own estimate has the
	// same weight as the estimate of its type.
	priorWeight = 30.0
	// weightTolerance is the largest relative change of a weight for which the last
	// weight is kept: each change moves prompts away from the runners that have their
	// prefixes cached.
	weightTolerance = 0.25
	// slowStartFactor is the fraction of its normal weight that a runner has while it is
	// warming up.
	slowStartFactor = 0.5
)

// buildPlan returns a plan for the ready runners, based on the metrics in the window and
// on the last plan. The caller must hold p.mu.
func (p *Planner) buildPlan(runners []Runner) Plan {
	plan := Plan{Owner: p.options.Address}
	types := p.typeCapacities(runners)
	services := map[ids.Service]map[ids.Region]*regionCapacity{}
	for _, runner := range runners {
		if !runner.Ready {
			continue
		}
		key := runner.runnerType()
		capacity := p.runnerCapacity(runner, types[key])
		planned := p.planRunner(runner, capacity, p.updateTypeWeight(key, types[key]))
		plan.Runners = append(plan.Runners, planned)
		if services[runner.Service] == nil {
			services[runner.Service] = map[ids.Region]*regionCapacity{}
		}
		region := services[runner.Service][runner.Region]
		if region == nil {
			region = &regionCapacity{}
			services[runner.Service][runner.Region] = region
		}
		region.add(planned, capacity)
	}
	for _, service := range sortedKeys(services) {
		plan.Replicas = append(plan.Replicas, planReplicas(service, services[service], p.window.load(service))...)
		if p.window.hasDemand(service) {
			plan.Flows = append(plan.Flows, allocateFlows(p.window.demand, service, services[service])...)
		}
	}
	p.groupByLength(&plan, runners)
	plan.Flows = p.stabilizeFlows(plan.Flows)
	return plan
}

// typeCapacities estimates the capacity of each type from the metrics of all its
// runners. Types with too few metrics are left out.
func (p *Planner) typeCapacities(runners []Runner) map[runnerType]Capacity {
	samples := map[runnerType]*sampleSet{}
	for _, runner := range runners {
		key := runner.runnerType()
		if samples[key] == nil {
			samples[key] = &sampleSet{}
		}
		if series := p.window.runners[runner.ID]; series != nil {
			samples[key].add(series.points)
		}
	}
	capacities := map[runnerType]Capacity{}
	for key, set := range samples {
		if capacity, ok := set.estimate(); ok {
			capacities[key] = capacity
		}
	}
	return capacities
}

// sampleSet holds the metrics for an estimate. Values with the same index belong to the
// same interval.
type sampleSet struct{ finished, running, executionS, memoryUtilization []float64 }

func (s *sampleSet) add(points []metrics) {
	for _, point := range points {
		s.finished = append(s.finished, point.finished)
		s.running = append(s.running, point.running)
		s.executionS = append(s.executionS, point.executionMS/1000)
		s.memoryUtilization = append(s.memoryUtilization, point.memoryUtilization)
	}
}

func (s *sampleSet) estimate() (Capacity, bool) {
	return EstimateCapacity(s.finished, s.running, s.executionS, s.memoryUtilization)
}

// runnerCapacity returns a runner's own estimate, shrunk towards that of its type. The
// fewer samples the runner has, the more the type counts. Without new metrics, the
// estimate therefore approaches that of the type as samples leave the window.
func (p *Planner) runnerCapacity(runner Runner, typeCapacity Capacity) Capacity {
	var own sampleSet
	if series := p.window.runners[runner.ID]; series != nil {
		own.add(series.points)
	}
	capacity, ok := own.estimate()
	if !ok {
		return typeCapacity
	}
	if typeCapacity.RateLimit <= 0 {
		return capacity
	}
	weight := float64(capacity.Samples) / (float64(capacity.Samples) + priorWeight)
	shrunk := capacity
	shrunk.RateLimit = weight*capacity.RateLimit + (1-weight)*typeCapacity.RateLimit
	shrunk.ExecutionS = weight*capacity.ExecutionS + (1-weight)*typeCapacity.ExecutionS
	shrunk.ConcurrencyLimit = shrunk.RateLimit * shrunk.ExecutionS
	shrunk.MemoryUtilization = weight*capacity.MemoryUtilization + (1-weight)*typeCapacity.MemoryUtilization
	return shrunk
}

// planRunner returns the plan for a runner. Its weight is its rate limit, reduced while
// it is warming up. A weight that is close to that of the type, or else to the runner's
// last weight, is replaced by that weight. A runner without an estimate keeps its last
// limits.
func (p *Planner) planRunner(runner Runner, capacity Capacity, typeWeight float64) RunnerPlan {
	planned := RunnerPlan{
		Runner:            runner.ID,
		RateLimit:         roundSignificant(capacity.RateLimit),
		ConcurrencyLimit:  roundSignificant(capacity.ConcurrencyLimit),
		MemoryUtilization: roundSignificant(capacity.MemoryUtilization),
		Quarantined:       p.quarantined[runner.ID] > 0,
	}
	last, known := p.runnerPlans[runner.ID]
	if planned.RateLimit <= 0 && known {
		planned.RateLimit, planned.ConcurrencyLimit, planned.MemoryUtilization = last.RateLimit, last.ConcurrencyLimit, last.MemoryUtilization
	}
	weight := planned.RateLimit
	if withinTolerance(weight, typeWeight) {
		weight = typeWeight
	} else if known && withinTolerance(weight, last.Weight) {
		weight = last.Weight
	}
	planned.Weight = weight
	p.runnerPlans[runner.ID] = planned
	if runner.WarmingUp {
		planned.Weight = roundSignificant(slowStartFactor * weight)
	}
	return planned
}

// planReplicas returns how many of a service's ready runners in each region the load
// needs. Each region is a type of the linear program.
func planReplicas(service ids.Service, regions map[ids.Region]*regionCapacity, load float64) []Replicas {
	var types []ReplicaType
	var replicas []Replicas
	for _, region := range sortedKeys(regions) {
		runners := regions[region].runners
		replicaType := ReplicaType{Max: float64(len(runners))}
		memory := 0.0
		for _, planned := range runners {
			replicaType.RateLimit += planned.RateLimit / replicaType.Max
			memory += planned.MemoryUtilization / replicaType.Max
		}
		replicaType.Cost = memoryMismatchCost(memory)
		types = append(types, replicaType)
		replicas = append(replicas, Replicas{Service: service, Region: region, Ready: int64(replicaType.Max), RateLimit: roundSignificant(replicaType.RateLimit)})
	}
	for index, needed := range SolveReplicas(types, load) {
		replicas[index].Needed, replicas[index].Load = needed, roundSignificant(load)
	}
	return replicas
}

func sortedKeys[Key ~string, Value any](table map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(table))
}

// roundSignificant rounds to two significant digits, so that noise does not change a
// plan. It returns 0 for NaN and infinities.
func roundSignificant(value float64) float64 {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	scale := math.Pow(10, 1-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

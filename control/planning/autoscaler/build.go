package autoscaler

import (
	"math"
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// runnerType is a type of runner: the paper's GPU type. Runners of one service
// and one version of its software are alike.
type runnerType struct {
	service ids.Service
	version string
}

const (
	// priorWeight is how many looks of its own a runner needs to weigh as much as its
	// type does in its ceiling.
	priorWeight = 30.0
	// weightTolerance is by how much a weight must differ before it is changed: each
	// change moves prompts away from where their parts were read.
	weightTolerance = 0.25
	// slowStartFactor is the part of its weight that a runner gets while it warms up.
	slowStartFactor = 0.5
)

// Plan makes a plan from the window and the runners that there are.
func (p *Planner) Plan(runners []Runner) Plan {
	plan := Plan{Owner: p.options.Address}
	types := p.typeCapacities(runners)
	regions := map[ids.Service]map[ids.Region][]RunnerPlan{}
	supplies := map[ids.Service]map[ids.Region]*regionCapacity{}
	for _, runner := range runners {
		if !runner.Ready {
			continue
		}
		key := runnerType{service: runner.Service, version: runner.Version}
		ceiling := p.runnerCapacity(runner, types[key])
		planned := p.planRunner(runner, ceiling, p.typeWeight(key, types[key]))
		plan.Runners = append(plan.Runners, planned)
		if regions[runner.Service] == nil {
			regions[runner.Service] = map[ids.Region][]RunnerPlan{}
			supplies[runner.Service] = map[ids.Region]*regionCapacity{}
		}
		regions[runner.Service][runner.Region] = append(regions[runner.Service][runner.Region], planned)
		given := supplies[runner.Service][runner.Region]
		if given == nil {
			given = &regionCapacity{}
			supplies[runner.Service][runner.Region] = given
		}
		given.rateLimit += ceiling.RateLimit
		given.remaining += ceiling.RateLimit
		given.saturated = given.saturated || ceiling.Saturated
	}
	for _, service := range sortedKeys(regions) {
		plan.Replicas = append(plan.Replicas, p.replicaCounts(service, regions[service])...)
		if p.hasDemand(service) {
			plan.Flows = append(plan.Flows, allocateFlows(p.window.demand, service, supplies[service])...)
		}
	}
	p.groupByLength(&plan, runners)
	plan.Flows = p.stabilizeFlows(plan.Flows)
	return plan
}

// typeCapacities estimates each type from the looks at all its runners.
func (p *Planner) typeCapacities(runners []Runner) map[runnerType]Capacity {
	pools := map[runnerType]*sampleSet{}
	for _, runner := range runners {
		key := runnerType{service: runner.Service, version: runner.Version}
		if pools[key] == nil {
			pools[key] = &sampleSet{}
		}
		if run := p.window.runners[runner.ID]; run != nil {
			pools[key].add(run.points)
		}
	}
	ceilings := map[runnerType]Capacity{}
	for key, gathered := range pools {
		if ceiling, enough := gathered.estimate(); enough {
			ceilings[key] = ceiling
		}
	}
	return ceilings
}

type sampleSet struct{ finished, running, executionS, memoryUtilization []float64 }

func (s *sampleSet) add(points []metrics) {
	for _, seen := range points {
		s.finished = append(s.finished, seen.finished)
		s.running = append(s.running, seen.running)
		s.executionS = append(s.executionS, seen.executionMS/1000)
		s.memoryUtilization = append(s.memoryUtilization, seen.memoryUtilization)
	}
}

func (s *sampleSet) estimate() (Capacity, bool) {
	return EstimateCapacity(s.finished, s.running, s.executionS, s.memoryUtilization)
}

// runnerCapacity is a runner's own estimate, drawn towards its type's by how few looks
// it rests on: without fresh metrics it decays to the type's as its looks leave
// the window.
func (p *Planner) runnerCapacity(runner Runner, common Capacity) Capacity {
	var own sampleSet
	if run := p.window.runners[runner.ID]; run != nil {
		own.add(run.points)
	}
	ceiling, enough := own.estimate()
	if !enough {
		return common
	}
	if common.RateLimit <= 0 {
		return ceiling
	}
	part := float64(ceiling.Samples) / (float64(ceiling.Samples) + priorWeight)
	mixed := ceiling
	mixed.RateLimit = part*ceiling.RateLimit + (1-part)*common.RateLimit
	mixed.ExecutionS = part*ceiling.ExecutionS + (1-part)*common.ExecutionS
	mixed.ConcurrencyLimit = mixed.RateLimit * mixed.ExecutionS
	mixed.MemoryUtilization = part*ceiling.MemoryUtilization + (1-part)*common.MemoryUtilization
	return mixed
}

// planRunner gives a runner its weight: its ceiling, less while it is cold. One that
// hardly differs from its type has the type's weight, and a weight that hardly
// differs from the last one stays as it was.
func (p *Planner) planRunner(runner Runner, ceiling Capacity, common float64) RunnerPlan {
	planned := RunnerPlan{
		Runner: runner.ID, RateLimit: roundSignificant(ceiling.RateLimit), ConcurrencyLimit: roundSignificant(ceiling.ConcurrencyLimit), MemoryUtilization: roundSignificant(ceiling.MemoryUtilization),
		Quarantined: p.quarantined[runner.ID] > 0,
	}
	before, known := p.runnerPlans[runner.ID]
	if planned.RateLimit <= 0 && known {
		planned.RateLimit, planned.ConcurrencyLimit, planned.MemoryUtilization = before.RateLimit, before.ConcurrencyLimit, before.MemoryUtilization
	}
	full := planned.RateLimit
	if withinTolerance(full, common) {
		full = common
	} else if known && withinTolerance(full, before.Weight) {
		full = before.Weight
	}
	planned.Weight = full
	p.runnerPlans[runner.ID] = planned
	if runner.WarmingUp {
		planned.Weight = roundSignificant(slowStartFactor * full)
	}
	return planned
}

// replicaCounts solves the program for one service: its types are the regions.
func (p *Planner) replicaCounts(service ids.Service, regions map[ids.Region][]RunnerPlan) []Replicas {
	var types []ReplicaType
	var shown []Replicas
	for _, region := range sortedKeys(regions) {
		kind := ReplicaType{Max: float64(len(regions[region]))}
		memory := 0.0
		for _, planned := range regions[region] {
			kind.RateLimit += planned.RateLimit / kind.Max
			memory += planned.MemoryUtilization / kind.Max
		}
		kind.Cost = memoryMismatchCost(memory)
		types = append(types, kind)
		shown = append(shown, Replicas{Service: service, Region: region, Ready: int64(kind.Max), RateLimit: roundSignificant(kind.RateLimit)})
	}
	load := 0.0
	for key, wanted := range p.window.demand {
		if key.service == service {
			load += wanted.perS
		}
	}
	for index, needed := range SolveReplicas(types, load) {
		shown[index].Needed, shown[index].Load = needed, roundSignificant(load)
	}
	return shown
}

func (p *Planner) hasDemand(service ids.Service) bool {
	for key := range p.window.demand {
		if key.service == service {
			return true
		}
	}
	return false
}

func sortedKeys[Key ~string, Value any](table map[Key]Value) []Key {
	var keys []Key
	for key := range table {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(left, right Key) int { return strings.Compare(string(left), string(right)) })
	return keys
}

// roundSignificant keeps two significant digits, so that a plan that says the same is the
// same.
func roundSignificant(value float64) float64 {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	scale := math.Pow(10, 1-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

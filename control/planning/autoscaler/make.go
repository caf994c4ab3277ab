package autoscaler

import (
	"math"
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// typeKey is a type of runner: the paper's GPU type. Runners of one service
// and one version of its software are alike.
type typeKey struct {
	service ids.Service
	version string
}

const (
	// pull is how many looks of its own a runner needs to weigh as much as its
	// type does in its ceiling.
	pull = 30.0
	// slack is by how much a weight must differ before it is changed: each
	// change moves prompts away from where their parts were read.
	slack = 0.25
	// ramp is the part of its weight that a runner gets while it warms up.
	ramp = 0.5
)

// Plan makes a plan from the window and the runners that there are.
func (s *Scaler) Plan(runners []Listed) Plan {
	plan := Plan{Holder: s.options.Address}
	types := s.typeCeilings(runners)
	regions := map[ids.Service]map[ids.Region][]RunnerPlan{}
	supplies := map[ids.Service]map[ids.Region]*supply{}
	for _, runner := range runners {
		if !runner.Ready {
			continue
		}
		key := typeKey{service: runner.Service, version: runner.Version}
		ceiling := s.ceiling(runner, types[key])
		planned := s.weigh(runner, ceiling, s.typeWeight(key, types[key]))
		plan.Runners = append(plan.Runners, planned)
		if regions[runner.Service] == nil {
			regions[runner.Service] = map[ids.Region][]RunnerPlan{}
			supplies[runner.Service] = map[ids.Region]*supply{}
		}
		regions[runner.Service][runner.Region] = append(regions[runner.Service][runner.Region], planned)
		given := supplies[runner.Service][runner.Region]
		if given == nil {
			given = &supply{}
			supplies[runner.Service][runner.Region] = given
		}
		given.limit += ceiling.Limit
		given.left += ceiling.Limit
		given.reached = given.reached || ceiling.Reached
	}
	for _, service := range sortedKeys(regions) {
		plan.Replicas = append(plan.Replicas, s.replicas(service, regions[service])...)
		if s.known(service) {
			plan.Flows = append(plan.Flows, share(s.window.demand, service, supplies[service])...)
		}
	}
	s.group(&plan, runners)
	plan.Flows = s.steady(plan.Flows)
	return plan
}

// typeCeilings estimates each type from the looks at all its runners.
func (s *Scaler) typeCeilings(runners []Listed) map[typeKey]Ceiling {
	pools := map[typeKey]*pool{}
	for _, runner := range runners {
		key := typeKey{service: runner.Service, version: runner.Version}
		if pools[key] == nil {
			pools[key] = &pool{}
		}
		if run := s.window.runs[runner.ID]; run != nil {
			pools[key].add(run.points)
		}
	}
	ceilings := map[typeKey]Ceiling{}
	for key, gathered := range pools {
		if ceiling, enough := gathered.estimate(); enough {
			ceilings[key] = ceiling
		}
	}
	return ceilings
}

type pool struct{ finished, running, spentS, memory []float64 }

func (p *pool) add(points []point) {
	for _, seen := range points {
		p.finished = append(p.finished, seen.finished)
		p.running = append(p.running, seen.running)
		p.spentS = append(p.spentS, seen.spentMS/1000)
		p.memory = append(p.memory, seen.memory)
	}
}

func (p *pool) estimate() (Ceiling, bool) {
	return Estimate(p.finished, p.running, p.spentS, p.memory)
}

// ceiling is a runner's own estimate, drawn towards its type's by how few looks
// it rests on: without fresh metrics it decays to the type's as its looks leave
// the window.
func (s *Scaler) ceiling(runner Listed, common Ceiling) Ceiling {
	var own pool
	if run := s.window.runs[runner.ID]; run != nil {
		own.add(run.points)
	}
	ceiling, enough := own.estimate()
	if !enough {
		return common
	}
	if common.Limit <= 0 {
		return ceiling
	}
	part := float64(ceiling.Points) / (float64(ceiling.Points) + pull)
	mixed := ceiling
	mixed.Limit = part*ceiling.Limit + (1-part)*common.Limit
	mixed.SpentS = part*ceiling.SpentS + (1-part)*common.SpentS
	mixed.Cap = mixed.Limit * mixed.SpentS
	mixed.Memory = part*ceiling.Memory + (1-part)*common.Memory
	return mixed
}

// weigh gives a runner its weight: its ceiling, less while it is cold. One that
// hardly differs from its type has the type's weight, and a weight that hardly
// differs from the last one stays as it was.
func (s *Scaler) weigh(runner Listed, ceiling Ceiling, common float64) RunnerPlan {
	planned := RunnerPlan{
		Runner: runner.ID, Limit: round(ceiling.Limit), Cap: round(ceiling.Cap), Memory: round(ceiling.Memory),
		Resting: s.resting[runner.ID] > 0,
	}
	before, known := s.last[runner.ID]
	if planned.Limit <= 0 && known {
		planned.Limit, planned.Cap, planned.Memory = before.Limit, before.Cap, before.Memory
	}
	full := planned.Limit
	if near(full, common) {
		full = common
	} else if known && near(full, before.Weight) {
		full = before.Weight
	}
	planned.Weight = full
	s.last[runner.ID] = planned
	if runner.Cold {
		planned.Weight = round(ramp * full)
	}
	return planned
}

// replicas solves the program for one service: its types are the regions.
func (s *Scaler) replicas(service ids.Service, regions map[ids.Region][]RunnerPlan) []Replicas {
	var types []Type
	var shown []Replicas
	for _, region := range sortedKeys(regions) {
		kind := Type{Most: float64(len(regions[region]))}
		memory := 0.0
		for _, planned := range regions[region] {
			kind.Limit += planned.Limit / kind.Most
			memory += planned.Memory / kind.Most
		}
		kind.Score = scoreOf(memory)
		types = append(types, kind)
		shown = append(shown, Replicas{Service: service, Region: region, Ready: int64(kind.Most), Ceiling: round(kind.Limit)})
	}
	load := 0.0
	for key, wanted := range s.window.demand {
		if key.service == service {
			load += wanted.perS
		}
	}
	for index, needed := range Solve(types, load) {
		shown[index].Needed, shown[index].Load = needed, round(load)
	}
	return shown
}

func (s *Scaler) known(service ids.Service) bool {
	for key := range s.window.demand {
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

// round keeps two significant digits, so that a plan that says the same is the
// same.
func round(value float64) float64 {
	if value == 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0
	}
	scale := math.Pow(10, 1-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

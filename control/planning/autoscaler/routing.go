package autoscaler

import (
	"math"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

const (
	// RoutingKey is the news key of what routers need of the plan; every daemon holds it.
	RoutingKey = "plan"
	// PlanKey is that of the whole plan, from which the next holder of the duty
	// goes on; only the backbone holds it.
	PlanKey = gossip.BackbonePrefix + "plan"
)

// Routing is what routers need of a plan: the weight of each type of runners, and
// of the runners that differ from their type. It grows with what differs, not with
// the runners, and says the same while nothing does.
type Routing struct {
	Owner   ids.Address    `avro:"Holder"`
	Types   []TypeWeight   `avro:"Types"`
	Runners []RunnerWeight `avro:"Runners"`
	Flows   []Flow         `avro:"Flows"`
	// Lengths are how long answers take in each region, told back to its routers.
	Lengths []RegionLengths `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (Routing) SchemaName() string { return "Routing_23" }

// TypeWeight is the weight of a runner of a service with a version of software.
type TypeWeight struct {
	Service ids.Service `avro:"Service"`
	Version string      `avro:"Version"`
	Weight  float64     `avro:"Weight"`
}

// SchemaName names the stored and sent form; it must never change.
func (TypeWeight) SchemaName() string { return "TypeWeight_23" }

// RunnerWeight is the weight of a runner that differs from its type, is grouped,
// or rests.
type RunnerWeight struct {
	Runner      ids.RunnerID      `avro:"Runner"`
	Weight      float64           `avro:"Weight"`
	Group       lengthstats.Class `avro:"Group"`
	Quarantined bool              `avro:"Resting"`
}

// SchemaName names the stored and sent form; it must never change.
func (RunnerWeight) SchemaName() string { return "RunnerWeight_23" }

// ReadRouting reads the body of the news item.
func ReadRouting(body []byte) (Routing, error) { return transport.Unmarshal[Routing](body) }

// buildRouting takes out of a plan what routers need.
func (p *Planner) buildRouting(plan Plan, runners []Runner) Routing {
	told := Routing{Owner: plan.Owner, Flows: plan.Flows, Lengths: plan.Lengths}
	types := map[ids.RunnerID]runnerType{}
	present := map[runnerType]bool{}
	for _, runner := range runners {
		key := runnerType{service: runner.Service, version: runner.Version}
		types[runner.ID] = key
		if !present[key] && p.typeWeights[key] > 0 {
			present[key] = true
			told.Types = append(told.Types, TypeWeight{Service: key.service, Version: key.version, Weight: p.typeWeights[key]})
		}
	}
	for _, planned := range plan.Runners {
		same := planned.Weight == p.typeWeights[types[planned.Runner]]
		if !same || planned.Quarantined || planned.Group != lengthstats.Unknown {
			told.Runners = append(told.Runners, RunnerWeight{
				Runner: planned.Runner, Weight: planned.Weight, Group: planned.Group, Quarantined: planned.Quarantined,
			})
		}
	}
	return told
}

// typeWeight gives the weight of a type: its ceiling, unless that hardly differs
// from the weight of before.
func (p *Planner) typeWeight(key runnerType, common Capacity) float64 {
	limit := roundSignificant(common.RateLimit)
	if before := p.typeWeights[key]; limit <= 0 || withinTolerance(limit, before) {
		return before
	}
	p.typeWeights[key] = limit
	return limit
}

// withinTolerance tells whether a weight is so close to another that it is not worth
// changing: each change moves prompts away from where their parts were read.
func withinTolerance(weight float64, other float64) bool {
	return other > 0 && math.Abs(weight-other) <= weightTolerance*other
}

// flowTolerance is by how much a share of a flow must differ before it is changed.
const flowTolerance = 0.05

// flowKey tells apart the flows that share out the same demand.
type flowKey struct {
	service     ids.Service
	homeRegions string
	region      ids.Region
}

// stabilizeFlows keeps the shares of a demand of before where all of them hardly changed.
func (p *Planner) stabilizeFlows(flows []Flow) []Flow {
	groups := map[flowKey][]Flow{}
	for _, flow := range flows {
		flow.Share = roundSignificant(flow.Share)
		key := flowKey{service: flow.Service, homeRegions: flow.HomeRegions, region: flow.Origin}
		groups[key] = append(groups[key], flow)
	}
	var kept []Flow
	for _, flow := range flows {
		key := flowKey{service: flow.Service, homeRegions: flow.HomeRegions, region: flow.Origin}
		group, first := groups[key]
		if !first {
			continue
		}
		if before := p.flows[key]; similarFlows(before, group) {
			group = before
		}
		kept = append(kept, group...)
		p.flows[key] = group
		delete(groups, key)
	}
	return kept
}

// similarFlows tells whether the same regions take nearly the same shares.
func similarFlows(before []Flow, now []Flow) bool {
	return slices.EqualFunc(before, now, func(old Flow, flow Flow) bool {
		return old.Target == flow.Target && math.Abs(old.Share-flow.Share) < flowTolerance
	})
}

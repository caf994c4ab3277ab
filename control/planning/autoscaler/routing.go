package autoscaler

import (
	"math"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Gossip keys of published items.
const (
	// RoutingKey is the key of the Routing, which every daemon holds.
	RoutingKey = "plan"
	// PlanKey is the key of the Plan, from which the next owner of the lease restores
	// its state. Only the gossip backbone holds it.
	PlanKey = gossip.BackbonePrefix + "plan"
)

// Routing is the part of a plan that routers need. It holds the weight of each type of
// runner, and of each runner that differs from its type, so that its size depends on
// the number of differences and not on the number of runners. It stays the same until
// something relevant to routers changes.
type Routing struct {
	Owner   ids.Address    `avro:"Holder"`
	Types   []TypeWeight   `avro:"Types"`
	Runners []RunnerWeight `avro:"Runners"`
	Flows   []Flow         `avro:"Flows"`
	// Lengths holds the expected request durations of each region, for its routers.
	Lengths []RegionLengths `avro:"Lengths"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Routing) SchemaName() string { return "Routing_23" }

// TypeWeight is the weight of a runner type. It applies to every runner of the service
// that has this software version and no RunnerWeight.
type TypeWeight struct {
	Service ids.Service `avro:"Service"`
	Version string      `avro:"Version"`
	Weight  float64     `avro:"Weight"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (TypeWeight) SchemaName() string { return "TypeWeight_23" }

// RunnerWeight is the weight of a runner whose weight differs from that of its type,
// that is assigned to a class, or that is quarantined.
type RunnerWeight struct {
	Runner      ids.RunnerID      `avro:"Runner"`
	Weight      float64           `avro:"Weight"`
	Group       lengthstats.Class `avro:"Group"`
	Quarantined bool              `avro:"Resting"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (RunnerWeight) SchemaName() string { return "RunnerWeight_23" }

// ReadRouting decodes the body of the gossiped item with the key RoutingKey.
func ReadRouting(body []byte) (Routing, error) { return transport.Unmarshal[Routing](body) }

// buildRouting returns the routing of a plan.
func (p *Planner) buildRouting(plan Plan, runners []Runner) Routing {
	routing := Routing{Owner: plan.Owner, Flows: plan.Flows, Lengths: plan.Lengths}
	types := map[ids.RunnerID]runnerType{}
	added := map[runnerType]bool{}
	for _, runner := range runners {
		key := runner.runnerType()
		types[runner.ID] = key
		if !added[key] && p.typeWeights[key] > 0 {
			added[key] = true
			routing.Types = append(routing.Types, TypeWeight{Service: key.service, Version: key.version, Weight: p.typeWeights[key]})
		}
	}
	for _, planned := range plan.Runners {
		typical := planned.Weight == p.typeWeights[types[planned.Runner]]
		if !typical || planned.Quarantined || planned.Group != lengthstats.Unknown {
			routing.Runners = append(routing.Runners, RunnerWeight{
				Runner: planned.Runner, Weight: planned.Weight, Group: planned.Group, Quarantined: planned.Quarantined,
			})
		}
	}
	return routing
}

// updateTypeWeight updates and returns the weight of a type: its rate limit, or the last
// weight if the limit is unknown or close to that weight.
func (p *Planner) updateTypeWeight(key runnerType, capacity Capacity) float64 {
	limit := roundSignificant(capacity.RateLimit)
	if last := p.typeWeights[key]; limit <= 0 || withinTolerance(limit, last) {
		return last
	}
	p.typeWeights[key] = limit
	return limit
}

// withinTolerance reports whether a weight is close enough to another one to be replaced
// by it.
func withinTolerance(weight float64, other float64) bool {
	return other > 0 && math.Abs(weight-other) <= weightTolerance*other
}

// flowTolerance is the change of a flow's share below which the last share is kept.
const flowTolerance = 0.05

// flowKey identifies the flows that split the same demand.
type flowKey struct {
	service     ids.Service
	homeRegions string
	origin      ids.Region
}

func (f Flow) key() flowKey {
	return flowKey{service: f.Service, homeRegions: f.HomeRegions, origin: f.Origin}
}

// stabilizeFlows rounds the shares of flows. If no share of a demand changed much, it
// returns the demand's last flows.
func (p *Planner) stabilizeFlows(flows []Flow) []Flow {
	groups := map[flowKey][]Flow{}
	for _, flow := range flows {
		flow.Share = roundSignificant(flow.Share)
		groups[flow.key()] = append(groups[flow.key()], flow)
	}
	var stable []Flow
	for _, flow := range flows {
		key := flow.key()
		group, ok := groups[key]
		if !ok {
			continue
		}
		if last := p.flows[key]; similarFlows(last, group) {
			group = last
		}
		stable = append(stable, group...)
		p.flows[key] = group
		delete(groups, key)
	}
	return stable
}

// similarFlows reports whether two lists of flows have the same targets with nearly the
// same shares.
func similarFlows(last []Flow, flows []Flow) bool {
	return slices.EqualFunc(last, flows, func(old Flow, flow Flow) bool {
		return old.Target == flow.Target && math.Abs(old.Share-flow.Share) < flowTolerance
	})
}

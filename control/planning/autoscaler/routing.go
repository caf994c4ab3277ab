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
	// Key is the news key of what routers need of the plan; every daemon holds it.
	Key = "plan"
	// WholeKey is that of the whole plan, from which the next holder of the duty
	// goes on; only the backbone holds it.
	WholeKey = gossip.BackbonePrefix + "plan"
)

// Routing is what routers need of a plan: the weight of each type of runners, and
// of the runners that differ from their type. It grows with what differs, not with
// the runners, and says the same while nothing does.
type Routing struct {
	Holder  ids.Address    `avro:"Holder"`
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
	Runner  ids.RunnerID      `avro:"Runner"`
	Weight  float64           `avro:"Weight"`
	Group   lengthstats.Class `avro:"Group"`
	Resting bool              `avro:"Resting"`
}

// SchemaName names the stored and sent form; it must never change.
func (RunnerWeight) SchemaName() string { return "RunnerWeight_23" }

// ReadRouting reads the body of the news item.
func ReadRouting(body []byte) (Routing, error) { return transport.Unmarshal[Routing](body) }

// routing takes out of a plan what routers need.
func (s *Scaler) routing(plan Plan, runners []Listed) Routing {
	told := Routing{Holder: plan.Holder, Flows: plan.Flows, Lengths: plan.Lengths}
	types := map[ids.RunnerID]typeKey{}
	present := map[typeKey]bool{}
	for _, runner := range runners {
		key := typeKey{service: runner.Service, version: runner.Version}
		types[runner.ID] = key
		if !present[key] && s.types[key] > 0 {
			present[key] = true
			told.Types = append(told.Types, TypeWeight{Service: key.service, Version: key.version, Weight: s.types[key]})
		}
	}
	for _, planned := range plan.Runners {
		same := planned.Weight == s.types[types[planned.Runner]]
		if !same || planned.Resting || planned.Group != lengthstats.Unknown {
			told.Runners = append(told.Runners, RunnerWeight{
				Runner: planned.Runner, Weight: planned.Weight, Group: planned.Group, Resting: planned.Resting,
			})
		}
	}
	return told
}

// typeWeight gives the weight of a type: its ceiling, unless that hardly differs
// from the weight of before.
func (s *Scaler) typeWeight(key typeKey, common Ceiling) float64 {
	limit := round(common.Limit)
	if before := s.types[key]; limit <= 0 || near(limit, before) {
		return before
	}
	s.types[key] = limit
	return limit
}

// near tells whether a weight is so close to another that it is not worth
// changing: each change moves prompts away from where their parts were read.
func near(weight float64, other float64) bool {
	return other > 0 && math.Abs(weight-other) <= slack*other
}

// flowSlack is by how much a share of a flow must differ before it is changed.
const flowSlack = 0.05

// origin tells apart the flows that share out the same demand.
type origin struct {
	service ids.Service
	homes   string
	region  ids.Region
}

// steady keeps the shares of a demand of before where all of them hardly changed.
func (s *Scaler) steady(flows []Flow) []Flow {
	groups := map[origin][]Flow{}
	for _, flow := range flows {
		flow.Share = round(flow.Share)
		key := origin{service: flow.Service, homes: flow.Homes, region: flow.Origin}
		groups[key] = append(groups[key], flow)
	}
	var kept []Flow
	for _, flow := range flows {
		key := origin{service: flow.Service, homes: flow.Homes, region: flow.Origin}
		group, first := groups[key]
		if !first {
			continue
		}
		if before := s.flows[key]; alike(before, group) {
			group = before
		}
		kept = append(kept, group...)
		s.flows[key] = group
		delete(groups, key)
	}
	return kept
}

// alike tells whether the same regions take nearly the same shares.
func alike(before []Flow, now []Flow) bool {
	return slices.EqualFunc(before, now, func(old Flow, flow Flow) bool {
		return old.Target == flow.Target && math.Abs(old.Share-flow.Share) < flowSlack
	})
}

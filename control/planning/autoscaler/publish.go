package autoscaler

import (
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// fullPlanInterval is the interval, in plans, at which a complete plan is published.
// Only the next owner of the lease needs it.
const fullPlanInterval = 6

// restore restores rate limits, weights and sizes from the items that another owner
// published. It ignores items that cannot be decoded, whose values are then estimated
// again.
func (p *Planner) restore() {
	if item, ok := p.options.Gossip.Get(PlanKey); ok {
		if plan, err := ReadPlan(item.Body); err == nil {
			for _, planned := range plan.Runners {
				p.runnerPlans[planned.Runner] = planned
			}
		}
	}
	if item, ok := p.options.Gossip.Get(SizesKey); ok {
		if sizes, err := ReadSizes(item.Body); err == nil {
			p.sizer.restore(sizes)
		}
	}
	if item, ok := p.options.Gossip.Get(RoutingKey); ok {
		if routing, err := ReadRouting(item.Body); err == nil {
			for _, weight := range routing.Types {
				p.typeWeights[runnerType{service: weight.Service, version: weight.Version}] = weight.Weight
			}
		}
	}
}

// publish publishes the routing of a plan if it changed, and every fullPlanInterval
// plans also the plan itself.
func (p *Planner) publish(plan Plan, runners []Runner) {
	p.lastPlan = plan
	body, err := transport.Marshal(p.buildRouting(plan, runners))
	if err != nil {
		return
	}
	if string(body) != string(p.published) && p.put(RoutingKey, body) {
		p.published = body
	}
	if p.planCount%fullPlanInterval == 0 {
		if body, err = transport.Marshal(plan); err == nil {
			p.put(PlanKey, body)
		}
	}
	p.planCount++
}

// put publishes an item with the next version. It returns false if the lease was lost
// since the start of the tick, or if the store holds a later version.
func (p *Planner) put(key string, body []byte) bool {
	if p.options.Now != nil {
		if epoch, owned := p.options.Lease(p.options.Now()); !owned || epoch != p.epoch {
			return false
		}
	}
	p.counter++
	return p.options.Gossip.Put(gossip.Item{Key: key, Version: p.options.NewSerial(p.epoch, p.counter), Body: body})
}

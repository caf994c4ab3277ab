package autoscaler

import (
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// fullPlanInterval is the number of plans for each that is published complete:
// only the next owner of the lease needs it.
const fullPlanInterval = 6

// restore takes rate limits and weights over from what another owner published.
// What can't be read is ignored: it is estimated anew.
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

// publish publishes the routing of a plan if it changed, and now and then the
// plan itself.
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

// put publishes an item under the next version. It returns false if the lease was
// lost while the plan was made, or if the store has a later version.
func (p *Planner) put(key string, body []byte) bool {
	if p.options.Now != nil {
		if epoch, owned := p.options.Lease(p.options.Now()); !owned || epoch != p.epoch {
			return false
		}
	}
	p.counter++
	return p.options.Gossip.Put(gossip.Item{Key: key, Version: p.options.NewSerial(p.epoch, p.counter), Body: body})
}

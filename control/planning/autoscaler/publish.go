package autoscaler

import (
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// restore takes over the ceilings and weights that another holder told.
func (p *Planner) restore() {
	if item, found := p.options.Gossip.Get(PlanKey); found {
		if plan, err := ReadPlan(item.Body); err == nil {
			for _, planned := range plan.Runners {
				p.runnerPlans[planned.Runner] = planned
			}
		}
	}
	if item, found := p.options.Gossip.Get(RoutingKey); found {
		if told, err := ReadRouting(item.Body); err == nil {
			for _, known := range told.Types {
				p.typeWeights[runnerType{service: known.Service, version: known.Version}] = known.Weight
			}
		}
	}
}

// fullPlanInterval is how many plans are made for each that is told whole: it serves
// only the next holder of the duty.
const fullPlanInterval = 6

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

// put makes news under the next serial, unless the duty has ended while the plan
// was made.
func (p *Planner) put(key string, body []byte) bool {
	if p.options.Now != nil {
		if epoch, held := p.options.Lease(p.options.Now()); !held || epoch != p.epoch {
			return false
		}
	}
	p.counter++
	return p.options.Gossip.Put(gossip.Item{Key: key, Version: p.options.NewSerial(p.epoch, p.counter), Body: body})
}

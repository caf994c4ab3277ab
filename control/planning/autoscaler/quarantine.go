package autoscaler

import "onyxwell/base/ids"

// updateProfiles renews what is normal for the runners of each service.
func (p *Planner) updateProfiles() {
	vectors := map[ids.Service][][]float64{}
	for _, run := range p.window.runners {
		for _, seen := range run.points {
			vectors[run.service] = append(vectors[run.service], seen.vector())
		}
	}
	for service, seen := range vectors {
		if profile := FitProfile(seen); profile != nil {
			p.profiles[service] = profile
		}
	}
}

// quarantineSteps is how many steps a runner that stands out stays out of rotation;
// its probe is the routers' own.
const quarantineSteps = 2

// detectAnomalies looks for runners that stand out. A hit has the plan made anew; one
// that points up at a runner which finishes nothing while requests break down
// there has the runner rest: that is what a relaunch comes to here.
func (p *Planner) detectAnomalies() bool {
	hit := false
	for id, steps := range p.quarantined {
		p.quarantined[id] = steps - 1
		if steps <= 1 {
			delete(p.quarantined, id)
			hit = true
		}
	}
	for id, run := range p.window.runners {
		if len(run.points) == 0 {
			continue
		}
		newest := run.points[len(run.points)-1]
		direction := p.profiles[run.service].Detect(newest.vector())
		if direction == NoAnomaly {
			continue
		}
		hit = true
		if direction == Overload && newest.finished == 0 && newest.failed > 0 && p.canQuarantine(run.service) {
			p.quarantined[id] = quarantineSteps
		}
	}
	return hit
}

// canQuarantine keeps those that rest at less than a third of a service's runners.
func (p *Planner) canQuarantine(service ids.Service) bool {
	all, resting := 0, 0
	for id, run := range p.window.runners {
		if run.service == service {
			all++
			if p.quarantined[id] > 0 {
				resting++
			}
		}
	}
	return 3*(resting+1) < all
}

package autoscaler

import "onyxwell/base/ids"

// quarantineTicks is the number of ticks for which a runner is quarantined. Routers
// check its health in the meantime.
const quarantineTicks = 2

// updateProfiles fits the profiles of all services to the metrics in the window. A
// service with too few metrics keeps its last profile.
func (p *Planner) updateProfiles() {
	vectors := map[ids.Service][][]float64{}
	for _, series := range p.window.runners {
		for _, point := range series.points {
			vectors[series.service] = append(vectors[series.service], point.vector())
		}
	}
	for service, vectors := range vectors {
		if profile := FitProfile(vectors); profile != nil {
			p.profiles[service] = profile
		}
	}
}

// detectAnomalies reports whether any runner shows an anomaly in its newest interval
// with requests, or any quarantine ended. An overloaded runner that finished no request
// while requests failed at it is quarantined; the paper would relaunch it.
func (p *Planner) detectAnomalies() bool {
	detected := p.releaseQuarantined()
	for id, series := range p.window.runners {
		if len(series.points) == 0 {
			continue
		}
		newest := series.points[len(series.points)-1]
		anomaly := p.profiles[series.service].Detect(newest.vector())
		if anomaly == NoAnomaly {
			continue
		}
		detected = true
		if anomaly == Overload && newest.finished == 0 && newest.failed > 0 && p.canQuarantine(series.service) {
			p.quarantined[id] = quarantineTicks
		}
	}
	return detected
}

// releaseQuarantined decrements the remaining ticks of each quarantine, and reports
// whether any of them ended.
func (p *Planner) releaseQuarantined() bool {
	released := false
	for id, ticks := range p.quarantined {
		p.quarantined[id] = ticks - 1
		if ticks <= 1 {
			delete(p.quarantined, id)
			released = true
		}
	}
	return released
}

// canQuarantine reports whether fewer than a third of a service's runners would be
// quarantined if one more were.
func (p *Planner) canQuarantine(service ids.Service) bool {
	runners, quarantined := 0, 0
	for id, series := range p.window.runners {
		if series.service == service {
			runners++
			if p.quarantined[id] > 0 {
				quarantined++
			}
		}
	}
	return 3*(quarantined+1) < runners
}

package scaler

import "onyxwell/base/ids"

// learn renews what is normal for the runners of each service.
func (scaler *Scaler) learn() {
	vectors := map[ids.Service][][]float64{}
	for _, run := range scaler.window.runs {
		for _, seen := range run.points {
			vectors[run.service] = append(vectors[run.service], seen.vector())
		}
	}
	for service, seen := range vectors {
		if profile := Learn(seen); profile != nil {
			scaler.profiles[service] = profile
		}
	}
}

// restSteps is how many steps a runner that stands out stays out of rotation;
// its probe is the routers' own.
const restSteps = 2

// detect looks for runners that stand out. A hit has the plan made anew; one
// that points up at a runner which finishes nothing while requests break down
// there has the runner rest: that is what a relaunch comes to here.
func (scaler *Scaler) detect() bool {
	hit := false
	for id, steps := range scaler.resting {
		scaler.resting[id] = steps - 1
		if steps <= 1 {
			delete(scaler.resting, id)
			hit = true
		}
	}
	for id, run := range scaler.window.runs {
		if len(run.points) == 0 {
			continue
		}
		newest := run.points[len(run.points)-1]
		direction := scaler.profiles[run.service].Detect(newest.vector())
		if direction == Steady {
			continue
		}
		hit = true
		if direction == Up && newest.finished == 0 && newest.failed > 0 && scaler.mayRest(run.service) {
			scaler.resting[id] = restSteps
		}
	}
	return hit
}

// mayRest keeps those that rest at less than a third of a service's runners.
func (scaler *Scaler) mayRest(service ids.Service) bool {
	all, resting := 0, 0
	for id, run := range scaler.window.runs {
		if run.service == service {
			all++
			if scaler.resting[id] > 0 {
				resting++
			}
		}
	}
	return 3*(resting+1) < all
}

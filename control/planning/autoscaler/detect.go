package autoscaler

import "onyxwell/base/ids"

// learn renews what is normal for the runners of each service.
func (s *Scaler) learn() {
	vectors := map[ids.Service][][]float64{}
	for _, run := range s.window.runs {
		for _, seen := range run.points {
			vectors[run.service] = append(vectors[run.service], seen.vector())
		}
	}
	for service, seen := range vectors {
		if profile := Learn(seen); profile != nil {
			s.profiles[service] = profile
		}
	}
}

// restSteps is how many steps a runner that stands out stays out of rotation;
// its probe is the routers' own.
const restSteps = 2

// detect looks for runners that stand out. A hit has the plan made anew; one
// that points up at a runner which finishes nothing while requests break down
// there has the runner rest: that is what a relaunch comes to here.
func (s *Scaler) detect() bool {
	hit := false
	for id, steps := range s.resting {
		s.resting[id] = steps - 1
		if steps <= 1 {
			delete(s.resting, id)
			hit = true
		}
	}
	for id, run := range s.window.runs {
		if len(run.points) == 0 {
			continue
		}
		newest := run.points[len(run.points)-1]
		direction := s.profiles[run.service].Detect(newest.vector())
		if direction == Steady {
			continue
		}
		hit = true
		if direction == Up && newest.finished == 0 && newest.failed > 0 && s.mayRest(run.service) {
			s.resting[id] = restSteps
		}
	}
	return hit
}

// mayRest keeps those that rest at less than a third of a service's runners.
func (s *Scaler) mayRest(service ids.Service) bool {
	all, resting := 0, 0
	for id, run := range s.window.runs {
		if run.service == service {
			all++
			if s.resting[id] > 0 {
				resting++
			}
		}
	}
	return 3*(resting+1) < all
}

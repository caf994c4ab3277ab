package autoscaler

import (
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// inherit takes over the ceilings and weights that another holder told.
func (s *Scaler) inherit() {
	if item, found := s.options.News.Get(WholeKey); found {
		if plan, err := ReadPlan(item.Body); err == nil {
			for _, planned := range plan.Runners {
				s.last[planned.Runner] = planned
			}
		}
	}
	if item, found := s.options.News.Get(Key); found {
		if told, err := ReadRouting(item.Body); err == nil {
			for _, known := range told.Types {
				s.types[typeKey{service: known.Service, version: known.Version}] = known.Weight
			}
		}
	}
}

// wholePace is how many plans are made for each that is told whole: it serves
// only the next holder of the duty.
const wholePace = 6

func (s *Scaler) publish(plan Plan, runners []Listed) {
	s.made = plan
	body, err := transport.Marshal(s.routing(plan, runners))
	if err != nil {
		return
	}
	if string(body) != string(s.told) && s.tell(Key, body) {
		s.told = body
	}
	if s.plans%wholePace == 0 {
		if body, err = transport.Marshal(plan); err == nil {
			s.tell(WholeKey, body)
		}
	}
	s.plans++
}

// tell makes news under the next serial, unless the duty has ended while the plan
// was made.
func (s *Scaler) tell(key string, body []byte) bool {
	if s.options.Now != nil {
		if epoch, held := s.options.Held(s.options.Now()); !held || epoch != s.epoch {
			return false
		}
	}
	s.counter++
	return s.options.News.Put(gossip.Item{Key: key, Version: s.options.Serial(s.epoch, s.counter), Body: body})
}

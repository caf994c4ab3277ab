package snapshot

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
)

// absorbRests takes over who rests; the news comes to the own zone only.
func (f *Frame) absorbRests(next *Snapshot, body []byte) bool {
	rests, err := outlier.Decode(body)
	if err != nil {
		return false
	}
	now := f.options.Clock.Now()
	next.Resting = map[ids.RunnerID]clock.Instant{}
	for _, rest := range rests.Runners {
		next.Resting[rest.Runner] = now.Add(clock.Span(rest.LeftMS) * clock.Millisecond)
	}
	return true
}

// absorbLost takes over which zones do not answer this router's.
func absorbLost(next *Snapshot, body []byte) bool {
	lost, err := zonesummary.UnmarshalLostZones(body)
	if err != nil {
		return false
	}
	next.Lost = map[ids.Zone]bool{}
	for _, zone := range lost.Zones {
		next.Lost[zone] = true
	}
	return true
}

// Rests tells whether a runner is to be left alone where others are there.
func (s *Snapshot) Rests(id ids.RunnerID, now clock.Instant) bool {
	until, found := s.Resting[id]
	return s.Planned[id].Quarantined || (found && now.Before(until))
}

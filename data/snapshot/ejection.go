package snapshot

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
)

// applyEjections takes over who rests; the news comes to the own zone only.
func (s *Store) applyEjections(next *Snapshot, body []byte) bool {
	rests, err := outlier.Decode(body)
	if err != nil {
		return false
	}
	now := s.options.Clock.Now()
	next.EjectedUntil = map[ids.RunnerID]clock.Instant{}
	for _, rest := range rests.Runners {
		next.EjectedUntil[rest.Runner] = now.Add(clock.Span(rest.LeftMS) * clock.Millisecond)
	}
	return true
}

// applyLostZones takes over which zones do not answer this router's.
func applyLostZones(next *Snapshot, body []byte) bool {
	lost, err := zonesummary.UnmarshalLostZones(body)
	if err != nil {
		return false
	}
	next.LostZones = map[ids.Zone]bool{}
	for _, zone := range lost.Zones {
		next.LostZones[zone] = true
	}
	return true
}

// Ejected tells whether a runner is to be left alone where others are there.
func (s *Snapshot) Ejected(id ids.RunnerID, now clock.Instant) bool {
	until, found := s.EjectedUntil[id]
	return s.RunnerWeights[id].Quarantined || (found && now.Before(until))
}

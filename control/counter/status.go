package counter

import (
	"slices"

	"onyxwell/base/ids"
)

// Status is the part of GET /status on the counters. Operators' tools read the JSON names.
type Status struct {
	// Origin is the origin of this controller's disk, a random number.
	Origin int64 `json:"origin"`
	// Ready is set once this controller has caught up after its start.
	Ready bool `json:"ready"`
	// Records is the number of records held, and Capacity how many can be held.
	Records  int `json:"records"`
	Capacity int `json:"capacity"`
	// Conflicts counts the records whose amount differed from that of an earlier record of
	// the same ID. The lowest amount counts.
	Conflicts int `json:"conflicts"`
	// Peers are the other controllers that are not silent, Silent those that are.
	Peers  []ids.Address `json:"peers"`
	Silent []ids.Address `json:"silent"`
	// Lacking is the number of records held here that a peer is not known to hold, summed
	// over all peers.
	Lacking int64 `json:"lacking"`
}

// Status returns the current status.
func (s *Service) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Origin: s.journal.origin, Ready: s.ready, Records: s.state.Len(), Capacity: s.capacity, Conflicts: s.state.conflicts,
		Peers: []ids.Address{}, Silent: []ids.Address{}, Lacking: s.countLackingRecords(),
	}
	for address, other := range s.peers {
		if other.silent() {
			status.Silent = append(status.Silent, address)
		} else {
			status.Peers = append(status.Peers, address)
		}
	}
	slices.Sort(status.Peers)
	slices.Sort(status.Silent)
	return status
}

// countSilentPeers counts the peers that are silent. The caller holds mu.
func (s *Service) countSilentPeers() int64 {
	silent := int64(0)
	for _, other := range s.peers {
		if other.silent() {
			silent++
		}
	}
	return silent
}

// countLackingRecords returns how many of the records held here the peers are not known to
// hold, summed over all peers. The caller holds mu.
func (s *Service) countLackingRecords() int64 {
	lacking := int64(0)
	for _, other := range s.peers {
		for _, origin := range s.state.origins {
			lacking += max(0, int64(len(origin.records))-other.held[origin.origin])
		}
	}
	return lacking
}

// addMetrics registers the metrics of the counters.
func (s *Service) addMetrics() {
	metrics := s.options.Metrics
	for outcome, count := range map[string]func() int64{
		"acknowledged": s.outcomes.acknowledged.Load, "refused": s.outcomes.refused.Load, "undecided": s.outcomes.undecided.Load,
	} {
		metrics.CounterFunc("counter_adds_total", "Adds to counters by how they were answered; of an undecided one it is open whether it counts.",
			map[string]string{"outcome": outcome}, func() float64 { return float64(count()) })
	}
	gauge := func(name string, help string, read func() int64) {
		metrics.GaugeFunc(name, help, nil, func() float64 {
			s.mu.Lock()
			defer s.mu.Unlock()
			return float64(read())
		})
	}
	gauge("counter_records", "IDs that the counters remember.", func() int64 { return int64(s.state.Len()) })
	gauge("counter_capacity", "IDs that they can remember; beyond nine tenths of it adds are refused.", func() int64 { return int64(s.capacity) })
	gauge("counter_peers_silent", "Other controllers that do not answer exchanges of counter records.", s.countSilentPeers)
	gauge("counter_records_lacking", "Records held here that other controllers are not known to hold, added up.", s.countLackingRecords)
	gauge("counter_conflicts", "Records whose ID came with another amount as well.", func() int64 { return int64(s.state.conflicts) })
	metrics.CounterFunc("counter_commits_failed_total", "Commits of counter records that the disk failed.", nil, func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return float64(s.journal.failures)
	})
}

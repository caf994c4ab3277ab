package balancer

import (
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

const (
	// shortSpillMargin is by how much the load of its own class's runners must
	// exceed the others' before a short request may go to any runner.
	shortSpillMargin = 0.1
	// longSpillFactor and longSpillMargin say the same of a long request: its own
	// class's load must exceed the others' by the factor and the margin.
	longSpillFactor = 2.0
	longSpillMargin = 0.25
)

// LengthKey returns by what the request's length is estimated before it runs.
func (a *Admission) LengthKey() lengthstats.Key {
	return lengthstats.Key{
		Service: a.service, Route: a.request.Route.Name, Bucket: lengthstats.BucketOf(a.request.PromptTokens),
	}
}

// filterLengthClass narrows the choice to the runners that the plan assigns to
// requests of this length. It returns all candidates where these are overloaded
// compared to the others, or are none: no runner stands idle beside a queue, and
// no request is rejected for its class.
func (b *Balancer) filterLengthClass(snap *snapshot.Snapshot, admission *Admission, candidates []candidate) []candidate {
	class := snap.Lengths.Class(admission.LengthKey())
	if class == lengthstats.Unknown {
		return candidates
	}
	var own, others []candidate
	for _, cand := range candidates {
		if cand.lengthClass == lengthstats.Unknown || cand.lengthClass == class {
			own = append(own, cand)
		} else {
			others = append(others, cand)
		}
	}
	if len(own) == 0 || len(others) == 0 || spillsOver(class, minLoad(own), minLoad(others)) {
		return candidates
	}
	return own
}

// spillsOver reports whether requests of a class may go to all runners, by the
// least load of the class's own runners and of the others.
func spillsOver(class lengthstats.Class, own, others float64) bool {
	switch class {
	case lengthstats.Short:
		return own > others+shortSpillMargin
	case lengthstats.Long:
		return own > longSpillFactor*others+longSpillMargin
	default:
		return false
	}
}

func minLoad(candidates []candidate) float64 {
	least := candidates[0].load
	for _, cand := range candidates {
		least = min(least, cand.load)
	}
	return least
}

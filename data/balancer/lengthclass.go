package balancer

import (
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

const (
	// shortSpillMargin is the amount by which the load of the short class's runners
	// must exceed that of the others before short requests spill over to them.
	shortSpillMargin = 0.1
	// longSpillFactor and longSpillMargin define the condition for long requests: the
	// load of the long class's runners must exceed the load of the others times the
	// factor plus the margin.
	longSpillFactor = 2.0
	longSpillMargin = 0.25
)

// LengthKey returns the key by which the request's duration is estimated before it
// runs.
func (a *Admission) LengthKey() lengthstats.Key {
	return lengthstats.Key{
		Service: a.service, Route: a.request.Route.Name, Bucket: lengthstats.BucketOf(a.request.PromptTokens),
	}
}

// filterLengthClass restricts the candidates to the runners that the plan assigns to
// the request's length class. It returns all candidates if there are no such runners
// or if they are overloaded compared to the others, so that no runner is idle while
// requests queue at another and no request is rejected because of its class.
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

// spillsOver reports whether requests of a class may go to all runners, given the
// minimum load among the class's own runners and among the others.
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

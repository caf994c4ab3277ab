package balancer

import (
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

const (
	// shortSpillMargin is by how much fuller its own group must be before a short
	// request goes to a runner of the long one; a long request borrows only where
	// its own group is longSpillFactor times as full, and by longSpillMargin.
	shortSpillMargin = 0.1
	longSpillFactor  = 2.0
	longSpillMargin  = 0.25
)

// filterLengthClass narrows the choice to the runners that take requests of this length
// first. Where these are much fuller than the others, or none is left, all are
// there to choose from: grouping never makes a runner stand idle beside a queue,
// and never refuses.
func (b *Balancer) filterLengthClass(seen *snapshot.Snapshot, decision *Admission, found []candidate) []candidate {
	class := seen.Lengths.Class(decision.LengthKind())
	if class == lengthstats.Unknown {
		return found
	}
	var own, others []candidate
	for _, able := range found {
		if able.lengthClass == lengthstats.Unknown || able.lengthClass == class {
			own = append(own, able)
		} else {
			others = append(others, able)
		}
	}
	if len(own) == 0 || len(others) == 0 {
		return found
	}
	here, there := minLoad(own), minLoad(others)
	borrows := map[lengthstats.Class]bool{
		lengthstats.Short: here > there+shortSpillMargin,
		lengthstats.Long:  here > longSpillFactor*there+longSpillMargin,
	}
	if borrows[class] {
		return found
	}
	return own
}

func minLoad(found []candidate) float64 {
	least := found[0].load
	for _, able := range found {
		least = min(least, able.load)
	}
	return least
}

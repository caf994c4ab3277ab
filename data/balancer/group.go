package balancer

import (
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

const (
	// shortBorrows is by how much fuller its own group must be before a short
	// request goes to a runner of the long one; a long request borrows only where
	// its own group is longBorrows times as full, and by longSlack.
	shortBorrows = 0.1
	longBorrows  = 2.0
	longSlack    = 0.25
)

// group narrows the choice to the runners that take requests of this length
// first. Where these are much fuller than the others, or none is left, all are
// there to choose from: grouping never makes a runner stand idle beside a queue,
// and never refuses.
func (g *Gate) group(seen *snapshot.Snapshot, decision *Decision, found []candidate) []candidate {
	class := seen.Lengths.Class(decision.Kind())
	if class == lengthstats.Unknown {
		return found
	}
	var own, others []candidate
	for _, able := range found {
		if able.group == lengthstats.Unknown || able.group == class {
			own = append(own, able)
		} else {
			others = append(others, able)
		}
	}
	if len(own) == 0 || len(others) == 0 {
		return found
	}
	here, there := leastLoad(own), leastLoad(others)
	borrows := map[lengthstats.Class]bool{
		lengthstats.Short: here > there+shortBorrows,
		lengthstats.Long:  here > longBorrows*there+longSlack,
	}
	if borrows[class] {
		return found
	}
	return own
}

func leastLoad(found []candidate) float64 {
	least := found[0].load
	for _, able := range found {
		least = min(least, able.load)
	}
	return least
}

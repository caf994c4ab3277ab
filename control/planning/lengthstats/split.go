package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

const (
	// apart is by how much long answers must take longer than short ones, and
	// leastWork which part of the work each class must have, to be told apart.
	apart     = 3.0
	leastWork = 0.1
	// suffers is the part of the short calls that must begin slowly before they
	// get runners of their own, goneBack to which part of what it then was the
	// long work must fall before they share again.
	suffers  = 0.04
	goneBack = 0.6
)

// Split cuts a service's answers into short and long ones.
type Split struct {
	Service ids.Service `avro:"Service"`
	// CutMS is the time from which an answer counts as long.
	CutMS float64 `avro:"CutMS"`
	// ShortPart is the part of the work that short ones are.
	ShortPart float64 `avro:"ShortPart"`
}

// SchemaName names the stored and sent form; it must never change.
func (Split) SchemaName() string { return "Split_24" }

// Split finds the cut that parts short from long best: the one between two kinds
// where the classes' times, on a scale of ratios, lie farthest apart for how many
// there are of each. False says that there is nothing to tell apart.
func (e *Estimator) Split(service ids.Service) (Split, bool) {
	var kinds []Sum
	count, work := 0.0, 0.0
	for kind, sum := range e.sums {
		if kind.Service == service && kind.Bucket > 0 && sum.Count > 0 {
			kinds = append(kinds, sum)
			count, work = count+sum.Count, work+sum.Tokens
		}
	}
	if count < fewestOfAll || work <= 0 {
		return Split{}, false
	}
	slices.SortFunc(kinds, func(left, right Sum) int {
		return cmp.Or(cmp.Compare(left.SpentMS/left.Count, right.SpentMS/right.Count), compareKinds(left.Kind, right.Kind))
	})
	best, bestGap := cut{Split: Split{Service: service}}, 0.0
	suffering, short := 0.0, Sum{}
	for index := range kinds[:len(kinds)-1] {
		short = short.Plus(kinds[index])
		long := Sum{Count: count - short.Count}
		for _, later := range kinds[index+1:] {
			long.SpentMS += later.SpentMS
		}
		ratio := (long.SpentMS / long.Count) / max(1e-9, short.SpentMS/short.Count)
		part := short.Tokens / work
		gap := short.Count * long.Count * math.Pow(math.Log(max(1, ratio)), 2)
		if ratio >= apart && part >= leastWork && part <= 1-leastWork && gap > bestGap {
			below, above := kinds[index].SpentMS/kinds[index].Count, kinds[index+1].SpentMS/kinds[index+1].Count
			best.CutMS, best.ShortPart, bestGap = math.Sqrt(below*above), part, gap
			best.long, suffering = work-short.Tokens, short.Slow/short.Count
		}
	}
	return e.settle(best, bestGap > 0, suffering)
}

// settle begins a split only where short calls suffer: as long as they don't,
// one group serves both best, since long prompts then wait less for each other.
// A split lasts until the long work has gone back, and a cut that hardly moved
// stays: a class that changes moves prompts away from where they were read.
func (e *Estimator) settle(found cut, apart bool, suffering float64) (Split, bool) {
	before, known := e.cuts[found.Service]
	wanted := apart && (suffering >= suffers || (known && found.long >= goneBack*before.long))
	if !wanted {
		delete(e.cuts, found.Service)
		return Split{}, false
	}
	if known && math.Abs(found.CutMS-before.CutMS) <= steady*before.CutMS && math.Abs(found.ShortPart-before.ShortPart) <= 0.1 {
		return before.Split, true
	}
	found.CutMS, found.ShortPart = math.Round(found.CutMS), math.Round(found.ShortPart*100)/100
	if known {
		found.long = before.long
	}
	e.cuts[found.Service] = found
	return found.Split, true
}

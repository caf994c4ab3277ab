package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

const (
	// minDurationRatio is by how much long answers must take longer than short ones, and
	// minWorkShare which part of the work each class must have, to be told apart.
	minDurationRatio = 3.0
	minWorkShare     = 0.1
	// minSlowShare is the part of the short calls that must begin slowly before they
	// get runners of their own, releaseWorkShare to which part of what it then was the
	// long work must fall before they share again.
	minSlowShare     = 0.04
	releaseWorkShare = 0.6
)

// Split cuts a service's answers into short and long ones.
type Split struct {
	Service ids.Service `avro:"Service"`
	// ThresholdMS is the time from which an answer counts as long.
	ThresholdMS float64 `avro:"CutMS"`
	// ShortWorkShare is the part of the work that short ones are.
	ShortWorkShare float64 `avro:"ShortPart"`
}

// SchemaName names the stored and sent form; it must never change.
func (Split) SchemaName() string { return "Split_24" }

// Split finds the cut that parts short from long best: the one between two kinds
// where the classes' times, on a scale of ratios, lie farthest apart for how many
// there are of each. False says that there is nothing to tell apart.
func (e *Estimator) Split(service ids.Service) (Split, bool) {
	var kinds []Totals
	count, work := 0.0, 0.0
	for kind, sum := range e.totals {
		if kind.Service == service && kind.Bucket > 0 && sum.Count > 0 {
			kinds = append(kinds, sum)
			count, work = count+sum.Count, work+sum.Tokens
		}
	}
	if count < minPerSplit || work <= 0 {
		return Split{}, false
	}
	slices.SortFunc(kinds, func(left, right Totals) int {
		return cmp.Or(cmp.Compare(left.DurationMS/left.Count, right.DurationMS/right.Count), compareKeys(left.Key, right.Key))
	})
	best, bestGap := activeSplit{Split: Split{Service: service}}, 0.0
	suffering, short := 0.0, Totals{}
	for index := range kinds[:len(kinds)-1] {
		short = short.Add(kinds[index])
		long := Totals{Count: count - short.Count}
		for _, later := range kinds[index+1:] {
			long.DurationMS += later.DurationMS
		}
		ratio := (long.DurationMS / long.Count) / max(1e-9, short.DurationMS/short.Count)
		part := short.Tokens / work
		gap := short.Count * long.Count * math.Pow(math.Log(max(1, ratio)), 2)
		if ratio >= minDurationRatio && part >= minWorkShare && part <= 1-minWorkShare && gap > bestGap {
			below, above := kinds[index].DurationMS/kinds[index].Count, kinds[index+1].DurationMS/kinds[index+1].Count
			best.ThresholdMS, best.ShortWorkShare, bestGap = math.Sqrt(below*above), part, gap
			best.longWork, suffering = work-short.Tokens, short.SlowFirstTokens/short.Count
		}
	}
	return e.applyHysteresis(best, bestGap > 0, suffering)
}

// applyHysteresis begins a split only where short calls suffer: as long as they don't,
// one group serves both best, since long prompts then wait less for each other.
// A split lasts until the long work has gone back, and a cut that hardly moved
// stays: a class that changes moves prompts away from where they were read.
func (e *Estimator) applyHysteresis(found activeSplit, apart bool, suffering float64) (Split, bool) {
	before, known := e.splits[found.Service]
	wanted := apart && (suffering >= minSlowShare || (known && found.longWork >= releaseWorkShare*before.longWork))
	if !wanted {
		delete(e.splits, found.Service)
		return Split{}, false
	}
	if known && math.Abs(found.ThresholdMS-before.ThresholdMS) <= changeTolerance*before.ThresholdMS && math.Abs(found.ShortWorkShare-before.ShortWorkShare) <= 0.1 {
		return before.Split, true
	}
	found.ThresholdMS, found.ShortWorkShare = math.Round(found.ThresholdMS), math.Round(found.ShortWorkShare*100)/100
	if known {
		found.longWork = before.longWork
	}
	e.splits[found.Service] = found
	return found.Split, true
}

package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

const (
	// minDurationRatio is the least ratio of the mean durations of the long and the
	// short class.
	minDurationRatio = 3.0
	// minWorkShare is the least share of the work in each class.
	minWorkShare = 0.1
	// minSlowShare is the fraction of short requests with a slow first token from
	// which a split begins.
	minSlowShare = 0.04
	// minRetainedLongWork is the fraction of the long work at a split's beginning below
	// which the split ends.
	minRetainedLongWork = 0.6
	// workShareTolerance is the change of the short class's share of the work below
	// which a split is kept.
	workShareTolerance = 0.1
	// minMeanMS keeps a mean duration, as a divisor, above 0.
	minMeanMS = 1e-9
)

// Split divides the requests of a service into short and long ones.
type Split struct {
	Service ids.Service `avro:"Service"`
	// ThresholdMS is the expected duration from which a request is long.
	ThresholdMS float64 `avro:"CutMS"`
	// ShortWorkShare is the short class's share of the work, from 0 to 1.
	ShortWorkShare float64 `avro:"ShortPart"`
}

// SchemaName names the stored and sent form; it must never change.
func (Split) SchemaName() string { return "Split_24" }

// activeSplit is a split and what its hysteresis depends on.
type activeSplit struct {
	Split
	// longWork is the work of the long class when the split began.
	longWork float64
	// slowShare is the fraction of short requests with a slow first token.
	slowShare float64
}

// UpdateSplit returns the split of a service, and false if there is none. It must be
// called once for each plan: a split depends on the one before.
func (e *Estimator) UpdateSplit(service ids.Service) (Split, bool) {
	var candidates []Totals
	count, work := 0.0, 0.0
	for key, totals := range e.totals {
		if key.Service == service && key.Bucket > 0 && totals.Count > 0 {
			candidates = append(candidates, totals)
			count, work = count+totals.Count, work+totals.Tokens
		}
	}
	if count < minRequestsPerSplit || work <= 0 {
		return Split{}, false
	}
	slices.SortFunc(candidates, func(left, right Totals) int {
		return cmp.Or(cmp.Compare(left.meanMS(), right.meanMS()), compareKeys(left.Key, right.Key))
	})
	best, ok := bestSplit(candidates, count, work)
	best.Service = service
	return e.applyHysteresis(best, ok)
}

// bestSplit returns the split between two keys, ordered by mean duration, that
// separates the classes best: the one that maximises n_short·n_long·ln²(ratio of
// the mean durations), the variance between two classes of log durations. It
// returns false if no split meets the least ratio and work shares.
func bestSplit(sorted []Totals, count float64, work float64) (best activeSplit, ok bool) {
	bestVariance := 0.0
	short := Totals{}
	for index := range sorted[:len(sorted)-1] {
		short = short.Add(sorted[index])
		long := Totals{Count: count - short.Count}
		for _, longer := range sorted[index+1:] {
			long.DurationMS += longer.DurationMS
		}
		ratio := long.meanMS() / max(minMeanMS, short.meanMS())
		share := short.Tokens / work
		variance := short.Count * long.Count * math.Pow(math.Log(max(1, ratio)), 2)
		if ratio >= minDurationRatio && share >= minWorkShare && share <= 1-minWorkShare && variance > bestVariance {
			bestVariance = variance
			best.ThresholdMS, best.ShortWorkShare = math.Sqrt(sorted[index].meanMS()*sorted[index+1].meanMS()), share
			best.longWork, best.slowShare = work-short.Tokens, short.SlowFirstTokens/short.Count
		}
	}
	return best, bestVariance > 0
}

// applyHysteresis begins a split only if short requests are slow: else one group
// serves both classes better, since long prompts then queue less for each other.
// A split lasts until the long work has shrunk, and is kept if it hardly moved:
// another class moves prompts away from where their prefixes are cached.
func (e *Estimator) applyHysteresis(split activeSplit, ok bool) (Split, bool) {
	last, active := e.splits[split.Service]
	starts := split.slowShare >= minSlowShare
	continues := active && split.longWork >= minRetainedLongWork*last.longWork
	if !ok || !(starts || continues) {
		delete(e.splits, split.Service)
		return Split{}, false
	}
	if active && math.Abs(split.ThresholdMS-last.ThresholdMS) <= durationTolerance*last.ThresholdMS &&
		math.Abs(split.ShortWorkShare-last.ShortWorkShare) <= workShareTolerance {
		return last.Split, true
	}
	split.ThresholdMS, split.ShortWorkShare = math.Round(split.ThresholdMS), math.Round(split.ShortWorkShare*100)/100
	if active {
		split.longWork = last.longWork
	}
	e.splits[split.Service] = split
	return split.Split, true
}

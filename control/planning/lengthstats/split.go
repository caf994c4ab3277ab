package lengthstats

import (
	"cmp"
	"math"
	"slices"

	"onyxwell/base/ids"
)

const (
	// minDurationRatio is the minimum ratio of the long class's mean duration to that
	// of the short class.
	minDurationRatio = 3.0
	// minWorkShare is the minimum share of the work in each class.
	minWorkShare = 0.1
	// minSlowShare is the minimum fraction of short requests with a slow first token
	// at which a split starts.
	minSlowShare = 0.04
	// minRetainedLongWork is the fraction of the long class's work at the start of a
	// split below which the split ends, unless short requests are still slow.
	minRetainedLongWork = 0.6
	// workShareTolerance is the largest change of the short class's share of the work
	// for which the last split is kept.
	workShareTolerance = 0.1
	// minMeanMS prevents a division by a mean duration of 0.
	minMeanMS = 1e-9
)

// Split divides the requests of a service into short and long ones.
type Split struct {
	Service ids.Service `avro:"Service"`
	// ThresholdMS is the expected duration at and above which a request is long.
	ThresholdMS float64 `avro:"CutMS"`
	// ShortWorkShare is the short class's share of the work, from 0 to 1.
	ShortWorkShare float64 `avro:"ShortPart"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Split) SchemaName() string { return "Split_24" }

// activeSplit is a split with the state that its hysteresis depends on.
type activeSplit struct {
	Split
	// longWork is the work of the long class when the split started.
	longWork float64
	// slowShare is the fraction of short requests with a slow first token.
	slowShare float64
}

// UpdateSplit returns the split of a service, or false if its requests should not be
// split. It must be called exactly once for each plan, because each split depends on
// the one before.
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

// bestSplit returns the split that separates the two classes best. It considers each
// boundary between two adjacent totals, which must be sorted by mean duration, and
// maximizes n_short·n_long·ln²(ratio of the mean durations), the between-class
// variance of the log durations. It returns false if no split reaches the minimum
// duration ratio and work shares.
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

// applyHysteresis starts a split only if short requests are slow. Otherwise a single
// group of runners serves both classes better, since long prompts then queue less
// behind each other. A split continues until the work of the long class has shrunk.
// It is left unchanged if it hardly moved, because a prompt whose class changes goes
// to runners that do not have its prefix cached.
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

package rollout

import "time"

const (
	// A good version is expected to fail at twice the baseline's rate plus goodFailureRate/2,
	// and at goodFailureRate at least; a bad one at badFailureRateIncrease more.
	goodFailureRate        = 0.03
	badFailureRateIncrease = 0.17
	// Without a baseline, a good version's failures include those that affect all runners
	// alike.
	goodFailureRateWithoutBaseline        = 0.10
	badFailureRateIncreaseWithoutBaseline = 0.25
	// An attempt is slow if it takes more than slowFactor times the old version's median plus
	// slowMargin.
	slowFactor = 2.5
	slowMargin = 20 * time.Millisecond
	// The fractions of slow attempts expected at least at a good and at a bad version.
	goodSlowRate = 0.25
	badSlowRate  = 0.70
	// maxGoodRate bounds the rate expected of a good version: a test needs some room above it.
	maxGoodRate = 0.6
	maxBadRate  = 0.9
	// minBaselineAttempts is how many attempts at the old version a comparison needs.
	minBaselineAttempts = 12
	// baselineWindow is the length of a window of recent attempts. The current and the previous
	// window count.
	baselineWindow = 2 * time.Second
)

// recentOutcomes holds the recent outcomes of a version's attempts on a route, in the current
// window (index 0) and the previous one.
type recentOutcomes struct {
	ended, failed    [2]int64
	firstByte, whole [2]Histogram
}

func (o *recentOutcomes) add(count RouteCount) {
	o.ended[0] += count.Ended
	o.failed[0] += count.Failed
	o.firstByte[0].Merge(count.FirstByte)
	o.whole[0].Merge(count.Whole)
}

// rotate starts a new window, unless the current one has too few attempts.
func (o *recentOutcomes) rotate() {
	if o.ended[0] < minBaselineAttempts {
		return
	}
	o.ended[1], o.failed[1] = o.ended[0], o.failed[0]
	o.firstByte[1], o.whole[1] = o.firstByte[0], o.whole[0]
	o.ended[0], o.failed[0] = 0, 0
	o.firstByte[0], o.whole[0] = Histogram{}, Histogram{}
}

func (o *recentOutcomes) totals() (ended, failed int64) {
	return o.ended[0] + o.ended[1], o.failed[0] + o.failed[1]
}

// merged returns the durations of both windows.
func merged(windows *[2]Histogram) Histogram {
	both := windows[0]
	both.Merge(windows[1].Buckets())
	return both
}

// median returns the median duration of both windows.
func median(windows *[2]Histogram) time.Duration {
	both := merged(windows)
	return both.Quantile(0.5)
}

// expectedFailureRates returns the failure rates expected on a route at a good and at a bad
// version. Both rise with the baseline's failure rate, since failures that also occur there
// are not caused by the new version.
func (j *Judge) expectedFailureRates(evidence *routeEvidence) (good, bad float64) {
	minGood, increase := goodFailureRate, badFailureRateIncrease
	rate, known := j.baselineFailureRate(evidence)
	if !known {
		minGood, increase = goodFailureRateWithoutBaseline, badFailureRateIncreaseWithoutBaseline
	}
	good = min(max(minGood, 2*rate+goodFailureRate/2), maxGoodRate)
	return good, min(good+increase, maxBadRate)
}

// baselineFailureRate returns the failure rate of the baseline. This is the old version: its
// rate over all routes, or that on the route itself if that is higher and has enough attempts.
// Once the old version gets no traffic, the other routes at the target version are the
// baseline; known is false if they have too few attempts.
func (j *Judge) baselineFailureRate(evidence *routeEvidence) (rate float64, known bool) {
	ended, failed := int64(0), int64(0)
	for _, other := range j.routes {
		routeEnded, routeFailed := other.old.totals()
		if j.oldHasNoTraffic {
			routeEnded, routeFailed = other.target.totals()
			if other == evidence {
				continue
			}
		}
		ended, failed = ended+routeEnded, failed+routeFailed
	}
	rate = ratio(failed, ended)
	if j.oldHasNoTraffic {
		return rate, ended >= minBaselineAttempts
	}
	if routeEnded, routeFailed := evidence.old.totals(); routeEnded >= minBaselineAttempts {
		rate = max(rate, ratio(routeFailed, routeEnded))
	}
	return rate, true
}

// addSlowAttempts adds to a test how many attempts at the target version were slow compared
// with the old version. It reports whether there were enough attempts to compare.
func addSlowAttempts(test *sequentialTest, old *[2]Histogram, target *Histogram) bool {
	reference := merged(old)
	if reference.Total() < minBaselineAttempts || target.Total() == 0 {
		return false
	}
	limit := time.Duration(slowFactor*float64(reference.Quantile(0.5))) + slowMargin
	good := min(max(goodSlowRate, 2*ratio(reference.Above(limit), reference.Total())), maxGoodRate)
	slow := target.Above(limit)
	test.add(slow, target.Total()-slow, good, min(max(badSlowRate, good+badFailureRateIncrease), maxBadRate))
	return true
}

// meanOldDuration returns the mean duration of attempts at the old version, 0 if it is
// unknown.
func (j *Judge) meanOldDuration() time.Duration {
	all := j.oldDurations()
	return all.Mean()
}

// oldDurationQuantile returns the q-quantile of the durations of attempts at the old version.
func (j *Judge) oldDurationQuantile(q float64) time.Duration {
	all := j.oldDurations()
	return all.Quantile(q)
}

func (j *Judge) oldDurations() Histogram {
	var all Histogram
	for _, evidence := range j.routes {
		for window := range evidence.old.whole {
			all.Merge(evidence.old.whole[window].Buckets())
		}
	}
	return all
}

// timedTotal returns the number of timed attempts at warm runners of the target version.
func (j *Judge) timedTotal() int64 {
	total := int64(0)
	for _, evidence := range j.routes {
		total += evidence.timed
	}
	return total
}

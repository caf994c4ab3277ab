package rollout

import "time"

const (
	// The part of attempts that fail at a good version is taken to be what the old one shows
	// twice over, and goodFailureRate; at a bad one it is badFailures higher.
	goodFailureRate        = 0.03
	badFailureRateIncrease = 0.17
	// Without a control, a good version may fail through what befalls all runners alike.
	goodFailureRateWithoutBaseline        = 0.10
	badFailureRateIncreaseWithoutBaseline = 0.25
	// An attempt is slow where it takes slowFactor times as long as the middle one of the old
	// version, and slowMargin more.
	slowFactor = 2.5
	slowMargin = 20 * time.Millisecond
	// The part of slow attempts at a good and at a bad version.
	goodSlowRate = 0.25
	badSlowRate  = 0.70
	// maxGoodRate bounds what is taken for good: a test needs some room above it.
	maxGoodRate = 0.6
	maxBadRate  = 0.9
	// minBaselineAttempts is how many attempts of the old version a comparison needs.
	minBaselineAttempts = 12
	// baselineWindow is for how long the old version's attempts count, once to twice.
	baselineWindow = 2 * time.Second
)

// recentOutcomes is what a version showed of late on a route, in two windows.
type recentOutcomes struct {
	ended, failed    [2]int64
	firstByte, whole [2]Histogram
}

func (c *recentOutcomes) add(count RouteCount) {
	c.ended[0] += count.Ended
	c.failed[0] += count.Failed
	c.firstByte[0].Merge(count.FirstByte)
	c.whole[0].Merge(count.Whole)
}

// rotate begins a new window, unless the present one says too little.
func (c *recentOutcomes) rotate() {
	if c.ended[0] < minBaselineAttempts {
		return
	}
	c.ended[1], c.failed[1] = c.ended[0], c.failed[0]
	c.firstByte[1], c.whole[1] = c.firstByte[0], c.whole[0]
	c.ended[0], c.failed[0] = 0, 0
	c.firstByte[0], c.whole[0] = Histogram{}, Histogram{}
}

func (c *recentOutcomes) totals() (ended, failed int64) {
	return c.ended[0] + c.ended[1], c.failed[0] + c.failed[1]
}

// merged returns the durations of both windows.
func merged(windows *[2]Histogram) Histogram {
	both := windows[0]
	both.Merge(windows[1].Buckets())
	return both
}

// median returns the middle duration of both windows.
func median(windows *[2]Histogram) time.Duration {
	both := merged(windows)
	return both.Quantile(0.5)
}

// expectedFailureRates returns the parts of failed attempts that a good and a bad version show on a
// route: what befalls the control at the time is no fault of the new version.
func (j *Judge) expectedFailureRates(evidence *routeEvidence) (good, bad float64) {
	minGood, increase := goodFailureRate, badFailureRateIncrease
	rate, known := j.baselineFailureRate(evidence)
	if !known {
		minGood, increase = goodFailureRateWithoutBaseline, badFailureRateIncreaseWithoutBaseline
	}
	good = min(max(minGood, 2*rate+goodFailureRate/2), maxGoodRate)
	return good, min(good+increase, maxBadRate)
}

// baselineFailureRate returns the part of attempts that fail at the control: the old version, or,
// where that gets nothing any more, the other routes at the target version; known is false
// where that has none.
func (j *Judge) baselineFailureRate(evidence *routeEvidence) (rate float64, known bool) {
	ended, failed := int64(0), int64(0)
	for _, other := range j.routes {
		routeEnded, routeFailed := other.old.totals()
		if j.withoutBaseline {
			routeEnded, routeFailed = other.target.totals()
			if other == evidence {
				continue
			}
		}
		ended, failed = ended+routeEnded, failed+routeFailed
	}
	rate = ratio(failed, ended)
	if j.withoutBaseline {
		return rate, ended >= minBaselineAttempts
	}
	if routeEnded, routeFailed := evidence.old.totals(); routeEnded >= minBaselineAttempts {
		rate = max(rate, ratio(routeFailed, routeEnded))
	}
	return rate, true
}

// addSlowAttempts weighs how long attempts at the target version took against the old one's; it
// reports whether there was enough to compare.
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

// meanOldDuration returns how long attempts at the old version take on average, 0 where that is
// not known.
func (j *Judge) meanOldDuration() time.Duration {
	all := j.oldDurations()
	return all.Mean()
}

// oldDurationQuantile returns how long a part of the attempts at the old version take at most.
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

// timedTotal counts the attempts at warm runners of the target version.
func (j *Judge) timedTotal() int64 {
	total := int64(0)
	for _, evidence := range j.routes {
		total += evidence.timed
	}
	return total
}

package rollout

import "math"

// The sequential tests are Wald's, as cumulative sums that restart at 0 (CUSUM): each
// attempt adds the logarithm of how much likelier its outcome is at a bad version than at a
// good one (the log-likelihood ratio).
const (
	// failureRejectThreshold and slowRejectThreshold are the cumulative sums at which a version
	// is bad. At a good version, each restart of a sum ends above its threshold with a
	// probability of about exp(-threshold).
	failureRejectThreshold = 9.0
	slowRejectThreshold    = 8.0
	// suspectFraction is the fraction of a threshold that no route's sum may exceed for the
	// version to be good.
	suspectFraction = 0.3
)

// sequentialTest is a sequential test of attempts for an outcome, a failure or slowness, that
// is more frequent at a bad version.
type sequentialTest struct {
	// sum is the log-likelihood ratio since the stage began; cusum restarts at 0.
	sum, cusum float64
}

// add adds attempts with and without the outcome; good and bad are the fractions of attempts
// with it at a good and at a bad version.
func (t *sequentialTest) add(with, without int64, good, bad float64) {
	change := float64(with)*math.Log(bad/good) + float64(without)*math.Log((1-bad)/(1-good))
	t.sum += change
	t.cusum = max(0, t.cusum+change)
}

func ratio(count, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(count) / float64(total)
}

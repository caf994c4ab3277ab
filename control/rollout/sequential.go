package rollout

import "math"

// The sequential tests are Wald's, as cumulative sums that restart at 0 (CUSUM): each
// attempt adds the logarithm of how much likelier it is at a bad version than at a good one.
const (
	// failureRejectThreshold and slowLimit are the sums at which a version is bad. At a good one, a sum
	// is passed with a probability of about its exponential, negated, for each restart.
	failureRejectThreshold = 9.0
	slowRejectThreshold    = 8.0
	// suspectFraction is the part of a limit under which a sum must lie on every route for the
	// version to be good.
	suspectFraction = 0.3
)

// sequentialTest weighs attempts that have, or have not, what a bad version shows more
// often.
type sequentialTest struct {
	// sum is since the stage began; cusum restarts at 0.
	sum, cusum float64
}

// add takes attempts with and without the mark; good and bad are the parts of attempts with
// it at a good and at a bad version.
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

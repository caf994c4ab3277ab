package rollout

import "time"

// stagePlan is how a stage divides the traffic at first, and for how long.
type stagePlan struct {
	// RunnerFraction is the part of the target version's runners that get requests, LoadFactor how much each
	// gets, in parts of what an old one gets. The canary has a pace in place of them.
	RunnerFraction, LoadFactor float64
	// MinDuration is how long the stage lasts at least. After MaxDuration it ends where nothing speaks
	// against the version; the canary never ends for want of evidence.
	MinDuration, MaxDuration time.Duration
	// Exposure is how long the whole traffic would have to go to the target version for as
	// many requests as the stage is planned to send there.
	Exposure time.Duration
}

// A stage's figures: parts of the runners, loads, and times in parts of the term.
const (
	// A canary runner carries more than an old one, so that what shows under load shows.
	canaryLoad        = 1.25
	minCanaryFraction = 0.04
	maxCanaryFraction = 0.4
	// canaryTimeFraction and canaryLongest are counted from when runners of the target version are
	// listed: what goes wrong some seconds after a start is to show, too.
	canaryTimeFraction    = 0.3
	maxCanaryTimeFraction = 0.55
	// A canary lasts minCanaryTime at least, but no more than shortCanaryTime of the term.
	minCanaryTime           = 4 * time.Second
	maxCanaryTime           = 30 * time.Second
	shortTermCanaryFraction = 0.34
	partialFraction         = 0.3
	partialTimeFraction     = 0.04
	minPartialTime          = 400 * time.Millisecond
	maxPartialTime          = 30 * time.Second
	fullTimeFraction        = 0.04
	minFullTime             = 400 * time.Millisecond
	// timedTimeFraction is for how long attempts at warm runners are timed at least.
	timedTimeFraction = 0.05
	minTimedTime      = 600 * time.Millisecond
	maxTimedTime      = 20 * time.Second
	// startedFraction is the part of the target version's runners, of as many as the old one has,
	// that must be listed for the canary to begin; startTime, in parts of the term, is when it
	// begins with fewer.
	startedFraction   = 0.7
	startTimeFraction = 0.3
	// rollbackMarginFraction is how long before the term a version that something speaks against, or that
	// has no runners, is reverted.
	rollbackMarginFraction = 0.05
	minRollbackMargin      = 500 * time.Millisecond
	// overdueTerms, in terms, is how long after the order a rollout without a finding is
	// reverted; minOverdue is how long after the term at least.
	overdueTerms = 2
	minOverdue   = 8 * time.Second
)

func clampedFraction(fraction float64, term, lower, upper time.Duration) time.Duration {
	return min(max(time.Duration(fraction*float64(term)), lower), upper)
}

// newStagePlan returns the shape of a stage of a rollout with a term. share returns the part of
// all requests that a part of the runners with a load gets.
func newStagePlan(stage Stage, term, budget time.Duration, share func(part, load float64) float64) stagePlan {
	switch stage {
	case Canary:
		minDuration := min(clampedFraction(canaryTimeFraction, term, minCanaryTime, maxCanaryTime), time.Duration(shortTermCanaryFraction*float64(term)))
		plan := stagePlan{MinDuration: minDuration}
		plan.MaxDuration = max(plan.MinDuration, time.Duration(maxCanaryTimeFraction*float64(term)))
		plan.Exposure = time.Duration(canaryBudgetFraction * float64(budget))
		return plan
	case Partial:
		minDuration := clampedFraction(partialTimeFraction, term, minPartialTime, maxPartialTime)
		plan := stagePlan{RunnerFraction: partialFraction, LoadFactor: 1, MinDuration: minDuration, MaxDuration: 2 * minDuration}
		plan.Exposure = time.Duration(share(plan.RunnerFraction, plan.LoadFactor) * float64(plan.MaxDuration))
		return plan
	case Full:
		return stagePlan{RunnerFraction: 1, LoadFactor: 1, MinDuration: max(minFullTime, time.Duration(fullTimeFraction*float64(term)))}
	}
	return stagePlan{}
}

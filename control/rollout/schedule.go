package rollout

import "time"

// stagePlan is how a stage divides the traffic initially, and how long it lasts.
type stagePlan struct {
	// RunnerFraction is the fraction of the target version's runners that get requests,
	// LoadFactor the load of each relative to that of an old runner. They are not set for the
	// canary, whose allocation is computed continuously.
	RunnerFraction, LoadFactor float64
	// MinDuration is how long the stage lasts at least. After MaxDuration the Partial stage ends
	// if there is no evidence against the version; the canary never ends for lack of evidence,
	// only its load test does.
	MinDuration, MaxDuration time.Duration
	// Exposure is the planned exposure: the time for which all traffic would have to go to the
	// target version for as many requests as the stage is planned to send there.
	Exposure time.Duration
}

// Parameters of the stages: fractions of the runners, relative loads, and times as fractions of
// the term.
const (
	// A canary runner carries more load than an old one, so that faults under load show.
	canaryLoad        = 1.25
	minCanaryFraction = 0.04
	maxCanaryFraction = 0.4
	// canaryTimeFraction and maxCanaryTimeFraction count from the start of the canary, when
	// runners of the target version are listed, so that faults some seconds after a start show
	// too.
	canaryTimeFraction    = 0.3
	maxCanaryTimeFraction = 0.55
	// A canary lasts at least minCanaryTime, but this minimum is no more than
	// shortTermCanaryFraction of the term.
	minCanaryTime           = 4 * time.Second
	maxCanaryTime           = 30 * time.Second
	shortTermCanaryFraction = 0.34
	partialFraction         = 0.3
	partialTimeFraction     = 0.04
	minPartialTime          = 400 * time.Millisecond
	maxPartialTime          = 30 * time.Second
	fullTimeFraction        = 0.04
	minFullTime             = 400 * time.Millisecond
	// timedTimeFraction is how long attempts at warm runners are timed at least.
	timedTimeFraction = 0.05
	minTimedTime      = 600 * time.Millisecond
	maxTimedTime      = 20 * time.Second
	// startedFraction is how many runners of the target version, as a fraction of the number of
	// old ones, must be listed for the canary to begin. After startTimeFraction of the term it
	// begins with fewer.
	startedFraction   = 0.7
	startTimeFraction = 0.3
	// rollbackMarginFraction is how long before the end of the term a version is reverted that
	// has no runners, or against which there is evidence.
	rollbackMarginFraction = 0.05
	minRollbackMargin      = 500 * time.Millisecond
	// overdueTerms is how many terms after the order a rollout without a finding is reverted,
	// but no earlier than minOverdue after the end of the term.
	overdueTerms = 2
	minOverdue   = 8 * time.Second
)

func clampedFraction(fraction float64, term, lower, upper time.Duration) time.Duration {
	return min(max(time.Duration(fraction*float64(term)), lower), upper)
}

// newStagePlan returns the plan of a stage of a rollout with a term. share returns the share of
// all requests that a fraction of the runners gets at a load factor.
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

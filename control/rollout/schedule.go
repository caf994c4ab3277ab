package rollout

import "time"

// stageShape is how a stage divides the traffic at first, and for how long.
type stageShape struct {
	// Part is the part of the target version's runners that get requests, Load how much each
	// gets, in parts of what an old one gets. The canary has a pace in place of them.
	Part, Load float64
	// Least is how long the stage lasts at least. After Longest it ends where nothing speaks
	// against the version; the canary never ends for want of evidence.
	Least, Longest time.Duration
	// Exposure is how long the whole traffic would have to go to the target version for as
	// many requests as the stage is planned to send there.
	Exposure time.Duration
}

// A stage's figures: parts of the runners, loads, and times in parts of the term.
const (
	// A canary runner carries more than an old one, so that what shows under load shows.
	canaryLoad    = 1.25
	minCanaryPart = 0.04
	maxCanaryPart = 0.4
	// canaryTime and canaryLongest are counted from when runners of the target version are
	// listed: what goes wrong some seconds after a start is to show, too.
	canaryTime    = 0.3
	canaryLongest = 0.55
	// A canary lasts minCanaryTime at least, but no more than shortCanaryTime of the term.
	minCanaryTime   = 4 * time.Second
	maxCanaryTime   = 30 * time.Second
	shortCanaryTime = 0.34
	partialPart     = 0.3
	partialTime     = 0.04
	minPartial      = 400 * time.Millisecond
	maxPartial      = 30 * time.Second
	fullTime        = 0.04
	minFull         = 400 * time.Millisecond
	// timedTime is for how long attempts at warm runners are timed at least.
	timedTime    = 0.05
	minTimedTime = 600 * time.Millisecond
	maxTimedTime = 20 * time.Second
	// startedPart is the part of the target version's runners, of as many as the old one has,
	// that must be listed for the canary to begin; startTime, in parts of the term, is when it
	// begins with fewer.
	startedPart = 0.7
	startTime   = 0.3
	// closingTime is how long before the term a version that something speaks against, or that
	// has no runners, is reverted.
	closingTime = 0.05
	minClosing  = 500 * time.Millisecond
	// overdueTime, in terms, is how long after the order a rollout without a finding is
	// reverted; minOverdue is how long after the term at least.
	overdueTime = 2
	minOverdue  = 8 * time.Second
)

func bounded(part float64, term, least, most time.Duration) time.Duration {
	return min(max(time.Duration(part*float64(term)), least), most)
}

// shapeOf returns the shape of a stage of a rollout with a term. share returns the part of
// all requests that a part of the runners with a load gets.
func shapeOf(stage Stage, term, budget time.Duration, share func(part, load float64) float64) stageShape {
	switch stage {
	case Canary:
		least := min(bounded(canaryTime, term, minCanaryTime, maxCanaryTime), time.Duration(shortCanaryTime*float64(term)))
		shape := stageShape{Least: least}
		shape.Longest = max(shape.Least, time.Duration(canaryLongest*float64(term)))
		shape.Exposure = time.Duration(canaryBudgetFraction * float64(budget))
		return shape
	case Partial:
		least := bounded(partialTime, term, minPartial, maxPartial)
		shape := stageShape{Part: partialPart, Load: 1, Least: least, Longest: 2 * least}
		shape.Exposure = time.Duration(share(shape.Part, shape.Load) * float64(shape.Longest))
		return shape
	case Full:
		return stageShape{Part: 1, Load: 1, Least: max(minFull, time.Duration(fullTime*float64(term)))}
	}
	return stageShape{}
}

package voter

import (
	"context"
	"errors"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/random"
	"onyxwell/control/state/register"
)

// standbyIntervalsSkipped is the number of intervals that a standby skips after
// it found no vacancy, before it asks all others again. When it sees a place
// become free, it tries immediately.
const standbyIntervalsSkipped = 1

// Run surveys and repairs the voters while this disk votes, and tries to join
// them while it does not, until ctx ends. Meanwhile a standby catches up, so that
// little is left to learn when a place becomes free. A round is due after each
// interval, and at each tick for some time after the view of the voters has
// changed.
func (v *Voter) Run(ctx context.Context, interval time.Duration) {
	tick := min(v.options.Timing.Tick, interval)
	next := v.clock.Now()
	for ctx.Err() == nil {
		now := v.clock.Now()
		due := v.checkDue(now)
		if due || !now.Before(next) {
			start := v.clock.Now()
			next = start.Add(v.surveyOrJoin(ctx, interval))
		}
		// The random part keeps standbys that competed for the same place from
		// colliding again.
		if !clock.Wait(ctx, v.clock, tick-random.Duration(tick/2)) {
			return
		}
	}
}

// view is what is known about the voters without a request, and since when.
type view struct {
	votersFingerprint int64
	// degraded lists the learners and the suspected voters.
	degraded string
	// stable means that nothing is left to be done.
	stable bool
	since  clock.Instant
}

// checkDue updates the view of the voters and reports whether to survey, or try
// to join, at this tick: the view changed less than SuspectAfter ago, or it is
// not stable and changed less than ActiveFor ago.
func (v *Voter) checkDue(now clock.Instant) bool {
	voters := v.Acceptor.Voters()
	v.liveness.trackVoters(now, voters)
	current := view{votersFingerprint: voters.Fingerprint(), stable: voters.Generation > 0}
	for _, voter := range voters.Members {
		if voter.Learner || v.liveness.suspected(voter.Address) {
			current.degraded += string(voter.Address) + " "
		}
	}
	voting := v.Voting()
	current.stable = current.stable && current.degraded == "" && (voting || !v.joiner.HasVacancy())
	v.mu.Lock()
	defer v.mu.Unlock()
	if voting {
		current.stable = current.stable && v.redundancy.CurrentVotes == v.redundancy.Voters && !v.repairer.HasLagging()
	}
	current.since = v.lastView.since
	if current != v.lastView {
		current.since = now
		v.lastView = current
	}
	age := now.Since(current.since)
	return age < v.options.Timing.SuspectAfter || (!current.stable && age < v.options.Timing.ActiveFor)
}

// surveyOrJoin surveys, or tries to join, and returns the time until the next
// regular round.
func (v *Voter) surveyOrJoin(ctx context.Context, interval time.Duration) time.Duration {
	if v.Voting() {
		v.surveyOnce(ctx)
		return interval
	}
	return time.Duration(v.tryJoin(ctx)+1) * interval
}

// tryJoin tries to join the voters, and catches up with them if there is no
// vacancy. It returns the number of intervals to skip.
func (v *Voter) tryJoin(ctx context.Context) int {
	ctx, cancel := v.clock.WithTimeout(ctx, v.options.Timeout)
	defer cancel()
	err := v.joiner.Join(ctx)
	v.log.Info().Str("part", "voter").Err(err).Msg("join attempted")
	if !errors.Is(err, register.ErrNoVacancy) {
		return 0
	}
	v.repairer.CatchUp(ctx)
	return standbyIntervalsSkipped
}

// surveyOnce surveys the voters and repairs those that lag. A change is logged
// only once two successive surveys show it, since an update in progress shows in
// one survey only.
func (v *Voter) surveyOnce(ctx context.Context) {
	ctx, cancel := v.clock.WithTimeout(ctx, v.options.Timeout)
	defer cancel()
	start := v.clock.Now()
	redundancy := v.repairer.Round(ctx)
	v.mu.Lock()
	defer v.mu.Unlock()
	summary := redundancy.String()
	if summary == v.redundancy.String() && summary != v.lastLogged {
		v.lastLogged = summary
		v.logRedundancy(redundancy)
	}
	v.redundancy = redundancy
	v.liveness.recordUnreachable(start, redundancy.Unreachable)
}

// logRedundancy logs the result of a survey. It is a warning if fewer losses can
// be tolerated than the settings require, whether voters are lost or too few
// controllers are deployed.
func (v *Voter) logRedundancy(redundancy register.Redundancy) {
	entry, message := v.log.Info(), "redundancy changed"
	if redundancy.TolerableLosses < v.settings.Tolerate.Machines {
		entry, message = v.log.Warn(), "redundancy below tolerate.machines"
	}
	entry.Str("part", "voter").Str("redundancy", redundancy.String()).Bool("complete", redundancy.Complete).
		Int("tolerate_machines", v.settings.Tolerate.Machines).Int("target_voters", v.options.TargetCount).
		Int64("all_voters_age_ms", v.options.Quorum.Status(v.clock.Now()).AllVotersAgeMS).Msg(message)
}

// Redundancy returns the result of the last survey. It is the zero value if there
// was none, as on a disk that has not voted yet.
func (v *Voter) Redundancy() register.Redundancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.redundancy
}

// QueryRedundancy returns the result of the last survey or, if this disk does not
// vote, of a new survey without repairs.
func (v *Voter) QueryRedundancy(ctx context.Context) register.Redundancy {
	if v.Voting() {
		return v.Redundancy()
	}
	return v.joiner.Redundancy(ctx)
}

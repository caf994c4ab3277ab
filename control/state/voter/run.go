package voter

import (
	"errors"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/state/register"
)

// Attach names the keeper through which a seat is asked for and what lags is
// repaired.
func (v *Voter) Attach(keeper *register.Proposer) {
	v.joiner = &register.Joiner{
		Address: v.options.Address, Acceptor: v.Acceptor, Proposer: keeper,
		Replicas: v, Peers: v.controllers, Replaceable: v.isReplaceable,
		TargetVoters: v.options.TargetCount, PlacementAllowed: v.fitsPlacement, Suspected: v.suspected, RequestTimeout: v.options.Timing.RequestTimeout,
	}
	v.survey = &register.Repairer{Joiner: v.joiner}
}

// standbyIdleRounds is how many calm looks one that finds no free seat lets pass before it
// asks all others again; a seat that it sees getting free it asks for at once.
const standbyIdleRounds = 1

// Run strives for a seat until the scope ends, and looks after what the voters
// hold while it has one. One that stands by follows the voters, so that little is
// left to learn when a seat gets free. In calm that is done now and then; what
// changes (a voter falls silent, the voters are others, a key lags) has it done
// at the next tick, and at each while the change is young.
func (v *Voter) Run(ctx scope.Scope, every clock.Span) {
	tick := min(v.options.Timing.Tick, every)
	next := ctx.Now()
	for ctx.Err() == nil {
		now := ctx.Now()
		stirred := v.checkDue(now)
		if stirred || !now.Before(next) {
			next = ctx.Now().Add(v.step(ctx, every))
		}
		// Newcomers that met each other on the way to a seat part here.
		if !ctx.Wait(tick - random.Duration(tick/2)) {
			return
		}
	}
}

// step looks after the voters, or strives to be one, and tells how long to be idle
// in calm.
func (v *Voter) step(ctx scope.Scope, every clock.Span) clock.Span {
	if v.Voting() {
		v.surveyOnce(ctx)
		return every
	}
	return clock.Span(v.tryJoin(ctx)+1) * every
}

// tryJoin asks for a seat, or follows the voters while there is none, and gives
// for how many looks to be idle.
func (v *Voter) tryJoin(ctx scope.Scope) int {
	short, release := ctx.WithTimeout(v.options.Timeout)
	defer release()
	err := v.joiner.Join(short)
	ctx.Log.Info().Str("part", "seat").Err(err).Msg("asked for a seat")
	if !errors.Is(err, register.ErrNoVacancy) {
		return 0
	}
	v.survey.CatchUp(short)
	return standbyIdleRounds
}

// surveyOnce has one round of questions and repairs, and logs what changed; what the
// next look finds otherwise again was only a change on its way.
func (v *Voter) surveyOnce(ctx scope.Scope) {
	short, release := ctx.WithTimeout(v.options.Timeout)
	defer release()
	begin := ctx.Now()
	state := v.survey.Round(short)
	v.mu.Lock()
	defer v.mu.Unlock()
	line := state.String()
	if line == v.redundancy.String() && line != v.lastLogged {
		v.lastLogged = line
		whole := v.options.Quorum.Status(ctx.Now()).AllVotersAgeMS
		ctx.Log.Info().Str("part", "seat").Bool("whole", state.Complete).Int64("whole_contact_age_ms", whole).Msg(line)
	}
	v.redundancy = state
	v.recordMissed(begin, state.Unreachable)
}

// Redundancy tells how much more the control state bears, as last seen from
// here; without a seat nothing was.
func (v *Voter) Redundancy() register.Redundancy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.redundancy
}

// QueryRedundancy is the same, for which the voters are asked where there is no
// seat here.
func (v *Voter) QueryRedundancy(ctx scope.Scope) register.Redundancy {
	if v.Voting() {
		return v.Redundancy()
	}
	return v.joiner.Redundancy(ctx)
}

// HandOver makes sure, for at most a quarter of the time that one has to end, that
// what this disk holds is held by enough others, and that its seat is taken by one
// that stands by. Where nobody does it keeps its seat: one that leaves can't tell
// whether it will be started again.
func (v *Voter) HandOver(ctx scope.Scope) {
	short, release := ctx.WithTimeout(settings.Seconds(ctx.Settings.Bounds.GraceS) / 4)
	defer release()
	leaving := &register.Repairer{Joiner: v.joiner, MinCopies: RequiredCopies(ctx.Settings)}
	done := leaving.HandOff(short)
	for (!done || v.hasStandby()) && short.Wait(v.options.ReplaceAfter/10) {
		done = leaving.HandOff(short)
	}
	ctx.Log.Info().Str("part", "seat").Bool("enough", done).Bool("seated", v.Voting()).Msg("what is held here is held by others")
}

// Leave says that this seat is free for one that stands by.
func (v *Voter) Leave() { v.Acceptor.Leave() }

// hasStandby tells whether somebody who stands by could take the seat yet.
func (v *Voter) hasStandby() bool {
	if !v.Voting() {
		return false
	}
	seated := map[ids.Address]bool{}
	for _, voter := range v.Acceptor.Voters().Members {
		seated[voter.Address] = true
	}
	self := v.options.Membership.Self()
	for _, member := range v.options.Membership.Members() {
		if member.Role == self.Role && member.State == membership.Alive && !seated[member.Address] {
			return true
		}
	}
	return false
}

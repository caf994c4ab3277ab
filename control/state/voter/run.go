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

// Seek names the keeper through which a seat is asked for and what lags is
// repaired.
func (s *Seat) Seek(keeper *register.Proposer) {
	s.joiner = &register.Joiner{
		Address: s.options.Address, Acceptor: s.Acceptor, Proposer: keeper,
		Replicas: s, Peers: s.controllers, Replaceable: s.isGone,
		TargetVoters: s.options.Seats, PlacementAllowed: s.fits, Suspected: s.doubted, RequestTimeout: s.options.Pace.Answer,
	}
	s.survey = &register.Repairer{Joiner: s.joiner}
}

// standBys is how many calm looks one that finds no free seat lets pass before it
// asks all others again; a seat that it sees getting free it asks for at once.
const standBys = 1

// Run strives for a seat until the scope ends, and looks after what the voters
// hold while it has one. One that stands by follows the voters, so that little is
// left to learn when a seat gets free. In calm that is done now and then; what
// changes (a voter falls silent, the voters are others, a key lags) has it done
// at the next tick, and at each while the change is young.
func (s *Seat) Run(ctx scope.Scope, every clock.Span) {
	tick := min(s.options.Pace.Tick, every)
	next := ctx.Now()
	for ctx.Err() == nil {
		now := ctx.Now()
		stirred := s.stirred(now)
		if stirred || !now.Before(next) {
			next = ctx.Now().Add(s.act(ctx, every))
		}
		// Newcomers that met each other on the way to a seat part here.
		if !ctx.Wait(tick - random.Part(tick/2)) {
			return
		}
	}
}

// act looks after the voters, or strives to be one, and tells how long to be idle
// in calm.
func (s *Seat) act(ctx scope.Scope, every clock.Span) clock.Span {
	if s.Voting() {
		s.look(ctx)
		return every
	}
	return clock.Span(s.strive(ctx)+1) * every
}

// strive asks for a seat, or follows the voters while there is none, and gives
// for how many looks to be idle.
func (s *Seat) strive(ctx scope.Scope) int {
	short, release := ctx.WithLimit(s.options.Limit)
	defer release()
	err := s.joiner.Join(short)
	ctx.Log.Info().Str("part", "seat").Err(err).Msg("asked for a seat")
	if !errors.Is(err, register.ErrNoVacancy) {
		return 0
	}
	s.survey.CatchUp(short)
	return standBys
}

// look has one round of questions and repairs, and logs what changed; what the
// next look finds otherwise again was only a change on its way.
func (s *Seat) look(ctx scope.Scope) {
	short, release := ctx.WithLimit(s.options.Limit)
	defer release()
	begin := ctx.Now()
	state := s.survey.Round(short)
	s.mu.Lock()
	defer s.mu.Unlock()
	line := state.String()
	if line == s.redundancy.String() && line != s.logged {
		s.logged = line
		whole := s.options.Contact.Status(ctx.Now()).WholeAgeMS
		ctx.Log.Info().Str("part", "seat").Bool("whole", state.Complete).Int64("whole_contact_age_ms", whole).Msg(line)
	}
	s.redundancy = state
	s.miss(begin, state.Unreachable)
}

// Redundancy tells how much more the control state bears, as last seen from
// here; without a seat nothing was.
func (s *Seat) Redundancy() register.Redundancy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.redundancy
}

// RedundancyNow is the same, for which the voters are asked where there is no
// seat here.
func (s *Seat) RedundancyNow(ctx scope.Scope) register.Redundancy {
	if s.Voting() {
		return s.Redundancy()
	}
	return s.joiner.Redundancy(ctx)
}

// HandOn makes sure, for at most a quarter of the time that one has to end, that
// what this disk holds is held by enough others, and that its seat is taken by one
// that stands by. Where nobody does it keeps its seat: one that leaves can't tell
// whether it will be started again.
func (s *Seat) HandOn(ctx scope.Scope) {
	short, release := ctx.WithLimit(settings.Seconds(ctx.Boot.Bounds.GraceS) / 4)
	defer release()
	leaving := &register.Repairer{Joiner: s.joiner, MinCopies: Copies(ctx.Boot)}
	done := leaving.HandOff(short)
	for (!done || s.awaited()) && short.Wait(s.options.Patience/10) {
		done = leaving.HandOff(short)
	}
	ctx.Log.Info().Str("part", "seat").Bool("enough", done).Bool("seated", s.Voting()).Msg("what is held here is held by others")
}

// Leave says that this seat is free for one that stands by.
func (s *Seat) Leave() { s.Acceptor.Leave() }

// awaited tells whether somebody who stands by could take the seat yet.
func (s *Seat) awaited() bool {
	if !s.Voting() {
		return false
	}
	seated := map[ids.Address]bool{}
	for _, voter := range s.Acceptor.Voters().Members {
		seated[voter.Address] = true
	}
	self := s.options.Table.Self()
	for _, member := range s.options.Table.Members() {
		if member.Role == self.Role && member.State == membership.Alive && !seated[member.Address] {
			return true
		}
	}
	return false
}

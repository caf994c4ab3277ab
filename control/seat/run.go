package seat

import (
	"errors"

	"onyxwell/base/boot"
	"onyxwell/base/chance"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/register"
)

// Seek names the keeper through which a seat is asked for and what lags is
// repaired.
func (seat *Seat) Seek(keeper *register.Keeper) {
	seat.joiner = &register.Joiner{
		Address: seat.options.Address, Acceptor: seat.Acceptor, Keeper: keeper,
		Reach: seat, Others: seat.controllers, Gone: seat.isGone,
		Wanted: seat.options.Seats, Fits: seat.fits, Doubt: seat.doubted, Answer: seat.options.Pace.Answer,
	}
	seat.survey = &register.Survey{Joiner: seat.joiner}
}

// standBys is how many calm looks one that finds no free seat lets pass before it
// asks all others again; a seat that it sees getting free it asks for at once.
const standBys = 1

// Run strives for a seat until the scope ends, and looks after what the voters
// hold while it has one. One that stands by follows the voters, so that little is
// left to learn when a seat gets free. In calm that is done now and then; what
// changes (a voter falls silent, the voters are others, a key lags) has it done
// at the next tick, and at each while the change is young.
func (seat *Seat) Run(inner scope.Scope, every clock.Span) {
	tick := min(seat.options.Pace.Tick, every)
	next := inner.Now()
	for inner.Err() == nil {
		now := inner.Now()
		stirred := seat.stirred(now)
		if stirred || !now.Before(next) {
			next = inner.Now().Add(seat.act(inner, every))
		}
		// Newcomers that met each other on the way to a seat part here.
		if !inner.Wait(tick - chance.Part(tick/2)) {
			return
		}
	}
}

// act looks after the voters, or strives to be one, and tells how long to be idle
// in calm.
func (seat *Seat) act(inner scope.Scope, every clock.Span) clock.Span {
	if seat.Voting() {
		seat.look(inner)
		return every
	}
	return clock.Span(seat.strive(inner)+1) * every
}

// strive asks for a seat, or follows the voters while there is none, and gives
// for how many looks to be idle.
func (seat *Seat) strive(inner scope.Scope) int {
	short, release := inner.WithLimit(seat.options.Limit)
	defer release()
	err := seat.joiner.Join(short)
	inner.Log.Info().Str("part", "seat").Err(err).Msg("asked for a seat")
	if !errors.Is(err, register.ErrNoSeat) {
		return 0
	}
	seat.survey.Follow(short)
	return standBys
}

// look has one round of questions and repairs, and logs what changed; what the
// next look finds otherwise again was only a change on its way.
func (seat *Seat) look(inner scope.Scope) {
	short, release := inner.WithLimit(seat.options.Limit)
	defer release()
	begin := inner.Now()
	state := seat.survey.Round(short)
	seat.lock.Lock()
	defer seat.lock.Unlock()
	line := state.String()
	if line == seat.redundancy.String() && line != seat.logged {
		seat.logged = line
		whole := seat.options.Contact.Status(inner.Now()).WholeAgeMS
		inner.Log.Info().Str("part", "seat").Bool("whole", state.Whole).Int64("whole_contact_age_ms", whole).Msg(line)
	}
	seat.redundancy = state
	seat.miss(begin, state.Away)
}

// Redundancy tells how much more the control state bears, as last seen from
// here; without a seat nothing was.
func (seat *Seat) Redundancy() register.Redundancy {
	seat.lock.Lock()
	defer seat.lock.Unlock()
	return seat.redundancy
}

// RedundancyNow is the same, for which the voters are asked where there is no
// seat here.
func (seat *Seat) RedundancyNow(inner scope.Scope) register.Redundancy {
	if seat.Voting() {
		return seat.Redundancy()
	}
	return seat.joiner.Redundancy(inner)
}

// HandOn makes sure, for at most a quarter of the time that one has to end, that
// what this disk holds is held by enough others, and that its seat is taken by one
// that stands by. Where nobody does it keeps its seat: one that leaves can't tell
// whether it will be started again.
func (seat *Seat) HandOn(inner scope.Scope) {
	short, release := inner.WithLimit(boot.Seconds(inner.Boot.Bounds.GraceS) / 4)
	defer release()
	leaving := &register.Survey{Joiner: seat.joiner, Copies: Copies(inner.Boot)}
	done := leaving.HandOn(short)
	for (!done || seat.awaited()) && short.Wait(seat.options.Patience/10) {
		done = leaving.HandOn(short)
	}
	inner.Log.Info().Str("part", "seat").Bool("enough", done).Bool("seated", seat.Voting()).Msg("what is held here is held by others")
}

// Leave says that this seat is free for one that stands by.
func (seat *Seat) Leave() { seat.Acceptor.Leave() }

// awaited tells whether somebody who stands by could take the seat yet.
func (seat *Seat) awaited() bool {
	if !seat.Voting() {
		return false
	}
	seated := map[ids.Address]bool{}
	for _, voter := range seat.Acceptor.Voters().Seats {
		seated[voter.Address] = true
	}
	self := seat.options.Table.Self()
	for _, member := range seat.options.Table.Members() {
		if member.Role == self.Role && member.State == cohort.Alive && !seated[member.Address] {
			return true
		}
	}
	return false
}

package voter

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Promise carries the message to a voter.
func (s *Seat) Promise(ctx scope.Scope, address ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return carry(s, ctx, address, "promise", asked, s.Acceptor.Prepare, func(told register.PrepareResponse) (register.Verdict, int64) {
		return told.Verdict, told.Generation
	})
}

// Accept carries the message to a voter.
func (s *Seat) Accept(ctx scope.Scope, address ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return carry(s, ctx, address, "accept", asked, s.Acceptor.Accept, verdictOf)
}

// Confirm carries the message to a voter.
func (s *Seat) Confirm(ctx scope.Scope, address ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return carry(s, ctx, address, "confirm", asked, s.Acceptor.Confirm, verdictOf)
}

func verdictOf(told register.AcceptResponse) (register.Verdict, int64) {
	return told.Verdict, told.Generation
}

// carry asks the own voter in place and others by message.
func carry[Asked, Told any](seat *Seat, ctx scope.Scope, address ids.Address, name string, asked Asked,
	own func(Asked) Told, verdict func(Told) (register.Verdict, int64)) (Told, error) {
	if address == seat.options.Address {
		return own(asked), nil
	}
	begin := ctx.Now()
	told, err := transport.Send[Told](ctx, seat.options.Messenger, address, name, asked)
	if err == nil {
		seat.options.Contact.Heard(address, begin)
	}
	said, generation := verdict(told)
	seat.mend(ctx, address, said, generation, err)
	return told, err
}

// mend repairs whichever side knows only older voters.
func (s *Seat) mend(ctx scope.Scope, address ids.Address, verdict register.Verdict, theirs int64, err error) {
	if err == nil && verdict == register.Fenced {
		s.joiner.ReconcileVoters(ctx, address, theirs)
	}
}

// Copy asks a controller for what it holds.
func (s *Seat) Copy(ctx scope.Scope, address ids.Address, asked register.FetchRequest) (register.FetchResponse, error) {
	return transport.Send[register.FetchResponse](ctx, s.options.Messenger, address, "copy", asked)
}

// Held asks a controller how all keys stand on its disk. Where they stand there
// as here, as in calm they do, only that is told.
func (s *Seat) Held(ctx scope.Scope, address ids.Address) (register.DigestResponse, error) {
	own := s.Acceptor.Digest()
	begin := ctx.Now()
	told, err := transport.Send[register.DigestResponse](ctx, s.options.Messenger, address, "held", register.DigestRequest{Hash: own.Hash()})
	if err == nil {
		s.options.Contact.Heard(address, begin)
	}
	if err == nil && told.Unchanged {
		told.Keys = own.Keys
	}
	return told, err
}

// tellHeld answers such a question.
func (s *Seat) tellHeld(asked register.DigestRequest) register.DigestResponse {
	told := s.Acceptor.Digest()
	told.Unreachable = s.away()
	if told.Hash() == asked.Hash {
		told.Unchanged, told.Keys = true, nil
	}
	return told
}

// Learn brings newer copies to a voter.
func (s *Seat) Learn(ctx scope.Scope, address ids.Address, slots []register.Slot) error {
	_, err := transport.Send[LearnTold](ctx, s.options.Messenger, address, "learn", LearnAsk{Slots: slots})
	return err
}

// isGone tells whether a voter's seat is free: it says that it leaves, or was
// removed after a suspicion that it did not refute. One that is known from the
// disk alone may just not have been heard of yet, and is left some time. One that
// no daemon remembers any more has been gone for longer still; that nobody told
// of it is counted from when it was first asked here.
func (s *Seat) isGone(address ids.Address) bool {
	member, known := s.options.Table.Find(address)
	if member.State != membership.Left && s.answers(address) {
		// Word that it was removed is older than that, or wrong.
		s.mu.Lock()
		delete(s.unknown, address)
		s.mu.Unlock()
		return false
	}
	if known {
		patience := s.options.Patience
		if member.State == membership.Left {
			patience = 0
		} else if member.Incarnation > 0 {
			patience /= 2
		}
		return !member.Present() && s.options.Table.Since(address) >= patience
	}
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	since, asked := s.unknown[address]
	if !asked {
		s.unknown[address] = now
	}
	return asked && now.Since(since) > 2*s.options.Patience
}

// controllers gives the inner addresses of all controllers worth asking.
func (s *Seat) controllers() []ids.Address {
	known := map[ids.Address]bool{s.options.Address: true}
	var found []ids.Address
	add := func(address ids.Address) {
		if !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	for _, member := range s.options.Table.Members() {
		if member.Role == s.options.Table.Self().Role && member.State == membership.Alive {
			add(member.Address)
		}
	}
	for _, voter := range s.Acceptor.Voters().Members {
		if !s.isGone(voter.Address) {
			add(voter.Address)
		}
	}
	for _, address := range s.options.Seeds {
		add(address)
	}
	return found
}

package voter

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Promise carries the message to a voter.
func (v *Voter) Promise(ctx scope.Scope, address ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return send(v, ctx, address, "promise", asked, v.Acceptor.Prepare, func(told register.PrepareResponse) (register.Verdict, int64) {
		return told.Verdict, told.Generation
	})
}

// Accept carries the message to a voter.
func (v *Voter) Accept(ctx scope.Scope, address ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return send(v, ctx, address, "accept", asked, v.Acceptor.Accept, acceptVerdict)
}

// Confirm carries the message to a voter.
func (v *Voter) Confirm(ctx scope.Scope, address ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return send(v, ctx, address, "confirm", asked, v.Acceptor.Confirm, acceptVerdict)
}

func acceptVerdict(told register.AcceptResponse) (register.Verdict, int64) {
	return told.Verdict, told.Generation
}

// send asks the own voter in place and others by message.
func send[Asked, Told any](seat *Voter, ctx scope.Scope, address ids.Address, name string, asked Asked,
	own func(Asked) Told, verdict func(Told) (register.Verdict, int64)) (Told, error) {
	if address == seat.options.Address {
		return own(asked), nil
	}
	begin := ctx.Now()
	told, err := transport.Send[Told](ctx, seat.options.Transport, address, name, asked)
	if err == nil {
		seat.options.Quorum.RecordContact(address, begin)
	}
	said, generation := verdict(told)
	seat.repairVoters(ctx, address, said, generation, err)
	return told, err
}

// repairVoters repairs whichever side knows only older voters.
func (v *Voter) repairVoters(ctx scope.Scope, address ids.Address, verdict register.Verdict, theirs int64, err error) {
	if err == nil && verdict == register.Fenced {
		v.joiner.ReconcileVoters(ctx, address, theirs)
	}
}

// Copy asks a controller for what it holds.
func (v *Voter) Copy(ctx scope.Scope, address ids.Address, asked register.FetchRequest) (register.FetchResponse, error) {
	return transport.Send[register.FetchResponse](ctx, v.options.Transport, address, "copy", asked)
}

// Held asks a controller how all keys stand on its disk. Where they stand there
// as here, as in calm they do, only that is told.
func (v *Voter) Held(ctx scope.Scope, address ids.Address) (register.DigestResponse, error) {
	own := v.Acceptor.Digest()
	begin := ctx.Now()
	told, err := transport.Send[register.DigestResponse](ctx, v.options.Transport, address, "held", register.DigestRequest{Hash: own.Hash()})
	if err == nil {
		v.options.Quorum.RecordContact(address, begin)
	}
	if err == nil && told.Unchanged {
		told.Keys = own.Keys
	}
	return told, err
}

// handleHeld answers such a question.
func (v *Voter) handleHeld(asked register.DigestRequest) register.DigestResponse {
	told := v.Acceptor.Digest()
	told.Unreachable = v.lostVoters()
	if told.Hash() == asked.Hash {
		told.Unchanged, told.Keys = true, nil
	}
	return told
}

// Learn brings newer copies to a voter.
func (v *Voter) Learn(ctx scope.Scope, address ids.Address, slots []register.Slot) error {
	_, err := transport.Send[LearnResponse](ctx, v.options.Transport, address, "learn", LearnRequest{Slots: slots})
	return err
}

// isReplaceable tells whether a voter's seat is free: it says that it leaves, or was
// removed after a suspicion that it did not refute. One that is known from the
// disk alone may just not have been heard of yet, and is left some time. One that
// no daemon remembers any more has been gone for longer still; that nobody told
// of it is counted from when it was first asked here.
func (v *Voter) isReplaceable(address ids.Address) bool {
	member, known := v.options.Membership.Find(address)
	if member.State != membership.Left && v.responsive(address) {
		// Word that it was removed is older than that, or wrong.
		v.mu.Lock()
		delete(v.unknownSince, address)
		v.mu.Unlock()
		return false
	}
	if known {
		patience := v.options.ReplaceAfter
		if member.State == membership.Left {
			patience = 0
		} else if member.Incarnation > 0 {
			patience /= 2
		}
		return !member.Present() && v.options.Membership.StateAge(address) >= patience
	}
	now := v.now()
	v.mu.Lock()
	defer v.mu.Unlock()
	since, asked := v.unknownSince[address]
	if !asked {
		v.unknownSince[address] = now
	}
	return asked && now.Since(since) > 2*v.options.ReplaceAfter
}

// controllers gives the inner addresses of all controllers worth asking.
func (v *Voter) controllers() []ids.Address {
	known := map[ids.Address]bool{v.options.Address: true}
	var found []ids.Address
	add := func(address ids.Address) {
		if !known[address] {
			known[address] = true
			found = append(found, address)
		}
	}
	for _, member := range v.options.Membership.Members() {
		if member.Role == v.options.Membership.Self().Role && member.State == membership.Alive {
			add(member.Address)
		}
	}
	for _, voter := range v.Acceptor.Voters().Members {
		if !v.isReplaceable(voter.Address) {
			add(voter.Address)
		}
	}
	for _, address := range v.options.Seeds {
		add(address)
	}
	return found
}

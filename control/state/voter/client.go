package voter

import (
	"context"

	"onyxwell/base/ids"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Voter implements register.VoterClient for the proposer and
// register.ReplicaClient for the joiner. Both reach all controllers through it.

// Prepare sends a prepare request to a voter.
func (v *Voter) Prepare(ctx context.Context, address ids.Address, req register.PrepareRequest) (register.PrepareResponse, error) {
	return callVoter(ctx, v, address, prepareMessage, req, v.Acceptor.Prepare, func(resp register.PrepareResponse) (register.Verdict, int64) {
		return resp.Verdict, resp.Generation
	})
}

// Accept sends an accept request to a voter.
func (v *Voter) Accept(ctx context.Context, address ids.Address, req register.AcceptRequest) (register.AcceptResponse, error) {
	return callVoter(ctx, v, address, acceptMessage, req, v.Acceptor.Accept, acceptVerdict)
}

// Confirm sends a confirm request to a voter.
func (v *Voter) Confirm(ctx context.Context, address ids.Address, req register.ConfirmRequest) (register.AcceptResponse, error) {
	return callVoter(ctx, v, address, confirmMessage, req, v.Acceptor.Confirm, acceptVerdict)
}

func acceptVerdict(resp register.AcceptResponse) (register.Verdict, int64) {
	return resp.Verdict, resp.Generation
}

// callVoter calls the local acceptor directly, and other voters over the network.
// If a voter refuses the voter set of the request, the side with the older set
// learns the newer one.
func callVoter[Req, Resp any](ctx context.Context, v *Voter, address ids.Address, name string, req Req,
	local func(Req) Resp, verdictOf func(Resp) (register.Verdict, int64)) (Resp, error) {
	if address == v.options.Address {
		return local(req), nil
	}
	resp, err := call[Resp](ctx, v, address, name, req)
	if verdict, generation := verdictOf(resp); err == nil && verdict == register.Fenced {
		v.joiner.ReconcileVoters(ctx, address, generation)
	}
	return resp, err
}

// call sends a request to another controller and records a response as contact.
func call[Resp, Req any](ctx context.Context, v *Voter, address ids.Address, name string, req Req) (Resp, error) {
	sent := v.clock.Now()
	resp, err := transport.Send[Resp](ctx, v.options.Transport, address, name, req)
	if err == nil {
		v.options.Quorum.RecordContact(address, sent)
	}
	return resp, err
}

// Fetch requests the slots that a controller holds.
func (v *Voter) Fetch(ctx context.Context, address ids.Address, req register.FetchRequest) (register.FetchResponse, error) {
	if address == v.options.Address {
		return v.Acceptor.Fetch(req), nil
	}
	return transport.Send[register.FetchResponse](ctx, v.options.Transport, address, fetchMessage, req)
}

// FetchDigest requests the state of all keys on a controller's disk. If it equals
// the state here, which is the usual case, the keys are not sent.
func (v *Voter) FetchDigest(ctx context.Context, address ids.Address) (register.DigestResponse, error) {
	local := v.Acceptor.Digest()
	resp, err := call[register.DigestResponse](ctx, v, address, digestMessage, register.DigestRequest{Hash: local.Hash()})
	if err == nil && resp.Unchanged {
		resp.Keys = local.Keys
	}
	return resp, err
}

// Learn sends newer copies of slots to a controller.
func (v *Voter) Learn(ctx context.Context, address ids.Address, slots []register.Slot) error {
	_, err := transport.Send[LearnResponse](ctx, v.options.Transport, address, learnMessage, LearnRequest{Slots: slots})
	return err
}

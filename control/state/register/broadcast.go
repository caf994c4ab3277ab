package register

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// sendFunc sends one request to a member. It returns the verdict and the number
// of the epoch that the member had promised.
type sendFunc func(ctx context.Context, member Member) (Verdict, int64)

// vote is the result of one request of a broadcast.
type vote struct {
	member  Member
	verdict Verdict
	// promised is the number of the epoch that the member had promised.
	promised int64
}

// broadcast sends a request to every member of the sets. It returns nil once each
// set has its quorum, and an error once some set can no longer reach it or ctx
// ends. The requests themselves are bounded by MessageTimeout only, so they may
// outlive the call.
func (p *Proposer) broadcast(ctx context.Context, state *keyState, sets [][]Member, minCopies int, send sendFunc) error {
	members := distinctMembers(sets)
	votes := make(chan vote, len(members))
	for _, member := range members {
		p.options.Spawn(func() {
			ctx, cancel := p.options.Clock.WithTimeout(context.WithoutCancel(ctx), p.options.MessageTimeout)
			defer cancel()
			verdict, promised := send(ctx, member)
			votes <- vote{member: member, verdict: verdict, promised: promised}
		})
	}
	granted := map[ids.Address]bool{}
	refused := map[ids.Address]bool{}
	for range members {
		select {
		case received := <-votes:
			state.highestEpoch = max(state.highestEpoch, received.promised)
			if received.verdict == Granted {
				granted[received.member.Address] = true
			} else {
				refused[received.member.Address] = true
			}
		case <-ctx.Done():
			return errkind.Errorf(errkind.NoQuorum, "no quorum of the voters answered in time")
		}
		if allQuorums(sets, granted, minCopies) {
			return nil
		}
		if quorumImpossible(sets, refused, minCopies) {
			return errkind.Errorf(errkind.NoQuorum, "too many voters refused")
		}
	}
	return errkind.Errorf(errkind.NoQuorum, "no quorum of the voters granted the request")
}

// acceptSender returns a sendFunc that sends a proposal for the state's key.
func (p *Proposer) acceptSender(state *keyState, proposal Proposal) sendFunc {
	// The requests may still run when the writer has set a newer state.voters.
	voters := state.voters
	return func(ctx context.Context, member Member) (Verdict, int64) {
		resp, err := p.options.Client.Accept(ctx, member.Address, AcceptRequest{Fence: voters.FencingToken(member), Key: state.key, Proposal: proposal})
		return verdictOf(resp.Verdict, err), resp.Promised.Number
	}
}

// verdictOf returns the verdict of a response, or Failed if none came.
func verdictOf(verdict Verdict, err error) Verdict {
	if err != nil {
		return Failed
	}
	return verdict
}

package register

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// sendFunc sends one request to a member; it returns the verdict and the number
// of the epoch that the member had promised.
type sendFunc func(ctx context.Context, member Member) (Verdict, int64)

type vote struct {
	member  Member
	verdict Verdict
	// promised is the number of the epoch that the member had promised.
	promised int64
}

// broadcast sends a request to every member of the sets. It returns once each
// set has its quorum, or can't get it any more, or ctx ends. The requests
// themselves are bounded by MessageTimeout alone.
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
			return errkind.Errorf(errkind.NoQuorum, "the voters did not answer in time")
		}
		if allQuorums(sets, granted, minCopies) {
			return nil
		}
		if quorumImpossible(sets, refused, minCopies) {
			return errkind.Errorf(errkind.NoQuorum, "too many voters refused")
		}
	}
	return errkind.Errorf(errkind.NoQuorum, "no majority")
}

// acceptSender returns the sending of one proposal for the key of the state.
func (p *Proposer) acceptSender(state *keyState, proposal Proposal) sendFunc {
	// The sending may outlast the writer's work under these voters.
	voters := state.voters
	return func(ctx context.Context, member Member) (Verdict, int64) {
		resp, err := p.options.Client.Accept(ctx, member.Address, AcceptRequest{Fence: voters.FencingToken(member), Key: state.key, Proposal: proposal})
		return verdictOf(resp.Verdict, err), resp.Promised.Number
	}
}

// verdictOf is Failed for a request that got no response.
func verdictOf(verdict Verdict, err error) Verdict {
	if err != nil {
		return Failed
	}
	return verdict
}

package voter

import (
	"context"

	"onyxwell/base/ids"
	"onyxwell/control/state/lease"
)

// leaseRequestsPerTTL bounds a lease request to 1/leaseRequestsPerTTL of
// LeaseTTL.
const leaseRequestsPerTTL = 3

// RequestLease sends a lease request to all voters. It returns once a majority
// has granted it, all have responded, or ctx ends. The local voter is asked
// first: if it refuses a new lease, no request is sent to the others.
func (v *Voter) RequestLease(ctx context.Context, req lease.Request) lease.Outcome {
	voters := v.Acceptor.Voters()
	members := voters.Members
	req.VotersFingerprint = voters.Fingerprint()
	granted := 0
	if v.Lessor.Grant(req).Granted {
		granted = 1
	} else if !req.Renew && !req.Release {
		return lease.NoneGranted
	}
	votes := make(chan bool, len(members))
	for _, member := range members {
		go func() { votes <- v.requestLeaseFrom(ctx, member.Address, req) }()
	}
	for pending := len(members); 2*granted <= len(members); pending-- {
		if pending == 0 {
			return lease.MinorityGranted
		}
		select {
		case vote := <-votes:
			if vote {
				granted++
			}
		case <-ctx.Done():
			return lease.MinorityGranted
		}
	}
	return lease.MajorityGranted
}

// requestLeaseFrom reports whether another voter granted the request. It
// continues after ctx has ended, so that a release reaches slow voters too.
func (v *Voter) requestLeaseFrom(ctx context.Context, address ids.Address, req lease.Request) bool {
	if address == v.options.Address {
		return false
	}
	ctx, cancel := v.clock.WithTimeout(context.WithoutCancel(ctx), v.options.LeaseTTL/leaseRequestsPerTTL)
	defer cancel()
	resp, err := call[lease.Response](ctx, v, address, leaseMessage, req)
	if err != nil {
		return false
	}
	if resp.VotersMismatch {
		v.joiner.ReconcileVoters(ctx, address, resp.Generation)
	}
	return resp.Granted
}

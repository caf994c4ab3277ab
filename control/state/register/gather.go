package register

import (
	"context"
	"slices"

	"onyxwell/base/ids"
)

// gather sends a request to all addresses concurrently and passes the responses
// to handle, one at a time, on the caller's goroutine. It does not wait for
// suspected replicas.
func gather[Response any](j *Joiner, addresses []ids.Address, request func(address ids.Address) (Response, bool), handle func(address ids.Address, resp Response)) {
	gatherUntil(j, addresses, j.suspected, func() bool { return true }, request, handle)
}

// gatherUntil is gather with explicit conditions: it waits for optional replicas
// only until the responses are sufficient, so that a lost replica does not cost
// its whole timeout every time. Both conditions are evaluated after each response.
func gatherUntil[Response any](j *Joiner, addresses []ids.Address, optional func(address ids.Address) bool, sufficient func() bool,
	request func(address ids.Address) (Response, bool), handle func(address ids.Address, resp Response)) {
	type result struct {
		address ids.Address
		resp    Response
		ok      bool
	}
	spawn := j.Spawn
	if spawn == nil {
		spawn = func(task func()) { go task() }
	}
	results := make(chan result, len(addresses))
	for _, address := range addresses {
		spawn(func() {
			resp, ok := request(address)
			results <- result{address: address, resp: resp, ok: ok}
		})
	}
	awaited := slices.Clone(addresses)
	receive := func(r result) {
		awaited = slices.DeleteFunc(awaited, func(address ids.Address) bool { return address == r.address })
		if r.ok {
			handle(r.address, r.resp)
		}
	}
	for range addresses {
		required := slices.ContainsFunc(awaited, func(address ids.Address) bool { return !optional(address) })
		if required || !sufficient() {
			receive(<-results)
			continue
		}
		// Responses that have already arrived are still handled.
		select {
		case r := <-results:
			receive(r)
		default:
			return
		}
	}
}

// gatherDigests requests the digests of the other voters of a set.
func (j *Joiner) gatherDigests(ctx context.Context, voters VoterSet, handle func(address ids.Address, digest DigestResponse)) {
	gather(j, j.otherVoters(voters), func(address ids.Address) (DigestResponse, bool) {
		digest, err := j.fetchDigest(ctx, address)
		return digest, err == nil
	}, handle)
}

// fetchDigest requests the digests of one replica, within RequestTimeout.
func (j *Joiner) fetchDigest(ctx context.Context, address ids.Address) (DigestResponse, error) {
	ctx, cancel := j.withRequestTimeout(ctx)
	defer cancel()
	return j.Replicas.FetchDigest(ctx, address)
}

// withRequestTimeout applies RequestTimeout, if set, to a request's context.
func (j *Joiner) withRequestTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if j.RequestTimeout == 0 {
		return ctx, func() {}
	}
	return j.Clock.WithTimeout(ctx, j.RequestTimeout)
}

// suspected reports whether a replica is suspected of not answering at present.
func (j *Joiner) suspected(address ids.Address) bool {
	return j.Suspected != nil && j.Suspected(address)
}

// otherVoters returns the addresses of all voters except this machine's.
func (j *Joiner) otherVoters(voters VoterSet) []ids.Address {
	var others []ids.Address
	for _, member := range voters.Members {
		if member.Address != j.Address {
			others = append(others, member.Address)
		}
	}
	return others
}

// withoutReplaceable removes the addresses of replaceable voters, unless all are
// replaceable.
func (j *Joiner) withoutReplaceable(addresses []ids.Address) []ids.Address {
	present := slices.DeleteFunc(slices.Clone(addresses), j.replaceable)
	if len(present) == 0 {
		return addresses
	}
	return present
}

package register

import (
	"context"
	"errors"
	"sync"

	"onyxwell/base/ids"
)

var errMessageLost = errors.New("simulation: the message was lost")

// deliver sends a request from one node to another and returns the response, or
// loses the request or the response. Another random event may happen before the
// delivery.
func deliver[Response any](c *cluster, from ids.Address, to ids.Address, handle func(*Acceptor) Response) (Response, error) {
	var zero Response
	if c.eventDepth < 2 && c.oneIn(8) {
		c.eventDepth++
		c.randomEvent()
		c.eventDepth--
	}
	if from != to {
		c.messages++
	}
	if c.hookAfter--; c.hookAfter == 0 {
		c.hook()
	}
	target := c.find(to)
	if target == nil || !target.up || c.partitions[[2]ids.Address{from, to}] || (from != to && c.oneIn(12)) {
		if target != nil && c.oneIn(3) {
			// The request is late instead of lost: it is delivered when the sender
			// no longer waits for the response.
			c.delayed = append(c.delayed, func() {
				if target.up {
					handle(target.acceptor)
				}
			})
		}
		return zero, errMessageLost
	}
	acceptor := target.acceptor
	resp := handle(acceptor)
	if target.acceptor != acceptor {
		return zero, errMessageLost
	}
	if c.partitions[[2]ids.Address{to, from}] || (from != to && c.oneIn(12)) {
		return zero, errMessageLost
	}
	return resp, nil
}

// clusterClient is a node's VoterClient and ReplicaClient in the simulated network.
type clusterClient struct {
	cluster *cluster
	from    ids.Address
}

// reconcile exchanges voter sets with another node that fenced off a request.
func (c clusterClient) reconcile(address ids.Address, verdict Verdict, generation int64, err error) {
	if err == nil && verdict == Fenced && address != c.from {
		c.cluster.find(c.from).joiner.ReconcileVoters(c.cluster.ctx, address, generation)
	}
}

func (c clusterClient) Prepare(_ context.Context, address ids.Address, req PrepareRequest) (PrepareResponse, error) {
	resp, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) PrepareResponse { return voter.Prepare(req) })
	c.reconcile(address, resp.Verdict, resp.Generation, err)
	return resp, err
}

func (c clusterClient) Accept(_ context.Context, address ids.Address, req AcceptRequest) (AcceptResponse, error) {
	resp, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) AcceptResponse { return voter.Accept(req) })
	c.reconcile(address, resp.Verdict, resp.Generation, err)
	return resp, err
}

func (c clusterClient) Confirm(_ context.Context, address ids.Address, req ConfirmRequest) (AcceptResponse, error) {
	resp, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) AcceptResponse { return voter.Confirm(req) })
	c.reconcile(address, resp.Verdict, resp.Generation, err)
	return resp, err
}

func (c clusterClient) Fetch(_ context.Context, address ids.Address, req FetchRequest) (FetchResponse, error) {
	return deliver(c.cluster, c.from, address, func(voter *Acceptor) FetchResponse { return voter.Fetch(req) })
}

func (c clusterClient) FetchDigest(_ context.Context, address ids.Address) (DigestResponse, error) {
	return deliver(c.cluster, c.from, address, func(voter *Acceptor) DigestResponse { return voter.Digest() })
}

func (c clusterClient) Learn(_ context.Context, address ids.Address, slots []Slot) error {
	err, lost := deliver(c.cluster, c.from, address, func(voter *Acceptor) error { return voter.Learn(slots) })
	return errors.Join(err, lost)
}

// unresponsiveClient is a ReplicaClient of a network in which one node never
// answers and all others report it as unreachable.
type unresponsiveClient struct {
	ReplicaClient
	unresponsive ids.Address
	// turn is held by the request that is running, since a cluster must be used by
	// one goroutine at a time. A request that gets no response releases it while it
	// waits.
	turn *sync.Mutex
}

func (u unresponsiveClient) waitForTimeout(ctx context.Context) {
	u.turn.Unlock()
	defer u.turn.Lock()
	<-ctx.Done()
}

func (u unresponsiveClient) Fetch(ctx context.Context, address ids.Address, req FetchRequest) (FetchResponse, error) {
	if address == u.unresponsive {
		u.waitForTimeout(ctx)
		return FetchResponse{}, ctx.Err()
	}
	return u.ReplicaClient.Fetch(ctx, address, req)
}

func (u unresponsiveClient) FetchDigest(ctx context.Context, address ids.Address) (DigestResponse, error) {
	if address == u.unresponsive {
		u.waitForTimeout(ctx)
		return DigestResponse{}, ctx.Err()
	}
	resp, err := u.ReplicaClient.FetchDigest(ctx, address)
	resp.Unreachable = []ids.Address{u.unresponsive}
	return resp, err
}

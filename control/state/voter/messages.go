package voter

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// Names of the voter's messages on the wire.
const (
	prepareMessage = "promise"
	acceptMessage  = "accept"
	confirmMessage = "confirm"
	fetchMessage   = "copy"
	digestMessage  = "held"
	learnMessage   = "learn"
	leaseMessage   = "hold"
)

// LearnRequest carries newer copies of slots to a replica.
type LearnRequest struct {
	Slots []register.Slot `avro:"Slots"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (LearnRequest) SchemaName() string { return "LearnAsk_21" }

// LearnResponse reports whether the slots have been stored durably.
type LearnResponse struct {
	Applied bool `avro:"Taken"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (LearnResponse) SchemaName() string { return "LearnTold_21" }

// RegisterHandlers registers the handlers of the requests that other controllers
// send to this voter.
func (v *Voter) RegisterHandlers(calls *httpcall.Mux) {
	handle(calls, prepareMessage, v.Acceptor.Prepare)
	handle(calls, acceptMessage, v.Acceptor.Accept)
	handle(calls, confirmMessage, v.Acceptor.Confirm)
	handle(calls, fetchMessage, v.Acceptor.Fetch)
	handle(calls, digestMessage, v.handleDigest)
	handle(calls, leaseMessage, v.handleLease)
	transport.Handle(calls, learnMessage, func(_ context.Context, req LearnRequest) (LearnResponse, error) {
		err := v.Acceptor.Learn(req.Slots)
		return LearnResponse{Applied: err == nil}, err
	})
}

// handle registers a handler that cannot fail.
func handle[Req, Resp any](calls *httpcall.Mux, name string, serve func(Req) Resp) {
	transport.Handle(calls, name, func(_ context.Context, req Req) (Resp, error) { return serve(req), nil })
}

// handleDigest returns the state of all keys on this disk, without the keys if
// the hash in the request shows that the requester holds the same.
func (v *Voter) handleDigest(req register.DigestRequest) register.DigestResponse {
	resp := v.Acceptor.Digest()
	resp.Unreachable = v.liveness.lostVoters(v.Acceptor.Voters())
	if resp.Hash() == req.Hash {
		resp.Unchanged, resp.Keys = true, nil
	}
	return resp
}

func (v *Voter) handleLease(req lease.Request) lease.Response {
	resp := v.Lessor.Grant(req)
	resp.Generation = v.Acceptor.Voters().Generation
	return resp
}

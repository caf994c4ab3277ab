package gossip

import (
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

// The names of the messages between daemons.
const (
	exchangeMessage = "exchange"
	giveMessage     = "give"
	pushMessage     = "push"
)

// peers sends messages to other gossipers.
type peers interface {
	Exchange(ctx scope.Scope, address ids.Address, req ExchangeRequest) (ExchangeResponse, error)
	Give(ctx scope.Scope, address ids.Address, req GiveRequest) error
	Push(ctx scope.Scope, address ids.Address, req PushRequest) error
}

// remotePeers sends messages over the network.
type remotePeers struct{ client *transport.Client }

// Exchange implements peers.
func (r remotePeers) Exchange(ctx scope.Scope, address ids.Address, req ExchangeRequest) (ExchangeResponse, error) {
	return transport.Send[ExchangeResponse](ctx, r.client, address, exchangeMessage, req)
}

// Give implements peers.
func (r remotePeers) Give(ctx scope.Scope, address ids.Address, req GiveRequest) error {
	_, err := transport.Send[GiveResponse](ctx, r.client, address, giveMessage, req)
	return err
}

// Push implements peers.
func (r remotePeers) Push(ctx scope.Scope, address ids.Address, req PushRequest) error {
	_, err := transport.Send[PushResponse](ctx, r.client, address, pushMessage, req)
	return err
}

// RegisterHandlers registers the gossiper's messages.
func (g *Gossiper) RegisterHandlers(mux *httpcall.Mux) {
	transport.Handle(mux, exchangeMessage, func(_ scope.Scope, req ExchangeRequest) (ExchangeResponse, error) {
		return g.handleExchange(req), nil
	})
	transport.Handle(mux, giveMessage, func(_ scope.Scope, req GiveRequest) (GiveResponse, error) {
		g.Table.Merge(req.Members)
		return GiveResponse{Accepted: g.receiveAll(req.Items)}, nil
	})
	transport.Handle(mux, pushMessage, func(ctx scope.Scope, req PushRequest) (PushResponse, error) {
		return g.handlePush(ctx, req), nil
	})
}

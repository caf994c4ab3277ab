package gossip

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// The names of the gossip messages.
const (
	exchangeMessage = "exchange"
	giveMessage     = "give"
	pushMessage     = "push"
)

// peers sends gossip messages to other daemons.
type peers interface {
	Exchange(ctx context.Context, address ids.Address, req ExchangeRequest) (ExchangeResponse, error)
	Give(ctx context.Context, address ids.Address, req GiveRequest) error
	Push(ctx context.Context, address ids.Address, req PushRequest) error
}

// remotePeers implements peers over the network.
type remotePeers struct{ client *transport.Client }

// Exchange implements peers.
func (r remotePeers) Exchange(ctx context.Context, address ids.Address, req ExchangeRequest) (ExchangeResponse, error) {
	return transport.Send[ExchangeResponse](ctx, r.client, address, exchangeMessage, req)
}

// Give implements peers.
func (r remotePeers) Give(ctx context.Context, address ids.Address, req GiveRequest) error {
	_, err := transport.Send[GiveResponse](ctx, r.client, address, giveMessage, req)
	return err
}

// Push implements peers.
func (r remotePeers) Push(ctx context.Context, address ids.Address, req PushRequest) error {
	_, err := transport.Send[PushResponse](ctx, r.client, address, pushMessage, req)
	return err
}

// RegisterHandlers registers the handlers of the gossip messages with mux.
func (g *Gossiper) RegisterHandlers(mux *httpcall.Mux) {
	transport.Handle(mux, exchangeMessage, func(_ context.Context, req ExchangeRequest) (ExchangeResponse, error) {
		return g.handleExchange(req), nil
	})
	transport.Handle(mux, giveMessage, func(_ context.Context, req GiveRequest) (GiveResponse, error) {
		g.Table.Merge(req.Members)
		return GiveResponse{Accepted: g.receiveAll(req.Items)}, nil
	})
	transport.Handle(mux, pushMessage, func(ctx context.Context, req PushRequest) (PushResponse, error) {
		return g.handlePush(ctx, req), nil
	})
}

package gossip

import (
	"context"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Exchange compares items and members with another daemon and transfers what either side
// lacks. It gives up silently if the other daemon doesn't answer in time, since a later
// exchange repairs the same differences.
func (g *Gossiper) Exchange(ctx context.Context, address ids.Address) {
	callCtx, cancel := g.Clock.WithTimeout(ctx, g.Timeout)
	defer cancel()
	g.exchanges.Add(1)
	resp, err := g.requestExchange(callCtx, address, false)
	if err == nil && resp.Differs {
		if g.fetchFromNearer(ctx, address, resp) {
			return
		}
		resp, err = g.requestExchange(callCtx, address, true)
	}
	if err != nil {
		return
	}
	g.recordSeedAnswer(address)
	g.Table.Merge(append(resp.Members, resp.From))
	g.receiveAll(resp.Items)
	if give := g.collectWanted(resp); len(give.Items)+len(give.Members) > 0 {
		_ = g.remote().Give(callCtx, address, give)
	}
}

// requestExchange sends an ExchangeRequest with either all versions or only their digest.
func (g *Gossiper) requestExchange(ctx context.Context, address ids.Address, withVersions bool) (ExchangeResponse, error) {
	partner, _ := g.Table.Find(address)
	common := g.commonScope(partner)
	req := ExchangeRequest{From: g.Table.Self(), MembershipDigest: g.Table.Digest(), HasVersions: withVersions}
	if withVersions {
		req.Versions = g.Store.Versions(common)
	} else {
		req.ItemDigest = g.Store.Digest(common)
	}
	return g.remote().Exchange(ctx, address, req)
}

// handleExchange answers an ExchangeRequest of another daemon.
func (g *Gossiper) handleExchange(req ExchangeRequest) ExchangeResponse {
	g.Table.Merge([]membership.Member{req.From})
	resp := ExchangeResponse{From: g.Table.Self(), MembershipDigest: g.Table.Digest()}
	common := g.commonScope(req.From)
	if req.HasVersions {
		resp.Items, resp.WantedKeys = g.Store.Diff(req.Versions, common)
	} else {
		resp.Differs = req.ItemDigest != g.Store.Digest(common)
	}
	if g.Table.Differs(req.From.Zone, req.MembershipDigest) {
		resp.Members = g.Table.MembersFor(req.From.Zone)
	}
	return resp
}

// collectWanted returns the items that the responder of an exchange wants, and the
// members to send it if the membership tables still differ.
func (g *Gossiper) collectWanted(resp ExchangeResponse) GiveRequest {
	give := GiveRequest{}
	for _, key := range resp.WantedKeys {
		if item, ok := g.Store.wireItem(key); ok {
			give.Items = append(give.Items, item)
		}
	}
	if g.Table.Differs(resp.From.Zone, resp.MembershipDigest) {
		give.Members = g.Table.MembersFor(resp.From.Zone)
	}
	return give
}

// commonScope returns a member that would hold exactly the items that both this daemon
// and the other should hold: it is in the backbone if both are, and in their zone if it
// is the same.
func (g *Gossiper) commonScope(other membership.Member) membership.Member {
	self := g.Table.Self()
	common := membership.Member{ServesControl: self.Backbone() && other.Backbone()}
	if self.Zone == other.Zone {
		common.Zone = self.Zone
	}
	return common
}

// receiveAll stores the items of an exchange and returns how many were new.
func (g *Gossiper) receiveAll(items []Item) (accepted int64) {
	for _, item := range items {
		if g.Store.receive(item, g.Store.remoteUpdates) {
			accepted++
		}
	}
	return accepted
}

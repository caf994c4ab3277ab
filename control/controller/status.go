package controller

import (
	"encoding/json"
	"net/http"
	"strings"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/control/admin"
	"onyxwell/control/config/store"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// status is what GET /status tells: how this controller sees the system.
type status struct {
	Address ids.Address                 `json:"address"`
	Zones   []zoneStatus                `json:"zones"`
	Regions []zonesummary.RegionSummary `json:"regions"`
	Quorum  quorum.Status               `json:"contact"`
	Voters  []register.Member           `json:"voters"`
	// Redundancy is what the control state still bears, as seen from here.
	Redundancy   register.Redundancy `json:"redundancy"`
	Owners       map[string]string   `json:"owners"`
	Leases       map[string]bool     `json:"duties_held_here"`
	Serials      map[string]int64    `json:"news"`
	Pushed       int64               `json:"pushed"`
	PushesFailed int64               `json:"pushes_failed"`
	Relayed      int64               `json:"relayed"`
	MessagesSent int64               `json:"messages_sent"`
	BytesOut     int64               `json:"bytes_out"`
	BytesIn      int64               `json:"bytes_in"`
	// MessagesRejected counts messages of other daemons that were dropped, by their flaw.
	MessagesRejected map[string]int64 `json:"messages_refused"`
}

// zoneStatus tells who relays for a zone, as far as it is seen from here.
type zoneStatus struct {
	Zone      ids.Zone      `json:"zone"`
	Region    ids.Region    `json:"region"`
	Relays    []ids.Address `json:"relays"`
	Reachable bool          `json:"reached"`
}

// Reply gives the status as JSON.
func (s status) Reply() response.Response {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return response.FromError(err)
	}
	return response.Raw(http.StatusOK, "application/json", append(body, '\n'))
}

// serveStatus adds the call to the operator's table.
func (c *Controller) serveStatus(orders *httpcall.Mux) {
	httpcall.Handle(orders, http.MethodGet, "/status", func(ctx scope.Scope, _ admin.EmptyRequest) (status, error) {
		return c.status(ctx), nil
	})
}

func (c *Controller) status(ctx scope.Scope) status {
	common := c.daemon
	told := status{
		Address: common.Address, Regions: common.Zones.Regions(), Voters: c.voter.Acceptor.Voters().Members,
		Quorum:     c.quorum.Status(ctx.Now()),
		Redundancy: c.voter.QueryRedundancy(ctx),
		Owners:     map[string]string{}, Leases: map[string]bool{}, Serials: map[string]int64{},
		Pushed: common.Gossiper.Stats.Pushed.Load(), PushesFailed: common.Gossiper.Stats.Failed.Load(),
		Relayed: common.Gossiper.Stats.Relayed.Load(), MessagesSent: common.Traffic.Messages.Load(),
		BytesOut: common.Traffic.BytesOut.Load(), BytesIn: common.Traffic.BytesIn.Load(),
		MessagesRejected: common.Transport.Guard.Totals(),
	}
	for _, slot := range c.voter.Acceptor.Fetch(register.FetchRequest{}).Slots {
		if !strings.HasPrefix(slot.Key, store.ChunkKeyPrefix) {
			told.Owners[slot.Key] = string(slot.Promised.Owner)
		}
	}
	for _, duty := range c.leases {
		_, told.Leases[duty.Name()] = duty.Held(ctx.Now())
	}
	for _, mark := range common.Updates.Versions(membership.Member{ServesControl: true, Zone: ctx.Settings.Zone}) {
		told.Serials[mark.Key] = int64(mark.Version)
	}
	told.Zones = c.zoneStatuses(ctx)
	return told
}

// zoneStatuses lists who relays for each zone.
func (c *Controller) zoneStatuses(ctx scope.Scope) []zoneStatus {
	var found []zoneStatus
	members := c.daemon.Membership.Members()
	for _, name := range ctx.Settings.ZoneNames() {
		one := zoneStatus{Zone: name, Region: ctx.Settings.Zones[name]}
		for _, member := range members {
			alive := member.Zone == name && member.State == membership.Alive
			one.Reachable = one.Reachable || alive
			if alive && member.Relay {
				one.Relays = append(one.Relays, member.Address)
			}
		}
		found = append(found, one)
	}
	return found
}

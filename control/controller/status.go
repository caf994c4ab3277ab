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
	Contact quorum.Status               `json:"contact"`
	Voters  []register.Member           `json:"voters"`
	// Redundancy is what the control state still bears, as seen from here.
	Redundancy register.Redundancy `json:"redundancy"`
	Owners     map[string]string   `json:"owners"`
	Duties     map[string]bool     `json:"duties_held_here"`
	News       map[string]int64    `json:"news"`
	Pushed     int64               `json:"pushed"`
	Failed     int64               `json:"pushes_failed"`
	Relayed    int64               `json:"relayed"`
	Sent       int64               `json:"messages_sent"`
	Out        int64               `json:"bytes_out"`
	In         int64               `json:"bytes_in"`
	// Refused counts messages of other daemons that were dropped, by their flaw.
	Refused map[string]int64 `json:"messages_refused"`
}

// zoneStatus tells who relays for a zone, as far as it is seen from here.
type zoneStatus struct {
	Zone    ids.Zone      `json:"zone"`
	Region  ids.Region    `json:"region"`
	Relays  []ids.Address `json:"relays"`
	Reached bool          `json:"reached"`
}

// Reply gives the status as JSON.
func (s status) Reply() response.Reply {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return response.Failure(err)
	}
	return response.Raw(http.StatusOK, "application/json", append(body, '\n'))
}

// serveStatus adds the call to the operator's table.
func (c *Controller) serveStatus(orders *httpcall.Table) {
	httpcall.Handle(orders, http.MethodGet, "/status", func(ctx scope.Scope, _ admin.EmptyRequest) (status, error) {
		return c.status(ctx), nil
	})
}

func (c *Controller) status(ctx scope.Scope) status {
	common := c.common
	told := status{
		Address: common.Address, Regions: common.Zones.Regions(), Voters: c.own.Acceptor.Voters().Members,
		Contact:    c.reach.Status(ctx.Now()),
		Redundancy: c.own.QueryRedundancy(ctx),
		Owners:     map[string]string{}, Duties: map[string]bool{}, News: map[string]int64{},
		Pushed: common.Spreader.Stats.Pushed.Load(), Failed: common.Spreader.Stats.Failed.Load(),
		Relayed: common.Spreader.Stats.Relayed.Load(), Sent: common.Traffic.Messages.Load(),
		Out: common.Traffic.BytesOut.Load(), In: common.Traffic.BytesIn.Load(),
		Refused: common.Messenger.Guard.Totals(),
	}
	for _, slot := range c.own.Acceptor.Fetch(register.FetchRequest{}).Slots {
		if !strings.HasPrefix(slot.Key, store.ChunkKeyPrefix) {
			told.Owners[slot.Key] = string(slot.Promised.Owner)
		}
	}
	for _, duty := range c.duties {
		_, told.Duties[duty.Name()] = duty.Held(ctx.Now())
	}
	for _, mark := range common.News.Versions(membership.Member{ServesControl: true, Zone: ctx.Boot.Zone}) {
		told.News[mark.Key] = int64(mark.Version)
	}
	told.Zones = c.zones(ctx)
	return told
}

// zones lists who relays for each zone.
func (c *Controller) zones(ctx scope.Scope) []zoneStatus {
	var found []zoneStatus
	members := c.common.Table.Members()
	for _, name := range ctx.Boot.ZoneNames() {
		one := zoneStatus{Zone: name, Region: ctx.Boot.Zones[name]}
		for _, member := range members {
			alive := member.Zone == name && member.State == membership.Alive
			one.Reached = one.Reached || alive
			if alive && member.Relay {
				one.Relays = append(one.Relays, member.Address)
			}
		}
		found = append(found, one)
	}
	return found
}

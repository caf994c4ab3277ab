package controller

import (
	"encoding/json"
	"net/http"
	"strings"

	"onyxwell/base/call"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/contact"
	"onyxwell/control/operator"
	"onyxwell/control/register"
	"onyxwell/control/revision"
	"onyxwell/control/zoneview"
)

// status is what GET /status tells: how this controller sees the system.
type status struct {
	Address ids.Address       `json:"address"`
	Zones   []zoneStatus      `json:"zones"`
	Regions []zoneview.Region `json:"regions"`
	Contact contact.Status    `json:"contact"`
	Voters  []register.Seat   `json:"voters"`
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
func (s status) Reply() reply.Reply {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return reply.Failure(err)
	}
	return reply.Raw(http.StatusOK, "application/json", append(body, '\n'))
}

// serveStatus adds the call to the operator's table.
func (c *Controller) serveStatus(orders *call.Table) {
	call.Handle(orders, http.MethodGet, "/status", func(ctx scope.Scope, _ operator.Nothing) (status, error) {
		return c.status(ctx), nil
	})
}

func (c *Controller) status(ctx scope.Scope) status {
	common := c.common
	told := status{
		Address: common.Address, Regions: common.Zones.Regions(), Voters: c.own.Acceptor.Voters().Seats,
		Contact:    c.reach.Status(ctx.Now()),
		Redundancy: c.own.RedundancyNow(ctx),
		Owners:     map[string]string{}, Duties: map[string]bool{}, News: map[string]int64{},
		Pushed: common.Spreader.Counts.Pushed.Load(), Failed: common.Spreader.Counts.Failed.Load(),
		Relayed: common.Spreader.Counts.Relayed.Load(), Sent: common.Traffic.Messages.Load(),
		Out: common.Traffic.BytesOut.Load(), In: common.Traffic.BytesIn.Load(),
		Refused: common.Messenger.Gate.Totals(),
	}
	for _, slot := range c.own.Acceptor.Copy(register.CopyAsk{}).Slots {
		if !strings.HasPrefix(slot.Key, revision.PagePrefix) {
			told.Owners[slot.Key] = string(slot.Promised.Owner)
		}
	}
	for _, duty := range c.duties {
		_, told.Duties[duty.Duty()] = duty.Held(ctx.Now())
	}
	for _, mark := range common.News.Marks(cohort.Member{Core: true, Zone: ctx.Boot.Zone}) {
		told.News[mark.Key] = int64(mark.Serial)
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
			alive := member.Zone == name && member.State == cohort.Alive
			one.Reached = one.Reached || alive
			if alive && member.Relay {
				one.Relays = append(one.Relays, member.Address)
			}
		}
		found = append(found, one)
	}
	return found
}

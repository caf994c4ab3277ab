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
func (told status) Reply() reply.Reply {
	body, err := json.MarshalIndent(told, "", "  ")
	if err != nil {
		return reply.Failure(err)
	}
	return reply.Raw(http.StatusOK, "application/json", append(body, '\n'))
}

// serveStatus adds the call to the operator's table.
func (made *Controller) serveStatus(orders *call.Table) {
	call.Handle(orders, http.MethodGet, "/status", func(inner scope.Scope, _ operator.Nothing) (status, error) {
		return made.status(inner), nil
	})
}

func (made *Controller) status(inner scope.Scope) status {
	common := made.common
	told := status{
		Address: common.Address, Regions: common.Zones.Regions(), Voters: made.own.Acceptor.Voters().Seats,
		Contact:    made.reach.Status(inner.Now()),
		Redundancy: made.own.RedundancyNow(inner),
		Owners:     map[string]string{}, Duties: map[string]bool{}, News: map[string]int64{},
		Pushed: common.Spreader.Counts.Pushed.Load(), Failed: common.Spreader.Counts.Failed.Load(),
		Relayed: common.Spreader.Counts.Relayed.Load(), Sent: common.Traffic.Messages.Load(),
		Out: common.Traffic.BytesOut.Load(), In: common.Traffic.BytesIn.Load(),
		Refused: common.Messenger.Gate.Totals(),
	}
	for _, slot := range made.own.Acceptor.Copy(register.CopyAsk{}).Slots {
		if !strings.HasPrefix(slot.Key, revision.PagePrefix) {
			told.Owners[slot.Key] = string(slot.Promised.Owner)
		}
	}
	for _, duty := range made.duties {
		_, told.Duties[duty.Duty()] = duty.Held(inner.Now())
	}
	for _, mark := range common.News.Marks(cohort.Member{Core: true, Zone: inner.Boot.Zone}) {
		told.News[mark.Key] = int64(mark.Serial)
	}
	told.Zones = made.zones(inner)
	return told
}

// zones lists who relays for each zone.
func (made *Controller) zones(inner scope.Scope) []zoneStatus {
	var found []zoneStatus
	members := made.common.Table.Members()
	for _, name := range inner.Boot.ZoneNames() {
		one := zoneStatus{Zone: name, Region: inner.Boot.Zones[name]}
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

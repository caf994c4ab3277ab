package controller

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/control/admin"
	"onyxwell/control/config/store"
	"onyxwell/control/counter"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/rollout"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// status is the response to GET /status: the fleet as seen from this controller.
// Operators rely on the JSON names.
type status struct {
	Address ids.Address                 `json:"address"`
	Zones   []zoneStatus                `json:"zones"`
	Regions []zonesummary.RegionSummary `json:"regions"`
	Quorum  quorum.Status               `json:"contact"`
	Voters  []register.Member           `json:"voters"`
	// Redundancy describes how many further losses of voters the control state survives.
	Redundancy register.Redundancy `json:"redundancy"`
	// Owners maps each register key to its owner.
	Owners map[string]string `json:"owners"`
	// Leases reports, by lease name, whether this controller holds the lease.
	Leases map[string]bool `json:"duties_held_here"`
	// Serials maps the key of each gossip item to its version.
	Serials map[string]int64 `json:"news"`
	// Counters is the status of this controller's replica of the applications' counters.
	Counters counter.Status `json:"counters"`
	// Duties describes the parts of the duties at the platform; nil if there are none.
	Duties *dutiesStatus `json:"duties,omitempty"`
	// Rollouts lists the rollouts that this controller knows. The director knows most.
	Rollouts     []rollout.Status `json:"rollouts,omitempty"`
	Pushed       int64            `json:"pushed"`
	PushesFailed int64            `json:"pushes_failed"`
	Relayed      int64            `json:"relayed"`
	MessagesSent int64            `json:"messages_sent"`
	BytesOut     int64            `json:"bytes_out"`
	BytesIn      int64            `json:"bytes_in"`
	// MessagesRejected counts the messages from other daemons that were dropped, by reason.
	MessagesRejected map[string]int64 `json:"messages_refused"`
}

// zoneStatus holds the live relays of a zone, and whether any of its daemons is alive.
type zoneStatus struct {
	Zone      ids.Zone      `json:"zone"`
	Region    ids.Region    `json:"region"`
	Relays    []ids.Address `json:"relays"`
	Reachable bool          `json:"reached"`
}

// Response encodes the status as indented JSON.
func (s status) Response() response.Response {
	body, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return response.FromError(err)
	}
	return response.Raw(http.StatusOK, "application/json", append(body, '\n'))
}

// serveStatus registers the handler of GET /status.
func (c *Controller) serveStatus(mux *httpcall.Mux) {
	httpcall.Handle(mux, http.MethodGet, "/status", func(ctx context.Context, _ admin.EmptyRequest) (status, error) {
		return c.status(ctx), nil
	})
}

// status collects the response to GET /status. A controller that does not vote queries the
// voters for the redundancy; everything else is known locally.
func (c *Controller) status(ctx context.Context) status {
	gossipStats, traffic := &c.daemon.Gossiper.Stats, &c.daemon.Traffic
	return status{
		Address: c.daemon.Address, Regions: c.daemon.Zones.Regions(), Voters: c.Voters().Members,
		Quorum: c.quorum.Status(c.clock.Now()), Redundancy: c.voter.QueryRedundancy(ctx),
		Counters: c.counters.Status(), Duties: c.dutiesStatus(), Rollouts: c.rolloutStatuses(),
		Pushed: gossipStats.Pushed.Load(), PushesFailed: gossipStats.Failed.Load(), Relayed: gossipStats.Relayed.Load(),
		MessagesSent: traffic.Messages.Load(), BytesOut: traffic.BytesOut.Load(), BytesIn: traffic.BytesIn.Load(),
		MessagesRejected: c.daemon.Transport.Guard.Totals(),
		Owners:           c.owners(), Leases: c.heldLeases(), Serials: c.serials(), Zones: c.zoneStatuses(),
	}
}

// owners returns the owner of each register key, except those of the chunks of stored
// configurations.
func (c *Controller) owners() map[string]string {
	owners := map[string]string{}
	for _, slot := range c.Slots() {
		if !strings.HasPrefix(slot.Key, store.ChunkKeyPrefix) {
			owners[slot.Key] = string(slot.Promised.Owner)
		}
	}
	return owners
}

// heldLeases reports, by lease name, whether this controller holds the lease.
func (c *Controller) heldLeases() map[string]bool {
	leases, now := map[string]bool{}, c.clock.Now()
	for _, holder := range c.leases {
		_, leases[holder.Name()] = holder.Held(now)
	}
	return leases
}

// serials returns the versions of the stored gossip items that any controller of this
// zone should hold.
func (c *Controller) serials() map[string]int64 {
	serials := map[string]int64{}
	for _, item := range c.daemon.Updates.Versions(membership.Member{ServesControl: true, Zone: c.settings.Zone}) {
		serials[item.Key] = int64(item.Version)
	}
	return serials
}

// zoneStatuses returns the status of each zone of the settings, from the membership.
func (c *Controller) zoneStatuses() []zoneStatus {
	var statuses []zoneStatus
	members := c.daemon.Membership.Members()
	for _, name := range c.settings.ZoneNames() {
		zone := zoneStatus{Zone: name, Region: c.settings.Zones[name]}
		for _, member := range members {
			alive := member.Zone == name && member.State == membership.Alive
			zone.Reachable = zone.Reachable || alive
			if alive && member.Relay {
				zone.Relays = append(zone.Relays, member.Address)
			}
		}
		statuses = append(statuses, zone)
	}
	return statuses
}

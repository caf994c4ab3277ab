package simulation

import (
	"encoding/json"
	"net/http"
	"strconv"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/daemon"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/data/snapshot"
)

// router is the control side of a router: members, news and the snapshot that
// requests would be served by.
type router struct {
	daemon    *daemon.Daemon
	snapshots *snapshot.Store
	gate      *readindex.Gate
	// latestVersions is the highest serial that each key of news had here.
	latestVersions map[string]ids.Version
}

// runRouter runs a router's control side.
func (p *process) runRouter(top scope.Scope) error {
	world := p.machine.cluster
	made := &router{latestVersions: map[string]ids.Version{}}
	made.snapshots = snapshot.NewStore(snapshot.Options{Clock: top.Clock, Zones: top.Settings.Zones, Region: top.Settings.Region})
	absorb := func(item gossip.Item) {
		if heard := world.options.bug.InterceptUpdate; heard != nil {
			item = heard(item)
		}
		before := made.snapshots.Current()
		made.snapshots.Apply(item)
		world.checkMonotonic(p, made, before, item)
	}
	var err error
	made.daemon, err = daemon.New(top, daemon.Options{Role: daemon.RouterRole, OnUpdate: absorb, Network: p})
	if err != nil {
		return err
	}
	made.gate = made.daemon.NewReadIndexGate(made.snapshots.Ready(), made.configVersion)
	made.daemon.AddOneShot("readindex", made.gate.Run)
	world.after(0, func() { p.router = made })
	made.daemon.AddService("ready", func(ctx scope.Scope) error {
		select {
		case <-made.gate.Ready():
			made.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
			world.checkReadyVersion(p, made)
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	})
	return made.daemon.Run(top)
}

// configVersion is the version that the router acts on.
func (r *router) configVersion() ids.Version {
	if seen := r.snapshots.Current(); seen.Config != nil {
		return seen.Config.Version
	}
	return 0
}

// checkReadyVersion checks with what a router begins to serve: no version older than
// the newest that was acknowledged before it started, unless it says that no
// majority could be had.
func (c *Cluster) checkReadyVersion(life *process, made *router) {
	c.mu.Lock()
	newest := life.ackedVersionAtStart
	c.mu.Unlock()
	state := made.gate.State()
	c.count("routers ready, " + state)
	c.trace("router ready", life.machine, "state", state, "version", made.configVersion(), "newest at start", newest)
	if state == readindex.Confirmed && int64(made.configVersion()) < newest {
		c.reportViolation("the router of %s is ready on version %d, though %d was acknowledged before it started", life.machine.name, made.configVersion(), newest)
	}
}

// checkMonotonic checks that no part of a router's snapshot goes back.
func (c *Cluster) checkMonotonic(life *process, made *router, before *snapshot.Snapshot, item gossip.Item) {
	after := made.snapshots.Current()
	if before.Config != nil && (after.Config == nil || after.Config.Version < before.Config.Version) {
		c.reportViolation("the router of %s went back from version %d", life.machine.name, before.Config.Version)
	}
	if zone, found := evacuation.ZoneFromKey(item.Key); found {
		c.count("evacuations heard")
		if item.Version < made.latestVersions[item.Key] {
			c.reportViolation("the router of %s went back on %s to %d", life.machine.name, zone, item.Version)
		}
		made.latestVersions[item.Key] = item.Version
	}
}

// answerPlatform answers for the platform's list of runners.
func (c *Cluster) answerPlatform(sent *message) {
	list := map[string]any{"next_token": nil, "servers": []map[string]any{{
		"id": "i-" + strconv.Itoa(int(c.now().Seconds())), "service": "desk", "address": "10.200.0.1:80", "zone": c.options.Site.Locations[0].Zone,
		"config_version": "v1", "capacity": 8, "condition": "ready", "cold_left_ms": 0,
	}}}
	body, _ := json.Marshal(list)
	c.after(c.options.Site.IntraRegionLatency, func() {
		c.deliverReply(sent, reply{status: http.StatusOK, header: http.Header{}, body: body})
	})
}

// losesReply tells whether an answer to an operator gets lost now.
func (c *Cluster) losesReply(target *Machine, sent *message) bool {
	return sent.sender == nil && c.replyLossRate > 0 && c.drawFraction("answer lost "+target.name) < c.replyLossRate
}

package simulation

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/daemon"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/data/snapshot"
)

// router is the control side of a router: membership, gossip, and the snapshot
// by which requests would be served.
type router struct {
	daemon    *daemon.Daemon
	snapshots *snapshot.Store
	readIndex *readindex.Gate
	// latestVersions are the highest versions applied, by gossip key.
	latestVersions map[string]ids.Version
}

// runRouter runs a router's control side until the scope ends.
func (p *process) runRouter(env scope.Scope) error {
	cluster := p.machine.cluster
	r := &router{
		snapshots:      snapshot.NewStore(snapshot.Options{Clock: env.Clock, Zones: env.Settings.Zones, Region: env.Settings.Region}),
		latestVersions: map[string]ids.Version{},
	}
	apply := func(item gossip.Item) {
		if intercept := cluster.options.bug.InterceptUpdate; intercept != nil {
			item = intercept(item)
		}
		before := r.snapshots.Current()
		r.snapshots.Apply(item)
		cluster.checkMonotonic(p, r, before, item)
	}
	var err error
	r.daemon, err = daemon.New(env, daemon.Options{Role: daemon.RouterRole, OnUpdate: apply, Config: r.config, Network: p})
	if err != nil {
		return err
	}
	r.readIndex = r.daemon.NewReadIndexGate(r.snapshots.Ready(), r.configVersion)
	r.daemon.AddOneShot("readindex", r.readIndex.Run)
	r.limitRequests(env, cluster)
	cluster.after(0, func() { p.router = r })
	r.daemon.AddService("ready", func(ctx context.Context) error {
		select {
		case <-r.readIndex.Ready():
			r.daemon.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
			cluster.checkReadyVersion(p, r)
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	})
	return r.daemon.Run(env)
}

// config is the configuration that the router serves by; nil for none.
func (r *router) config() *config.Config { return r.snapshots.Current().Config }

// configVersion is the configuration version that the router serves by; 0 for
// none.
func (r *router) configVersion() ids.Version {
	if current := r.snapshots.Current(); current.Config != nil {
		return current.Config.Version
	}
	return 0
}

// checkReadyVersion checks what a router becomes ready with: no version older
// than the newest that was acknowledged before it started, unless it says that
// none could be confirmed.
func (c *Cluster) checkReadyVersion(process *process, r *router) {
	acked := process.ackedVersionAtStart
	state := r.readIndex.State()
	c.count("routers ready, " + state)
	c.trace("router ready", process.machine, "state", state, "version", r.configVersion(), "acked_version_at_start", acked)
	if state == readindex.Confirmed && int64(r.configVersion()) < acked {
		c.reportViolation("the router of %s is ready on version %d, though %d was acknowledged before it started", process.machine.name, r.configVersion(), acked)
	}
}

// checkMonotonic checks that no part of a router's snapshot goes back.
func (c *Cluster) checkMonotonic(process *process, r *router, before *snapshot.Snapshot, item gossip.Item) {
	after := r.snapshots.Current()
	if before.Config != nil && (after.Config == nil || after.Config.Version < before.Config.Version) {
		c.reportViolation("the router of %s went back from version %d", process.machine.name, before.Config.Version)
	}
	if zone, ok := evacuation.ZoneFromKey(item.Key); ok {
		c.count("evacuations heard")
		if item.Version < r.latestVersions[item.Key] {
			c.reportViolation("the router of %s went back on %s to %d", process.machine.name, zone, item.Version)
		}
		r.latestVersions[item.Key] = item.Version
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

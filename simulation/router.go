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
	common *daemon.Daemon
	frame  *snapshot.Store
	gate   *readindex.Gate
	// newest is the highest serial that each key of news had here.
	newest map[string]ids.Version
}

// carry runs a router's control side.
func (l *life) carry(top scope.Scope) error {
	world := l.machine.world
	made := &router{newest: map[string]ids.Version{}}
	made.frame = snapshot.NewStore(snapshot.Options{Clock: top.Clock, Zones: top.Settings.Zones, Region: top.Settings.Region})
	absorb := func(item gossip.Item) {
		if heard := world.options.plant.Heard; heard != nil {
			item = heard(item)
		}
		before := made.frame.Current()
		made.frame.Apply(item)
		world.rises(l, made, before, item)
	}
	var err error
	made.common, err = daemon.New(top, daemon.Options{Role: daemon.RouterRole, OnUpdate: absorb, Network: l})
	if err != nil {
		return err
	}
	made.gate = made.common.NewReadIndexGate(made.frame.Ready(), made.serial)
	made.common.AddOneShot("readindex", made.gate.Run)
	world.after(0, func() { l.router = made })
	made.common.AddService("ready", func(ctx scope.Scope) error {
		select {
		case <-made.gate.Ready():
			made.common.Membership.UpdateSelf(func(self *membership.Member) { self.Ready = true })
			world.becameReady(l, made)
		case <-ctx.Done():
		}
		<-ctx.Done()
		return nil
	})
	return made.common.Run(top)
}

// serial is the version that the router acts on.
func (r *router) serial() ids.Version {
	if seen := r.frame.Current(); seen.Config != nil {
		return seen.Config.Version
	}
	return 0
}

// becameReady checks with what a router begins to serve: no version older than
// the newest that was acknowledged before it started, unless it says that no
// majority could be had.
func (w *World) becameReady(life *life, made *router) {
	w.mu.Lock()
	newest := life.newest
	w.mu.Unlock()
	state := made.gate.State()
	w.count("routers ready, " + state)
	w.note("router ready", life.machine, "state", state, "version", made.serial(), "newest at start", newest)
	if state == readindex.Confirmed && int64(made.serial()) < newest {
		w.violate("the router of %s is ready on version %d, though %d was acknowledged before it started", life.machine.name, made.serial(), newest)
	}
}

// rises checks that no part of a router's snapshot goes back.
func (w *World) rises(life *life, made *router, before *snapshot.Snapshot, item gossip.Item) {
	after := made.frame.Current()
	if before.Config != nil && (after.Config == nil || after.Config.Version < before.Config.Version) {
		w.violate("the router of %s went back from version %d", life.machine.name, before.Config.Version)
	}
	if zone, found := evacuation.ZoneFromKey(item.Key); found {
		w.count("evacuations heard")
		if item.Version < made.newest[item.Key] {
			w.violate("the router of %s went back on %s to %d", life.machine.name, zone, item.Version)
		}
		made.newest[item.Key] = item.Version
	}
}

// platform answers for the platform's list of runners.
func (w *World) platform(sent *message) {
	list := map[string]any{"next_token": nil, "servers": []map[string]any{{
		"id": "i-" + strconv.Itoa(int(w.now().Seconds())), "service": "desk", "address": "10.200.0.1:80", "zone": w.options.Site.Places[0].Zone,
		"config_version": "v1", "capacity": 8, "condition": "ready", "cold_left_ms": 0,
	}}}
	body, _ := json.Marshal(list)
	w.after(w.options.Site.Near, func() {
		w.hand(sent, answered{status: http.StatusOK, header: http.Header{}, body: body})
	})
}

// answerLost tells whether an answer to an operator gets lost now.
func (w *World) answerLost(target *Machine, sent *message) bool {
	return sent.sender == nil && w.ackLost > 0 && w.fraction("answer lost "+target.name) < w.ackLost
}

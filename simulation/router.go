package simulation

import (
	"encoding/json"
	"net/http"
	"strconv"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/daemon"
	"onyxwell/control/evacuation"
	"onyxwell/control/readindex"
	"onyxwell/control/spread"
	"onyxwell/data/snapshot"
)

// router is the control side of a router: members, news and the snapshot that
// requests would be served by.
type router struct {
	common *daemon.Daemon
	frame  *snapshot.Frame
	gate   *readindex.Gate
	// newest is the highest serial that each key of news had here.
	newest map[string]ids.Serial
}

// carry runs a router's control side.
func (life *life) carry(top scope.Scope) error {
	world := life.machine.world
	made := &router{newest: map[string]ids.Serial{}}
	made.frame = snapshot.NewFrame(snapshot.Options{Clock: top.Clock, Zones: top.Boot.Zones, Region: top.Boot.Region})
	absorb := func(item spread.Item) {
		if heard := world.options.plant.Heard; heard != nil {
			item = heard(item)
		}
		before := made.frame.Now()
		made.frame.Absorb(item)
		world.rises(life, made, before, item)
	}
	var err error
	made.common, err = daemon.New(top, daemon.Options{Role: daemon.Carrier, Fresh: absorb, Network: life})
	if err != nil {
		return err
	}
	made.gate = made.common.ReadIndex(made.frame.Ready(), made.serial)
	made.common.Once("readindex", made.gate.Run)
	world.after(0, func() { life.router = made })
	made.common.Part("ready", func(inner scope.Scope) error {
		select {
		case <-made.gate.Ready():
			made.common.Table.Announce(func(self *cohort.Member) { self.Ready = true })
			world.becameReady(life, made)
		case <-inner.Done():
		}
		<-inner.Done()
		return nil
	})
	return made.common.Run(top)
}

// serial is the version that the router acts on.
func (made *router) serial() ids.Serial {
	if seen := made.frame.Now(); seen.Spec != nil {
		return seen.Spec.Serial
	}
	return 0
}

// becameReady checks with what a router begins to serve: no version older than
// the newest that was acknowledged before it started, unless it says that no
// majority could be had.
func (world *World) becameReady(life *life, made *router) {
	world.lock.Lock()
	newest := life.newest
	world.lock.Unlock()
	state := made.gate.State()
	world.count("routers ready, " + state)
	world.note("router ready", life.machine, "state", state, "version", made.serial(), "newest at start", newest)
	if state == readindex.Confirmed && int64(made.serial()) < newest {
		world.violate("the router of %s is ready on version %d, though %d was acknowledged before it started", life.machine.name, made.serial(), newest)
	}
}

// rises checks that no part of a router's snapshot goes back.
func (world *World) rises(life *life, made *router, before *snapshot.Snapshot, item spread.Item) {
	after := made.frame.Now()
	if before.Spec != nil && (after.Spec == nil || after.Spec.Serial < before.Spec.Serial) {
		world.violate("the router of %s went back from version %d", life.machine.name, before.Spec.Serial)
	}
	if zone, found := evacuation.ZoneOf(item.Key); found {
		world.count("evacuations heard")
		if item.Serial < made.newest[item.Key] {
			world.violate("the router of %s went back on %s to %d", life.machine.name, zone, item.Serial)
		}
		made.newest[item.Key] = item.Serial
	}
}

// platform answers for the platform's list of runners.
func (world *World) platform(sent *message) {
	list := map[string]any{"next_token": nil, "servers": []map[string]any{{
		"id": "i-" + strconv.Itoa(int(world.now().Seconds())), "service": "desk", "address": "10.200.0.1:80", "zone": world.options.Site.Places[0].Zone,
		"config_version": "v1", "capacity": 8, "condition": "ready", "cold_left_ms": 0,
	}}}
	body, _ := json.Marshal(list)
	world.after(world.options.Site.Near, func() {
		world.hand(sent, answered{status: http.StatusOK, header: http.Header{}, body: body})
	})
}

// answerLost tells whether an answer to an operator gets lost now.
func (world *World) answerLost(target *Machine, sent *message) bool {
	return sent.sender == nil && world.ackLost > 0 && world.fraction("answer lost "+target.name) < world.ackLost
}

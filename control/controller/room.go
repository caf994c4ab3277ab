package controller

import (
	"encoding/json"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/control/evacuation"
	"onyxwell/control/lease"
	"onyxwell/control/room"
	"onyxwell/control/scaler"
	"onyxwell/control/spec"
	"onyxwell/control/spread"
)

// roomPace is how many looks at the metrics pass between two estimates.
const roomPace = 5

// estimate tells the room of every family while this controller plans.
func (c *Controller) estimate(ctx scope.Scope, holder *lease.Holder) {
	for counter := int64(1); ctx.Wait(roomPace * metricStep); counter++ {
		epoch, held := holder.Held(ctx.Now())
		if !held {
			continue
		}
		seen, known := c.seen(ctx)
		if !known {
			continue
		}
		body, err := json.Marshal(room.Estimate(seen))
		if now, held := holder.Held(ctx.Now()); err != nil || !held || now != epoch {
			continue
		}
		c.common.News.Put(spread.Item{Key: room.Key, Serial: discovery.SerialOf(epoch, counter), Body: body})
		ctx.Log.Info().Str("part", "room").RawJSON("report", body).Msg("estimated")
	}
}

// seen gathers what the estimate needs: every runner on the list, as it stands.
func (c *Controller) seen(ctx scope.Scope) (room.Seen, bool) {
	item, found := c.common.News.Get(spec.Key)
	if !found {
		return room.Seen{}, false
	}
	version, err := spec.Read(item.Body)
	if err != nil {
		return room.Seen{}, false
	}
	seen := room.Seen{Spec: version}
	var units map[ids.RunnerID]float64
	seen.Readings, units, seen.Seconds = c.scaler.Work()
	resting := c.resting()
	for _, runner := range c.view.Runners() {
		standing := standingOf(runner, c.emptied(runner.Zone), resting[runner.ID])
		seen.Runners = append(seen.Runners, room.Runner{
			ID: runner.ID, Service: runner.Service, Region: ctx.Boot.Zones[runner.Zone], Slots: float64(runner.Capacity),
			Standing: standing, UnitsPerS: units[runner.ID],
		})
	}
	seen.Routers = c.routers()
	return seen, true
}

// standings are asked in this order; the first that holds is the runner's.
func standingOf(runner discovery.Runner, emptied bool, resting bool) string {
	standings := []struct {
		holds bool
		name  string
	}{{runner.Draining, "draining"}, {emptied, "emptied"}, {resting, "resting"}, {runner.ColdLeftMS > 0, "cold"}}
	for _, standing := range standings {
		if standing.holds {
			return standing.name
		}
	}
	return room.Ready
}

func (c *Controller) emptied(zone ids.Zone) bool {
	item, found := c.common.News.Get(evacuation.Key(zone))
	if !found {
		return false
	}
	kept, err := evacuation.Read(item.Body)
	return err == nil && kept.Empty
}

func (c *Controller) resting() map[ids.RunnerID]bool {
	resting := map[ids.RunnerID]bool{}
	item, _ := c.common.News.Get(scaler.Key)
	if routing, err := scaler.ReadRouting(item.Body); err == nil {
		for _, planned := range routing.Runners {
			resting[planned.Runner] = planned.Resting
		}
	}
	return resting
}

// routers counts the routers of each region, those that are gone too.
func (c *Controller) routers() []room.Routers {
	var counted []room.Routers
	for _, region := range c.common.Zones.Regions() {
		counted = append(counted, room.Routers{Region: region.Name, Known: region.Known, Ready: region.Ready})
	}
	return counted
}

package controller

import (
	"encoding/json"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/state/lease"
)

// headroomSteps is how many looks at the metrics pass between two estimates.
const headroomSteps = 5

// publishHeadroom tells the room of every family while this controller plans.
func (c *Controller) publishHeadroom(ctx scope.Scope, holder *lease.Holder) {
	for counter := int64(1); ctx.Wait(headroomSteps * metricStep); counter++ {
		epoch, held := holder.Held(ctx.Now())
		if !held {
			continue
		}
		seen, known := c.headroomInput(ctx)
		if !known {
			continue
		}
		body, err := json.Marshal(headroom.Estimate(seen))
		if now, held := holder.Held(ctx.Now()); err != nil || !held || now != epoch {
			continue
		}
		c.daemon.Updates.Put(gossip.Item{Key: headroom.Key, Version: discovery.FencedSerial(epoch, counter), Body: body})
		ctx.Log.Info().Str("part", "room").RawJSON("report", body).Msg("estimated")
	}
}

// headroomInput gathers what the estimate needs: every runner on the list, as it stands.
func (c *Controller) headroomInput(ctx scope.Scope) (headroom.Input, bool) {
	item, found := c.daemon.Updates.Get(config.Key)
	if !found {
		return headroom.Input{}, false
	}
	version, err := config.Parse(item.Body)
	if err != nil {
		return headroom.Input{}, false
	}
	seen := headroom.Input{Config: version}
	var units map[ids.RunnerID]float64
	seen.Readings, units, seen.Seconds = c.autoscaler.RecentWork()
	resting := c.standbyRunners()
	for _, runner := range c.view.Runners() {
		standing := runnerCondition(runner, c.zoneEvacuated(runner.Zone), resting[runner.ID])
		seen.Runners = append(seen.Runners, headroom.Runner{
			ID: runner.ID, Service: runner.Service, Region: ctx.Settings.Zones[runner.Zone], Slots: float64(runner.Capacity),
			State: standing, UnitsPerS: units[runner.ID],
		})
	}
	seen.Routers = c.routerCounts()
	return seen, true
}

// standings are asked in this order; the first that holds is the runner's.
func runnerCondition(runner discovery.Runner, emptied bool, resting bool) string {
	standings := []struct {
		holds bool
		name  string
	}{{runner.Draining, "draining"}, {emptied, "emptied"}, {resting, "resting"}, {runner.WarmupLeftMS > 0, "cold"}}
	for _, standing := range standings {
		if standing.holds {
			return standing.name
		}
	}
	return headroom.Ready
}

func (c *Controller) zoneEvacuated(zone ids.Zone) bool {
	item, found := c.daemon.Updates.Get(evacuation.Key(zone))
	if !found {
		return false
	}
	kept, err := evacuation.Decode(item.Body)
	return err == nil && kept.Drained
}

func (c *Controller) standbyRunners() map[ids.RunnerID]bool {
	resting := map[ids.RunnerID]bool{}
	item, _ := c.daemon.Updates.Get(autoscaler.RoutingKey)
	if routing, err := autoscaler.ReadRouting(item.Body); err == nil {
		for _, planned := range routing.Runners {
			resting[planned.Runner] = planned.Quarantined
		}
	}
	return resting
}

// routerCounts counts the routers of each region, those that are gone too.
func (c *Controller) routerCounts() []headroom.Routers {
	var counted []headroom.Routers
	for _, region := range c.daemon.Zones.Regions() {
		counted = append(counted, headroom.Routers{Region: region.Name, Known: region.Known, Ready: region.Ready})
	}
	return counted
}

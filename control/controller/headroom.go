package controller

import (
	"context"
	"encoding/json"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/state/lease"
)

// ticksPerEstimate is the number of metric intervals between two headroom estimates.
const ticksPerEstimate = 5

// Conditions that exclude the capacity of a runner from the estimate: only runners
// in headroom.StateReady count. They are values of headroom.Runner.State.
const (
	conditionDraining    = "draining"
	conditionEvacuated   = "emptied"
	conditionQuarantined = "resting"
	conditionWarmingUp   = "cold"
	conditionExcluded    = "excluded"
)

// publishHeadroom periodically publishes the headroom of every model family while
// this controller holds the planning lease. It discards an estimate if the lease is
// lost or its epoch changes while the estimate is made.
func (c *Controller) publishHeadroom(ctx context.Context, holder *lease.Holder) {
	for sequence := int64(1); clock.Wait(ctx, c.clock, ticksPerEstimate*metricInterval); sequence++ {
		epoch, held := holder.Held(c.clock.Now())
		if !held {
			continue
		}
		input, ok := c.headroomInput()
		if !ok {
			continue
		}
		body, err := json.Marshal(headroom.Estimate(input))
		if current, held := holder.Held(c.clock.Now()); err != nil || !held || current != epoch {
			continue
		}
		c.daemon.Updates.Put(gossip.Item{Key: headroom.ReportKey, Version: discovery.FencedSerial(epoch, sequence), Body: body})
		c.log.Info().Str("part", "headroom").RawJSON("report", body).Msg("headroom estimated")
	}
}

// headroomInput collects the configuration, the recent work, every listed runner
// and the number of routers. ok is false while there is no valid configuration.
func (c *Controller) headroomInput() (input headroom.Input, ok bool) {
	item, ok := c.daemon.Updates.Get(config.Key)
	if !ok {
		return headroom.Input{}, false
	}
	current, err := config.Parse(item.Body)
	if err != nil {
		return headroom.Input{}, false
	}
	input.Config = current
	var unitsPerS map[ids.RunnerID]float64
	input.Readings, unitsPerS, input.Seconds = c.autoscaler.RecentWork()
	quarantined, excluded := c.quarantinedRunners(), c.excludedVersions()
	for _, runner := range c.view.Runners() {
		state := runnerCondition(runner, c.zoneEvacuated(runner.Zone), quarantined[runner.ID])
		if state == headroom.StateReady && excluded[runner.Service][runner.Version] {
			state = conditionExcluded
		}
		input.Runners = append(input.Runners, headroom.Runner{
			ID: runner.ID, Service: runner.Service, Region: c.settings.Zones[runner.Zone], Slots: float64(runner.Capacity),
			State: state, UnitsPerS: unitsPerS[runner.ID],
		})
	}
	input.Routers = c.routerCounts()
	return input, true
}

// runnerCondition returns the condition of a runner: the first case that applies.
func runnerCondition(runner discovery.Runner, evacuated bool, quarantined bool) string {
	switch {
	case runner.Draining:
		return conditionDraining
	case evacuated:
		return conditionEvacuated
	case quarantined:
		return conditionQuarantined
	case runner.WarmupLeftMS > 0:
		return conditionWarmingUp
	}
	return headroom.StateReady
}

// zoneEvacuated reports whether the operator has drained a zone.
func (c *Controller) zoneEvacuated(zone ids.Zone) bool {
	item, ok := c.daemon.Updates.Get(evacuation.Key(zone))
	if !ok {
		return false
	}
	state, err := evacuation.Decode(item.Body)
	return err == nil && state.Drained
}

// quarantinedRunners returns the runners that the current routing plan quarantines.
func (c *Controller) quarantinedRunners() map[ids.RunnerID]bool {
	quarantined := map[ids.RunnerID]bool{}
	item, _ := c.daemon.Updates.Get(autoscaler.RoutingKey)
	if routing, err := autoscaler.ReadRouting(item.Body); err == nil {
		for _, planned := range routing.Runners {
			quarantined[planned.Runner] = planned.Quarantined
		}
	}
	return quarantined
}

// routerCounts returns the number of known routers, including lost ones, and of ready
// routers in each region.
func (c *Controller) routerCounts() []headroom.RouterCount {
	var counts []headroom.RouterCount
	for _, region := range c.daemon.Zones.Regions() {
		counts = append(counts, headroom.RouterCount{Region: region.Name, Known: region.Known, Ready: region.Ready})
	}
	return counts
}

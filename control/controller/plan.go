package controller

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/state/lease"
)

const (
	// metricWindow is how far back the scaler's metrics go.
	metricWindow = 600 * clock.Second
	// metricStep is the time between two looks at them.
	metricStep = clock.Second
	// planPace is how many looks pass between two plans that nothing hurries.
	planPace = 5
)

// planner adds the scaler, which works while this controller has the duty.
func (c *Controller) planner(top scope.Scope) func(*lease.Holder) func(scope.Scope) {
	return func(holder *lease.Holder) func(scope.Scope) {
		c.scaler = autoscaler.New(autoscaler.Options{
			Address: c.common.Address, News: c.common.News, Held: holder.Held, Now: top.Now,
			Runners: func() []autoscaler.Listed { return c.runners(top) }, Serial: discovery.SerialOf,
			Window: metricWindow, Step: metricStep, Pace: planPace, Grouping: top.Boot.Grouping,
		})
		c.scaler.Serve(c.common.Calls)
		c.common.Part("room", func(ctx scope.Scope) error { c.estimate(ctx, holder); return nil })
		return c.scaler.Run
	}
}

// runners reads the newest list.
func (c *Controller) runners(top scope.Scope) []autoscaler.Listed {
	var listed []autoscaler.Listed
	for _, runner := range c.view.Runners() {
		listed = append(listed, autoscaler.Listed{
			ID: runner.ID, Service: runner.Service, Version: runner.Version, Region: top.Boot.Zones[runner.Zone],
			Ready: !runner.Draining, Cold: runner.ColdLeftMS > 0,
		})
	}
	return listed
}

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
	// planSteps is how many looks pass between two plans that nothing hurries.
	planSteps = 5
)

// newAutoscaler adds the scaler, which works while this controller has the duty.
func (c *Controller) newAutoscaler(top scope.Scope) func(*lease.Holder) func(scope.Scope) {
	return func(holder *lease.Holder) func(scope.Scope) {
		c.autoscaler = autoscaler.New(autoscaler.Options{
			Address: c.daemon.Address, Gossip: c.daemon.Updates, Lease: holder.Held, Now: top.Now,
			Runners: func() []autoscaler.Runner { return c.listRunners(top) }, NewSerial: discovery.FencedSerial,
			Window: metricWindow, Interval: metricStep, PlanEvery: planSteps, GroupByLength: top.Settings.Grouping,
		})
		c.autoscaler.RegisterHandlers(c.daemon.Calls)
		c.daemon.AddService("room", func(ctx scope.Scope) error { c.publishHeadroom(ctx, holder); return nil })
		return c.autoscaler.Run
	}
}

// listRunners reads the newest list.
func (c *Controller) listRunners(top scope.Scope) []autoscaler.Runner {
	var listed []autoscaler.Runner
	for _, runner := range c.view.Runners() {
		listed = append(listed, autoscaler.Runner{
			ID: runner.ID, Service: runner.Service, Version: runner.Version, Region: top.Settings.Zones[runner.Zone],
			Ready: !runner.Draining, WarmingUp: runner.WarmupLeftMS > 0,
		})
	}
	return listed
}

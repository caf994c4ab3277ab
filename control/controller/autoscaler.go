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
			Address: c.daemon.Address, News: c.daemon.Updates, Held: holder.Held, Now: top.Now,
			Runners: func() []autoscaler.Listed { return c.listRunners(top) }, Serial: discovery.FencedSerial,
			Window: metricWindow, Step: metricStep, Pace: planSteps, Grouping: top.Boot.Grouping,
		})
		c.autoscaler.Serve(c.daemon.Calls)
		c.daemon.AddService("room", func(ctx scope.Scope) error { c.publishHeadroom(ctx, holder); return nil })
		return c.autoscaler.Run
	}
}

// listRunners reads the newest list.
func (c *Controller) listRunners(top scope.Scope) []autoscaler.Listed {
	var listed []autoscaler.Listed
	for _, runner := range c.view.Runners() {
		listed = append(listed, autoscaler.Listed{
			ID: runner.ID, Service: runner.Service, Version: runner.Version, Region: top.Boot.Zones[runner.Zone],
			Ready: !runner.Draining, Cold: runner.WarmupLeftMS > 0,
		})
	}
	return listed
}

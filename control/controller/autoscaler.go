package controller

import (
	"context"
	"onyxwell/base/settings"
	"time"

	"onyxwell/control/discovery"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/state/lease"
)

const (
	// metricWindow is the time span that the autoscaler's metrics cover.
	metricWindow = 600 * time.Second
	// metricInterval is the interval at which the metrics are evaluated.
	metricInterval = time.Second
	// ticksPerPlan is the number of evaluations between two routine plans.
	ticksPerPlan = 5
)

// newAutoscaler creates the planning singleton. The headroom service uses the same
// lease.
func (c *Controller) newAutoscaler(holder *lease.Holder) func(context.Context) {
	var scaled func() []autoscaler.ScaledService
	if c.settings.HasDuty(settings.ScalingDuty) {
		scaled = c.scaledServices
	}
	c.autoscaler = autoscaler.New(autoscaler.Options{
		ScaledServices: scaled,
		Clock:          c.clock,
		Address:        c.daemon.Address, Gossip: c.daemon.Updates, Lease: holder.Held, Now: c.clock.Now,
		Runners: c.listRunners, NewSerial: discovery.FencedSerial,
		Window: metricWindow, Interval: metricInterval, TicksPerPlan: ticksPerPlan, GroupByLength: c.settings.Grouping,
	})
	c.autoscaler.RegisterHandlers(c.daemon.Calls)
	c.daemon.AddService("headroom", func(ctx context.Context) error { c.publishHeadroom(ctx, holder); return nil })
	return func(ctx context.Context) { c.autoscaler.Run(ctx) }
}

// listRunners returns the current endpoint list in the form that the autoscaler takes.
// Runners of a version that gets no requests are not ready.
func (c *Controller) listRunners() []autoscaler.Runner {
	excluded := c.excludedVersions()
	var runners []autoscaler.Runner
	for _, runner := range c.view.Runners() {
		runners = append(runners, autoscaler.Runner{
			ID: runner.ID, Service: runner.Service, Version: runner.Version, Region: c.settings.Zones[runner.Zone],
			Ready: !runner.Draining && !excluded[runner.Service][runner.Version], WarmingUp: runner.WarmupLeftMS > 0,
		})
	}
	return runners
}

package controller

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/admin"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/rollout"
	"onyxwell/control/state/command"
	"onyxwell/control/state/lease"
)

// addRollouts adds the singleton that moves rollouts through their stages, if the
// settings have rollouts.
func (c *Controller) addRollouts() {
	if !c.settings.HasRule(settings.RolloutRule) {
		return
	}
	c.addSingleton(singleton{lease: rolloutLease, newService: c.newDirector})
}

// newDirector creates the rollout director, and registers its message handler and
// metrics.
func (c *Controller) newDirector(holder *lease.Holder) func(context.Context) {
	c.director = rollout.NewDirector(rollout.DirectorOptions{
		Clock: c.clock, Address: c.daemon.Address, Policy: rollout.PolicyOf(c.settings.Bounds), Zones: c.settings.Zones,
		Held: holder.Held, Updates: c.daemon.Updates, Runners: c.runnersForRollout, HasRouters: c.zoneHasRouters,
		Update: func(ctx context.Context, key string, update func([]byte) ([]byte, error)) ([]byte, error) {
			return c.commands.Update(ctx, key, update)
		},
		UnixMS: c.agreedUnixMS, Log: c.log,
	})
	c.daemon.ServeRolloutDirector(func(req rollout.ExchangeRequest) rollout.ExchangeResponse {
		return c.director.Exchange(req, c.clock.Now())
	})
	for _, condition := range []rollout.Condition{rollout.InProgress, rollout.Finished, rollout.Reverted} {
		c.daemon.Metrics.GaugeFunc("rollouts", "Services by the condition of their newest rollout.",
			map[string]string{"condition": condition.String()}, func() float64 { return float64(c.director.Count(condition)) })
	}
	return c.director.Run
}

// runnersForRollout returns the runners of a service that may receive requests: those
// that are not draining and whose zone is not evacuated.
func (c *Controller) runnersForRollout(service ids.Service) []rollout.Runner {
	var runners []rollout.Runner
	for _, runner := range c.view.Runners() {
		if runner.Service == service && !runner.Draining && !c.zoneEvacuated(runner.Zone) {
			runners = append(runners, rollout.Runner{ID: runner.ID, Region: c.settings.Zones[runner.Zone], Version: runner.Version, Slots: runner.Capacity})
		}
	}
	return runners
}

// isChangingVersion reports whether a rollout of a service is in progress, or has ended
// and left runners of more than one version.
func (c *Controller) isChangingVersion(service ids.Service) bool {
	if c.director == nil {
		return false
	}
	switch c.director.Condition(service) {
	case rollout.NoRollout:
		return false
	case rollout.InProgress:
		return true
	}
	versions := map[string]bool{}
	for _, runner := range c.view.Runners() {
		if runner.Service == service && !runner.Draining {
			versions[runner.Version] = true
		}
	}
	return len(versions) > 1
}

// excludedVersions returns, for each service that has a rollout, the versions whose runners
// get no requests.
func (c *Controller) excludedVersions() map[ids.Service]map[string]bool {
	excluded := map[ids.Service]map[string]bool{}
	if c.director == nil {
		return excluded
	}
	for _, runner := range c.view.Runners() {
		if _, ok := excluded[runner.Service]; !ok {
			excluded[runner.Service] = c.director.Excluded(runner.Service)
		}
	}
	return excluded
}

// awaitsRunners reports whether a rollout is waiting for runners of its target version.
func (c *Controller) awaitsRunners() bool { return c.director != nil && c.director.AwaitsRunners() }

// zoneHasRouters reports whether a zone may have routers. It returns true for a zone of
// unknown size.
func (c *Controller) zoneHasRouters(zone ids.Zone) bool {
	for _, size := range c.daemon.Zones.Sizes() {
		if size.Zone == zone {
			return size.Routers > 0
		}
	}
	return true
}

// agreedUnixMS returns the agreed time as a Unix time in milliseconds, or 0 if it is not
// known.
func (c *Controller) agreedUnixMS() int64 {
	agreed := c.daemon.SyncedClock()
	if agreed == nil || !agreed.Synced() {
		return 0
	}
	return agreed.Now().Milliseconds()
}

// rolloutStatuses returns the status of the rollouts known to this controller, nil if
// the settings have no rollouts.
func (c *Controller) rolloutStatuses() []rollout.Status {
	if c.director == nil {
		return nil
	}
	return c.director.Statuses()
}

// serveRollouts registers the rollout calls of the admin API, if the settings have
// rollouts.
func (c *Controller) serveRollouts(mux *httpcall.Mux) {
	if c.director != nil {
		admin.ServeRollouts(mux, c)
	}
}

// OrderRollout implements admin.Rollouts.
func (c *Controller) OrderRollout(ctx context.Context, order rollout.Order) error {
	if err := c.checkService(ctx, order.Service); err != nil {
		return err
	}
	order.UnixMS = c.agreedUnixMS()
	return c.commands.OrderRollout(ctx, order)
}

// checkService returns an error if the configuration in force does not have the service.
// The gossiped configuration may be out of date, so a service that it lacks is looked up in
// the configuration that a majority of the voters confirms.
func (c *Controller) checkService(ctx context.Context, service ids.Service) error {
	if current := c.daemon.Config(); current != nil && current.Service(service) != nil {
		return nil
	}
	value, err := c.commands.Dispatch(ctx, command.Command{Key: config.Key, Verb: command.VerbRead})
	if err != nil {
		return err
	}
	record, err := store.DecodeExisting(value)
	if err != nil {
		return err
	}
	parsed, err := config.Parse(record.Document)
	if err != nil {
		return err
	}
	if parsed.Service(service) == nil {
		return errkind.Errorf(errkind.UnknownService, "service: %q is not in the configuration in force", service)
	}
	return nil
}

// ReadRollout implements admin.Rollouts.
func (c *Controller) ReadRollout(ctx context.Context, service ids.Service) (rollout.Record, error) {
	return c.commands.ReadRollout(ctx, service)
}

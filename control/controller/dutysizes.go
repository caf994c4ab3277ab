package controller

import (
	"context"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/sizing"
)

// orderRetryPause is the time before an order that the platform did not accept is retried.
const orderRetryPause = time.Second / 2

// addSizeOrders adds the service that orders the number of runners of each zone.
func (c *Controller) addSizeOrders() {
	orderer := sizing.New(sizing.Options{
		Clock: c.clock, Zones: c.settings.ZoneNames(), Config: c.daemon.Config, Planned: c.plannedSizes, Frozen: c.isChangingVersion,
		Held: c.duties.session.Held, Update: c.commands.Update, Call: c.duties.client.Call, RetryPause: orderRetryPause, Log: c.log,
	})
	c.daemon.AddService("sizing", func(ctx context.Context) error { orderer.Run(ctx, dutyInterval); return nil })
}

// plannedSizes returns the newest sizes that the planner has published. It is empty if
// there are none or they cannot be decoded.
func (c *Controller) plannedSizes() autoscaler.Sizes {
	item, ok := c.daemon.Updates.Get(autoscaler.SizesKey)
	if !ok {
		return autoscaler.Sizes{}
	}
	sizes, err := autoscaler.ReadSizes(item.Body)
	if err != nil {
		return autoscaler.Sizes{}
	}
	return sizes
}

// scaledServices returns the services whose number of runners is ordered, with the current
// state of their zones. Services that are changing their version are left out. The result is
// empty while there is no configuration or the list of runners is incomplete.
func (c *Controller) scaledServices() []autoscaler.ScaledService {
	cfg := c.daemon.Config()
	if cfg == nil || !c.view.Complete() {
		return nil
	}
	lost := c.lostZones()
	var scaled []autoscaler.ScaledService
	for _, service := range cfg.Services {
		if service.Scaling != nil && !c.isChangingVersion(service.Name) {
			scaled = append(scaled, c.scaledService(service, lost))
		}
	}
	return scaled
}

// scaledService returns a service with the state of the zones in which it has runners.
func (c *Controller) scaledService(service config.Service, lost map[ids.Zone]bool) autoscaler.ScaledService {
	result := autoscaler.ScaledService{
		Service: service.Name, Horizon: settings.Seconds(service.Scaling.StartupSeconds+service.WarmupSeconds) + metricInterval,
		TolerateRegion: c.settings.Tolerate.Regions > 0, TolerateZone: c.settings.Tolerate.Zones > 0,
	}
	present, known := map[ids.Zone]int64{}, map[ids.Zone]bool{}
	for _, runner := range c.view.Runners() {
		if runner.Service != service.Name {
			continue
		}
		known[runner.Zone] = true
		result.Slots = max(result.Slots, float64(runner.Capacity))
		if !runner.Draining {
			present[runner.Zone]++
		}
	}
	for _, name := range c.settings.ZoneNames() {
		if !known[name] {
			continue
		}
		result.Zones = append(result.Zones, autoscaler.ScaledZone{
			Zone: name, Region: c.settings.Zones[name], Min: service.Scaling.Min, Max: service.Scaling.Max,
			Present: present[name], Usable: !lost[name] && !c.zoneEvacuated(name),
		})
	}
	return result
}

// lostZones reports for each zone whether no daemon of it is known to be alive.
func (c *Controller) lostZones() map[ids.Zone]bool {
	lost := map[ids.Zone]bool{}
	for _, zone := range c.zoneStatuses() {
		lost[zone.Zone] = !zone.Reachable
	}
	return lost
}

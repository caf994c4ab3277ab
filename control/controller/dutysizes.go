package controller

import (
	"context"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/sizing"
)

// orderRetryPause is the time after an order that the platform did not take.
const orderRetryPause = time.Second / 2

// addOrderer adds the orders of zones' sizes.
func (c *Controller) addOrderer() {
	orderer := sizing.New(sizing.Options{
		Clock: c.clock, Zones: c.settings.ZoneNames(), Config: c.daemon.Config, Planned: c.plannedSizes,
		Held: c.duties.session.Held, Update: c.commands.Update, Call: c.duties.client.Call, RetryPause: orderRetryPause, Log: c.log,
	})
	c.daemon.AddService("sizing", func(ctx context.Context) error { orderer.Run(ctx, dutyStep); return nil })
}

// plannedSizes returns what the planner has decided last.
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

// scaledServices returns the services whose runners are ordered, with their zones as they
// are now. It is empty while the list of runners is stale.
func (c *Controller) scaledServices() []autoscaler.ScaledService {
	cfg := c.daemon.Config()
	if cfg == nil || !c.view.Complete() {
		return nil
	}
	lost := c.lostZones()
	var scaled []autoscaler.ScaledService
	for _, service := range cfg.Services {
		if service.Scaling == nil {
			continue
		}
		zones := map[ids.Zone]*autoscaler.ScaledZone{}
		result := autoscaler.ScaledService{
			Service: service.Name, Horizon: settings.Seconds(service.Scaling.StartupSeconds+service.WarmupSeconds) + metricStep,
			TolerateRegion: c.settings.Tolerate.Regions > 0, TolerateZone: c.settings.Tolerate.Zones > 0,
		}
		for _, runner := range c.view.Runners() {
			if runner.Service != service.Name {
				continue
			}
			result.Slots = max(result.Slots, float64(runner.Capacity))
			zone := zones[runner.Zone]
			if zone == nil {
				zone = &autoscaler.ScaledZone{
					Zone: runner.Zone, Region: c.settings.Zones[runner.Zone], Min: service.Scaling.Min, Max: service.Scaling.Max,
					Usable: !lost[runner.Zone] && !c.zoneEvacuated(runner.Zone),
				}
				zones[runner.Zone] = zone
			}
			if !runner.Draining {
				zone.Present++
			}
		}
		for _, name := range c.settings.ZoneNames() {
			if zone := zones[name]; zone != nil {
				result.Zones = append(result.Zones, *zone)
			}
		}
		scaled = append(scaled, result)
	}
	return scaled
}

// lostZones returns the zones of whose backbone nobody answers.
func (c *Controller) lostZones() map[ids.Zone]bool {
	lost := map[ids.Zone]bool{}
	for _, zone := range c.zoneStatuses() {
		lost[zone.Zone] = !zone.Reachable
	}
	return lost
}

package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/settings"
	"onyxwell/control/duty"
	"onyxwell/control/membership"
	"onyxwell/control/timesync"
	"onyxwell/control/transport"
	"onyxwell/control/usage"
)

// usageForwardInterval is the interval at which a zone's relay sends counts to the holder
// of the usage duty, and also the interval between copies. If a region is lost, the counts
// that it made within this interval are lost, too.
const usageForwardInterval = time.Second / 4

// usageState is a daemon's state for usage reports. It is nil if the settings don't ask for
// them.
type usageState struct {
	relay       *usage.Relay
	syncedClock *timesync.Clock
}

// addUsage creates the clock for the agreed time (package timesync) and makes this daemon a
// relay for the counts of the zone's routers, if the settings ask for usage reports.
func (d *Daemon) addUsage() {
	if !d.settings.HasDuty(settings.UsageDuty) {
		return
	}
	d.usage = &usageState{syncedClock: timesync.New(timesync.Options{Clock: d.clock, Wall: time.Now, Peers: d.otherControllers, Ask: d.requestTimeSample})}
	d.usage.relay = usage.NewRelay(usage.RelayOptions{
		Zone: d.settings.Zone, Routers: d.zoneRouters, Now: d.syncedUnixNanos,
		Term: d.usageTerm, SendSums: d.sendUsageSums, SendReports: d.sendUsageReports, SendCopy: d.copyUsage, Log: d.log,
	})
	transport.Handle(d.Calls, usage.ReportMessage, d.usage.relay.ReceiveReport)
	d.AddService("usage relay", func(ctx context.Context) error {
		for clock.Wait(ctx, d.clock, usageForwardInterval) {
			d.usage.relay.Forward(ctx)
		}
		return nil
	})
	d.AddService("usage copies", func(ctx context.Context) error {
		for clock.Wait(ctx, d.clock, usageForwardInterval) {
			d.usage.relay.SendCopy(ctx)
		}
		return nil
	})
}

// ServeTime adds the service that synchronizes the clock with other controllers and the
// handler that answers their time samples, and returns the clock. It returns nil if the
// settings don't ask for usage reports.
func (d *Daemon) ServeTime() *timesync.Clock {
	if d.usage == nil {
		return nil
	}
	transport.Handle(d.Calls, timesync.SampleMessage, d.usage.syncedClock.ServeSample)
	d.AddService("time", func(ctx context.Context) error { d.usage.syncedClock.Run(ctx); return nil })
	return d.usage.syncedClock
}

// SyncedClock returns the clock for the agreed time (package timesync), or nil if the
// settings don't ask for usage reports.
func (d *Daemon) SyncedClock() *timesync.Clock {
	if d.usage == nil {
		return nil
	}
	return d.usage.syncedClock
}

// syncedUnixNanos returns the agreed time, which the relay passes on to the routers of
// the zone, or 0 if the clock is not synchronized.
func (d *Daemon) syncedUnixNanos() int64 {
	if !d.usage.syncedClock.Synced() {
		return 0
	}
	return int64(d.usage.syncedClock.Now())
}

// ReportUsage sends a router's counts to the first relay of its zone that accepts them, and
// adopts the agreed time from its response. It returns the last window for which no
// more counts are needed.
func (d *Daemon) ReportUsage(ctx context.Context, report usage.RouterReport) (decided int64, err error) {
	report.Router = d.Address
	err = errkind.Errorf(errkind.NotReady, "no usage relay is known")
	for _, relay := range d.Membership.Relays(d.settings.Zone, d.timing.RelaysPerZone) {
		started := d.clock.Now()
		var resp usage.ReportResponse
		if resp, err = d.sendUsage(ctx, relay.Address, report); err != nil {
			continue
		}
		if resp.UnixNanos > 0 && relay.Address != d.Address {
			d.usage.syncedClock.Adopt(resp.UnixNanos, started)
		}
		return resp.Decided, nil
	}
	return 0, err
}

func (d *Daemon) sendUsage(ctx context.Context, relay ids.Address, report usage.RouterReport) (usage.ReportResponse, error) {
	if relay == d.Address {
		return d.usage.relay.ReceiveReport(ctx, report)
	}
	return sendWithConnectTimeout[usage.ReportResponse](ctx, d, relay, usage.ReportMessage, report)
}

// sendWithConnectTimeout calls transport.Send with the connect timeout as the timeout of the
// whole call, so that a host without power doesn't delay the calls to the ones after it.
func sendWithConnectTimeout[Response, Request any](ctx context.Context, d *Daemon, to ids.Address, message string, req Request) (Response, error) {
	limited, cancel := d.clock.WithTimeout(ctx, d.timing.ConnectTimeout)
	defer cancel()
	return transport.Send[Response](limited, d.Transport, to, message, req)
}

// usageTerm returns the holder of the usage duty and its fence, as gossiped last.
func (d *Daemon) usageTerm() usage.Term {
	holder, fence := d.DutyOverview().Holder(duty.UsagePart)
	return usage.Term{Holder: holder, Fence: fence}
}

// sendUsageSums sends the sums of the zone to the holder of the usage duty.
func (d *Daemon) sendUsageSums(ctx context.Context, holder ids.Address, req usage.SumsRequest) (usage.CollectResponse, error) {
	return sendWithConnectTimeout[usage.CollectResponse](ctx, d, holder, usage.SumsMessage, req)
}

// sendUsageReports sends the reports of the zone's routers to a holder with an older build,
// which doesn't know usage.SumsMessage.
func (d *Daemon) sendUsageReports(ctx context.Context, holder ids.Address, req usage.CollectRequest) (usage.CollectResponse, error) {
	return sendWithConnectTimeout[usage.CollectResponse](ctx, d, holder, usage.CollectMessage, req)
}

// copyUsage sends a copy of the zone's counts to the controller chosen by copyRecipient, so
// that the counts survive if the zone and the holder of the usage duty are lost together.
func (d *Daemon) copyUsage(ctx context.Context, counts usage.ZoneCounts) {
	recipient := copyRecipient(d.Membership.Members(), d.Membership.Self(), d.usageTerm().Holder)
	if recipient == "" {
		return
	}
	// The error is ignored: a controller with an older build doesn't know the message and
	// keeps no copy.
	_, _ = sendWithConnectTimeout[usage.CopyResponse](ctx, d, recipient, usage.CopyMessage, counts)
}

// copyRecipient returns the controller that keeps a copy of a zone's counts: the one with
// the lowest address in another region or, if there is none, in another zone. It returns ""
// if the holder is itself in another region, which makes a copy unnecessary, or if there is
// no such controller.
func copyRecipient(members []membership.Member, self membership.Member, holder ids.Address) ids.Address {
	var otherRegion, otherZone []ids.Address
	for _, member := range members {
		if member.Address == holder && member.Region != self.Region {
			return ""
		}
		if !member.ServesControl || member.State != membership.Alive || member.Address == holder || member.Zone == self.Zone {
			continue
		}
		otherZone = append(otherZone, member.Address)
		if member.Region != self.Region {
			otherRegion = append(otherRegion, member.Address)
		}
	}
	if len(otherRegion) == 0 {
		otherRegion = otherZone
	}
	if len(otherRegion) == 0 {
		return ""
	}
	return slices.Min(otherRegion)
}

// UsageCopies asks all other controllers for their copies of the zones' counts and returns
// the copies from those that respond.
func (d *Daemon) UsageCopies(ctx context.Context) []usage.ZoneCounts {
	var mu sync.Mutex
	var copies []usage.ZoneCounts
	var requests sync.WaitGroup
	for _, controller := range d.otherControllers() {
		requests.Go(func() {
			resp, err := sendWithConnectTimeout[usage.CopiesResponse](ctx, d, controller, usage.CopiesMessage, usage.CopiesRequest{From: d.Address})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			copies = append(copies, resp.Zones...)
		})
	}
	requests.Wait()
	return copies
}

// DutyOverview returns the overview of the duty holders, as gossiped last. It is empty if
// there is none or it can't be decoded.
func (d *Daemon) DutyOverview() duty.Overview {
	item, ok := d.Updates.Get(duty.OverviewKey)
	if !ok {
		return duty.Overview{}
	}
	overview, err := transport.Unmarshal[duty.Overview](item.Body)
	if err != nil {
		return duty.Overview{}
	}
	return overview
}

// zoneRouters returns the routers of this zone that are alive.
func (d *Daemon) zoneRouters() []ids.Address {
	var routers []ids.Address
	for _, member := range d.Membership.Members() {
		if member.Zone == d.settings.Zone && member.Role == RouterRole && member.State == membership.Alive {
			routers = append(routers, member.Address)
		}
	}
	return routers
}

// otherControllers returns the other controllers that are alive, in random order.
func (d *Daemon) otherControllers() []ids.Address {
	var controllers []ids.Address
	for _, member := range d.Membership.Members() {
		if member.ServesControl && member.State == membership.Alive && member.Address != d.Address {
			controllers = append(controllers, member.Address)
		}
	}
	random.Shuffle(controllers)
	return controllers
}

// Controllers returns the other controllers that are alive and this daemon's own address.
// The controller that assigns duties comes first, if it is among them.
func (d *Daemon) Controllers() []ids.Address {
	assigner := d.DutyOverview().Assigner
	controllers := append(d.otherControllers(), d.Address)
	if index := slices.Index(controllers, assigner); index > 0 {
		controllers[0], controllers[index] = controllers[index], controllers[0]
	}
	return controllers
}

func (d *Daemon) requestTimeSample(ctx context.Context, peer ids.Address) (timesync.SampleResponse, error) {
	return transport.Send[timesync.SampleResponse](ctx, d.Transport, peer, timesync.SampleMessage, timesync.SampleRequest{From: d.Address})
}

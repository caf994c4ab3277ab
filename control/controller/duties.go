package controller

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/settings"
	"onyxwell/control/discovery"
	"onyxwell/control/duty"
	"onyxwell/control/gossip"
	"onyxwell/control/state/lease"
	"onyxwell/control/transport"
	"onyxwell/control/usage"
)

const (
	// dutyInterval is the time between two looks at what a duty has to do.
	dutyInterval = time.Second / 4
	// dutyCheckInterval is the time between two looks at the session while a call runs.
	dutyCheckInterval = 20 * time.Millisecond
	// maxClockDrift is by how much the time of day may differ from the monotonic clock
	// over a session; beyond it the machine may have been suspended.
	maxClockDrift = 100 * time.Millisecond
)

// duties are the parts of the platform's duties at this controller; nil where the
// settings ask for none.
type duties struct {
	session  *duty.Session
	assigner *duty.Assigner
	client   *duty.Client
	usage    *usage.Collector
}

// addDuties adds the session, the assigner and the duties that the settings ask for.
func (c *Controller) addDuties() {
	parts := c.dutyParts()
	if len(parts) == 0 {
		return
	}
	c.duties = &duties{}
	c.addSingleton(singleton{lease: duty.LeaseName, newService: func(holder *lease.Holder) func(context.Context) { return c.newAssigner(holder, parts) }})
	c.duties.client = duty.NewClient(duty.ClientOptions{
		Clock: c.clock, Session: c.duties.session, Node: c.settings.NodeName, Address: c.settings.Platform.Address,
		Timeout: c.handOverDelay(), CheckInterval: dutyCheckInterval, NewHTTP: c.newDutyHTTPClient,
	})
	c.daemon.Metrics.GaugeFunc("duty_parts_held", "Parts of duties at the platform that this controller may act for now.", nil, func() float64 {
		return float64(len(slices.DeleteFunc(c.duties.session.Status(), func(part duty.PartStatus) bool { return !part.Acting })))
	})
	c.daemon.AddService("duty session", func(ctx context.Context) error { c.duties.session.Run(ctx); return nil })
	if c.settings.HasDuty(settings.UsageDuty) {
		c.addUsageCollector()
	}
	if c.settings.HasDuty(settings.ScalingDuty) {
		c.addSizeOrders()
	}
}

// dutyParts returns the parts of the duties that the settings ask for.
func (c *Controller) dutyParts() []duty.Part {
	var parts []duty.Part
	if c.settings.HasDuty(settings.UsageDuty) {
		parts = append(parts, duty.UsagePart)
	}
	if c.settings.HasDuty(settings.ScalingDuty) {
		for _, zone := range c.settings.ZoneNames() {
			parts = append(parts, duty.SizePart(zone))
		}
	}
	return parts
}

// handOverDelay is for how long a new holder of a part makes no call: long enough, too,
// for a session of which a new assigner knows nothing.
func (c *Controller) handOverDelay() time.Duration {
	return max(settings.Milliseconds(c.settings.Bounds.LeaseMS), c.timing.LeaseDuration)
}

// newAssigner makes the singleton that deals the parts, and the session of this
// controller with whoever does.
func (c *Controller) newAssigner(holder *lease.Holder, parts []duty.Part) func(context.Context) {
	c.duties.assigner = duty.NewAssigner(duty.AssignerOptions{
		Clock: c.clock, Wall: time.Now, Address: c.daemon.Address, Parts: parts, TTL: c.timing.LeaseDuration, HandOver: c.handOverDelay(),
		Held: holder.Held, Update: c.commands.Update, Publish: func(item gossip.Item) { c.daemon.Updates.Put(item) }, NewSerial: discovery.FencedSerial, Log: c.log,
	})
	c.duties.session = duty.NewSession(duty.SessionOptions{
		Clock: c.clock, Wall: time.Now, Address: c.daemon.Address, Zone: c.settings.Zone, Incarnation: 1 + random.Int64N(1<<62),
		TTL: c.timing.LeaseDuration, MaxDrift: maxClockDrift, Eligible: c.voter.Voting, Assigner: c.daemon.Controllers,
		AssignerLease: holder.Held, Send: c.sendHeartbeat, ProbePlatform: c.daemon.NewPlatformClient().Probe, Log: c.log,
	})
	transport.Handle(c.daemon.Calls, duty.HandOverMessage, func(_ context.Context, req duty.HandOverRequest) (duty.HandOverResponse, error) {
		return c.duties.assigner.HandOver(req, c.clock.Now()), nil
	})
	transport.Handle(c.daemon.Calls, duty.SessionMessage, func(_ context.Context, req duty.SessionRequest) (duty.SessionResponse, error) {
		return c.answerHeartbeat(req), nil
	})
	return c.duties.assigner.Run
}

// answerHeartbeat answers as the assigner, or tells who that may be.
func (c *Controller) answerHeartbeat(req duty.SessionRequest) duty.SessionResponse {
	resp := c.duties.assigner.Renew(req, c.clock.Now())
	if !resp.Assigning {
		resp.Assigner = c.daemon.DutyOverview().Assigner
	}
	return resp
}

func (c *Controller) sendHeartbeat(ctx context.Context, to ids.Address, req duty.SessionRequest) (duty.SessionResponse, error) {
	if to == c.daemon.Address {
		return c.answerHeartbeat(req), nil
	}
	return transport.Send[duty.SessionResponse](ctx, c.daemon.Transport, to, duty.SessionMessage, req)
}

// newDutyHTTPClient makes a client whose connections serve one call each. Unacknowledged bytes
// end a connection within half of a session, also while this process is stopped.
func (c *Controller) newDutyHTTPClient(wrap func(net.Conn) net.Conn) *http.Client {
	return c.daemon.Network.Client(httpcall.ClientOptions{
		Dialer:         httpcall.Dialer{Timeout: c.timing.ConnectTimeout, UserTimeout: c.timing.LeaseDuration / 2, Wrap: wrap},
		MaxIdlePerHost: -1,
	})
}

// leaveDuties gives this controller's parts up and waits for calls that run, within the
// time-out of a command.
func (c *Controller) leaveDuties(ctx context.Context) {
	if c.duties == nil {
		return
	}
	ctx, cancel := c.clock.WithTimeout(ctx, c.timing.CommandTimeout)
	defer cancel()
	c.duties.session.Leave(ctx)
	for c.duties.session.Calling() && clock.Wait(ctx, c.clock, dutyCheckInterval) {
	}
	c.duties.session.Renew(ctx)
}

// dutiesStatus is the part of GET /status that tells of the duties at the platform.
type dutiesStatus struct {
	Assigner ids.Address         `json:"assigner"`
	Held     []duty.PartStatus   `json:"held_here"`
	Parts    []duty.PartOverview `json:"parts"`
}

// dutiesStatus returns the parts as this controller knows them: what is held here, and
// what the assigner told of all.
func (c *Controller) dutiesStatus() *dutiesStatus {
	if c.duties == nil {
		return nil
	}
	overview, acts := c.daemon.DutyOverview(), c.duties.assigner.Acts()
	for index := range overview.Parts {
		act := acts[overview.Parts[index].Part]
		overview.Parts[index].ActUnixMS, overview.Parts[index].ActStatus = act.UnixMS, act.Status
	}
	return &dutiesStatus{Assigner: overview.Assigner, Held: c.duties.session.Status(), Parts: overview.Parts}
}

// handOverPart asks the assigner to give a part to another controller.
func (c *Controller) handOverPart(ctx context.Context, part duty.Part) error {
	if c.duties == nil {
		return errkind.Errorf(errkind.UnknownCall, "the boot file asks for no duties")
	}
	ctx, cancel := c.clock.WithTimeout(ctx, c.timing.CommandTimeout)
	defer cancel()
	for _, address := range c.daemon.Controllers() {
		resp, err := c.sendHandOver(ctx, address, duty.HandOverRequest{Part: part})
		switch {
		case err != nil || !resp.Assigning:
			continue
		case !resp.Known:
			return errkind.Errorf(errkind.BadRequest, "part: %q is not known", part)
		}
		return nil
	}
	return errkind.Errorf(errkind.NoQuorum, "no controller assigns duties now")
}

func (c *Controller) sendHandOver(ctx context.Context, to ids.Address, req duty.HandOverRequest) (duty.HandOverResponse, error) {
	if to == c.daemon.Address {
		return c.duties.assigner.HandOver(req, c.clock.Now()), nil
	}
	// One that is without power must not take the time of those after it.
	ctx, cancel := c.clock.WithTimeout(ctx, c.timing.ConnectTimeout)
	defer cancel()
	return transport.Send[duty.HandOverResponse](ctx, c.daemon.Transport, to, duty.HandOverMessage, req)
}

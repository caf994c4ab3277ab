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
	// dutyInterval is the interval at which the services of the duties check for work.
	dutyInterval = time.Second / 4
	// dutyCheckInterval is the interval at which the session is checked while a call runs.
	dutyCheckInterval = 20 * time.Millisecond
	// maxClockDrift is the maximum difference between the time of day and the monotonic
	// clock over one session. If it is exceeded, the machine may have been suspended.
	maxClockDrift = 100 * time.Millisecond
)

// duties holds what this controller needs to take part in the duties at the platform.
// Controller.duties is nil if the settings ask for no duties.
type duties struct {
	session  *duty.Session
	assigner *duty.Assigner
	client   *duty.Client
	usage    *usage.Collector
}

// addDuties adds the assigner, the session and the duties that the settings ask for.
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

// handOverDelay returns how long a new holder of a part waits before its first call. It
// is at least the duration of a session, because a new assigner may not know of a
// session that is still valid. It is also the timeout of a call.
func (c *Controller) handOverDelay() time.Duration {
	return max(settings.Milliseconds(c.settings.Bounds.LeaseMS), c.timing.LeaseDuration)
}

// newAssigner creates the singleton that assigns the parts to controllers, and the
// session of this controller with the current assigner.
func (c *Controller) newAssigner(holder *lease.Holder, parts []duty.Part) func(context.Context) {
	c.duties.assigner = duty.NewAssigner(duty.AssignerOptions{
		Clock: c.clock, Wall: time.Now, Address: c.daemon.Address, Parts: parts, TTL: c.timing.LeaseDuration, HandOverDelay: c.handOverDelay(),
		AssignerLease: holder.Held, Update: c.commands.Update, Publish: func(item gossip.Item) { c.daemon.Updates.Put(item) }, NewSerial: discovery.FencedSerial, Log: c.log,
	})
	c.duties.session = duty.NewSession(duty.SessionOptions{
		Clock: c.clock, Wall: time.Now, Address: c.daemon.Address, Zone: c.settings.Zone, Incarnation: 1 + random.Int64N(1<<62),
		TTL: c.timing.LeaseDuration, MaxDrift: maxClockDrift, Eligible: c.voter.Voting, AssignerCandidates: c.daemon.Controllers,
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

// answerHeartbeat answers a heartbeat as the assigner. If this controller is not the
// assigner, the response names the last known one.
func (c *Controller) answerHeartbeat(req duty.SessionRequest) duty.SessionResponse {
	resp := c.duties.assigner.Renew(req, c.clock.Now())
	if !resp.Assigning {
		resp.Assigner = c.daemon.DutyOverview().Assigner
	}
	return resp
}

// sendHeartbeat sends a heartbeat to a controller, which may be this one.
func (c *Controller) sendHeartbeat(ctx context.Context, to ids.Address, req duty.SessionRequest) (duty.SessionResponse, error) {
	if to == c.daemon.Address {
		return c.answerHeartbeat(req), nil
	}
	return transport.Send[duty.SessionResponse](ctx, c.daemon.Transport, to, duty.SessionMessage, req)
}

// newDutyHTTPClient creates an HTTP client that uses each connection for one call only.
// The kernel closes a connection whose bytes stay unacknowledged for half the duration of
// a session, even while this process is stopped.
func (c *Controller) newDutyHTTPClient(wrap func(net.Conn) net.Conn) *http.Client {
	return c.daemon.Network.Client(httpcall.ClientOptions{
		Dialer:         httpcall.Dialer{Timeout: c.timing.ConnectTimeout, UserTimeout: c.timing.LeaseDuration / 2, Wrap: wrap},
		MaxIdlePerHost: -1,
	})
}

// leaveDuties gives up the parts of this controller and waits until no call is running,
// for at most the command timeout.
func (c *Controller) leaveDuties(ctx context.Context) {
	if c.duties == nil {
		return
	}
	ctx, cancel := c.clock.WithTimeout(ctx, c.timing.CommandTimeout)
	defer cancel()
	c.duties.session.Leave(ctx)
	for c.duties.session.HasRunningCalls() && clock.Wait(ctx, c.clock, dutyCheckInterval) {
	}
	c.duties.session.Renew(ctx)
}

// dutiesStatus is the part of the response to GET /status about the duties at the
// platform.
type dutiesStatus struct {
	Assigner ids.Address         `json:"assigner"`
	Held     []duty.PartStatus   `json:"held_here"`
	Parts    []duty.PartOverview `json:"parts"`
}

// dutiesStatus returns the parts that this controller holds, and the last known overview
// of all parts. The last call of each part is known only to the assigner. It is empty at a
// controller that was never the assigner, and may be outdated at a former one.
func (c *Controller) dutiesStatus() *dutiesStatus {
	if c.duties == nil {
		return nil
	}
	overview, acts := c.daemon.DutyOverview(), c.duties.assigner.LastCalls()
	for index := range overview.Parts {
		act := acts[overview.Parts[index].Part]
		overview.Parts[index].LastCallUnixMS, overview.Parts[index].LastCallStatus = act.UnixMS, act.Status
	}
	return &dutiesStatus{Assigner: overview.Assigner, Held: c.duties.session.Status(), Parts: overview.Parts}
}

// handOverPart asks the assigner to assign a part to another controller. It asks one
// controller after the other until it reaches the assigner.
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

// sendHandOver sends a hand-over request to a controller, which may be this one.
func (c *Controller) sendHandOver(ctx context.Context, to ids.Address, req duty.HandOverRequest) (duty.HandOverResponse, error) {
	if to == c.daemon.Address {
		return c.duties.assigner.HandOver(req, c.clock.Now()), nil
	}
	// A controller without power must not use up the time for those that are asked after it.
	ctx, cancel := c.clock.WithTimeout(ctx, c.timing.ConnectTimeout)
	defer cancel()
	return transport.Send[duty.HandOverResponse](ctx, c.daemon.Transport, to, duty.HandOverMessage, req)
}

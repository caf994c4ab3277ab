package duty

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// heartbeatsPerTTL is the number of heartbeats sent per session TTL.
const heartbeatsPerTTL = 4

// expiryMarginDivisor sets the safety margin for clock drift: a holder ends its session
// TTL/expiryMarginDivisor before the TTL has passed.
const expiryMarginDivisor = 10

// SessionOptions configure a Session. All are required but Log.
type SessionOptions struct {
	Clock clock.Clock
	// Wall returns the time of day. If it and Clock measure different durations, the machine
	// was suspended or its wall clock was set.
	Wall    func() time.Time
	Address ids.Address
	Zone    ids.Zone
	// Incarnation distinguishes this process from earlier ones at the same address.
	Incarnation int64
	// TTL is how long a session lasts without a heartbeat.
	TTL time.Duration
	// MaxDrift is the largest permitted difference between the durations that Clock and Wall
	// measure since a grant.
	MaxDrift time.Duration
	// Eligible reports whether this controller may be assigned parts.
	Eligible func() bool
	// AssignerCandidates returns the controllers to ask, the likely assigner first.
	AssignerCandidates func() []ids.Address
	// Send sends a heartbeat to a controller and returns its response.
	Send func(ctx context.Context, to ids.Address, req SessionRequest) (SessionResponse, error)
	// AssignerLease returns the epoch of the assigner's lease and whether this controller
	// holds it. Parts that the controller has granted to itself end with the lease.
	AssignerLease func(now clock.Instant) (epoch int64, held bool)
	// ProbePlatform reports whether the platform answers.
	ProbePlatform func(ctx context.Context) bool
	Log           *log.Logger
}

// Session is a controller's session with the assigner: the parts that the controller holds,
// and until when. It is safe for concurrent use.
type Session struct {
	options SessionOptions

	mu sync.Mutex
	// epoch and assigner are those of the last response that was applied.
	epoch    int64
	assigner ids.Address
	// unresponsive holds the controllers that did not answer their last heartbeat. They are
	// tried after all others, since a machine without power uses up the whole heartbeat
	// timeout.
	unresponsive map[ids.Address]bool
	parts        map[Part]*heldPart
	// revokedFences holds the highest fence of each part that was released or refused, which
	// is never accepted again. rejectedFences holds the fences to be reported as rejected:
	// those refused by the platform, released by Leave, or granted again after a revocation.
	revokedFences  map[Part]int64
	rejectedFences map[Part]int64
	lastCalls      map[Part]LastCall
	// leaving is set by Leave: no further grant is accepted.
	leaving bool
	// probeWanted means that the assigner has asked whether the platform answers,
	// platformUnreachable that the last probe got no answer.
	probeWanted, platformUnreachable bool
	// unansweredSince holds, by part, the start of the first call in the current series of
	// calls that the platform did not answer.
	unansweredSince map[Part]clock.Instant
}

// heldPart is a part that was granted to this controller.
type heldPart struct {
	fence     int64
	notBefore clock.Instant
	expiry    clock.Instant
	// grantedAt and grantedWall are the time at which the heartbeat of the last grant was
	// sent, on Clock and on Wall.
	grantedAt   clock.Instant
	grantedWall time.Time
	// runningCalls counts the calls that are running. A revoked part gets no further calls.
	runningCalls int
	revoked      bool
	// lastCallStarted is when the last call started.
	lastCallStarted clock.Instant
}

// NewSession returns a Session that holds no part.
func NewSession(options SessionOptions) *Session {
	return &Session{
		options: options, unresponsive: map[ids.Address]bool{}, parts: map[Part]*heldPart{}, revokedFences: map[Part]int64{}, rejectedFences: map[Part]int64{},
		lastCalls: map[Part]LastCall{}, unansweredSince: map[Part]clock.Instant{},
	}
}

// Run renews the session, and probes the platform when asked to, until ctx is canceled.
func (s *Session) Run(ctx context.Context) {
	go func() {
		// Probes run in a goroutine of their own, because a platform that does not answer must
		// not delay heartbeats.
		for clock.Wait(ctx, s.options.Clock, s.options.TTL/heartbeatsPerTTL) {
			s.Probe(ctx)
		}
	}()
	for ctx.Err() == nil {
		s.Renew(ctx)
		if !clock.Wait(ctx, s.options.Clock, s.options.TTL/heartbeatsPerTTL) {
			return
		}
	}
}

// Probe checks whether the platform answers if the assigner has asked for it.
func (s *Session) Probe(ctx context.Context) {
	s.mu.Lock()
	wanted := s.probeWanted
	s.mu.Unlock()
	ctx, cancel := s.options.Clock.WithTimeout(ctx, s.options.TTL/2)
	defer cancel()
	unreachable := wanted && !s.options.ProbePlatform(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformUnreachable = unreachable
}

// Renew sends a heartbeat to the candidates in turn until one answers as the assigner, and
// applies its response.
func (s *Session) Renew(ctx context.Context) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, s.options.TTL/heartbeatsPerTTL)
	defer cancel()
	req := s.request()
	asked := map[ids.Address]bool{}
	candidates := s.candidates()
	for len(candidates) > 0 && ctx.Err() == nil {
		address := candidates[0]
		candidates = candidates[1:]
		if address == "" || asked[address] {
			continue
		}
		asked[address] = true
		started, wall := s.options.Clock.Now(), s.options.Wall()
		resp, err := s.options.Send(ctx, address, req)
		s.recordAnswer(address, err)
		switch {
		case err != nil:
			continue
		case resp.Assigning:
			s.applyResponse(address, resp, started, wall)
			return
		case resp.Assigner != "":
			candidates = s.unresponsiveLast(append([]ids.Address{resp.Assigner}, candidates...))
		}
	}
}

// recordAnswer records whether a controller answered.
func (s *Session) recordAnswer(address ids.Address, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.unresponsive, address)
		return
	}
	s.unresponsive[address] = true
}

// candidates returns the controllers to send a heartbeat to: the last known assigner first,
// and those that did not answer last.
func (s *Session) candidates() []ids.Address {
	s.mu.Lock()
	last := s.assigner
	s.mu.Unlock()
	return s.unresponsiveLast(append([]ids.Address{last}, s.options.AssignerCandidates()...))
}

// unresponsiveLast moves the controllers that did not answer their last heartbeat to the end.
func (s *Session) unresponsiveLast(candidates []ids.Address) []ids.Address {
	s.mu.Lock()
	defer s.mu.Unlock()
	var responsive, unresponsive []ids.Address
	for _, address := range candidates {
		if s.unresponsive[address] {
			unresponsive = append(unresponsive, address)
		} else {
			responsive = append(responsive, address)
		}
	}
	return append(responsive, unresponsive...)
}

// request returns the next heartbeat and removes revoked parts without running calls.
func (s *Session) request() SessionRequest {
	req := SessionRequest{From: s.options.Address, Incarnation: s.options.Incarnation, Zone: s.options.Zone}
	eligible := s.options.Eligible()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Clock.Now()
	req.Eligible, req.PlatformDown = eligible && !s.leaving, s.platformUnreachable
	for part, held := range s.parts {
		if held.runningCalls > 0 || (!held.revoked && now.Before(held.expiry)) {
			req.Active = append(req.Active, Grant{Part: part, Fence: held.fence})
			req.PlatformDown = req.PlatformDown || (held.runningCalls > 0 && now.Since(held.lastCallStarted) > s.options.TTL)
		} else if held.revoked {
			delete(s.parts, part)
		}
	}
	for part, fence := range s.rejectedFences {
		req.Rejected = append(req.Rejected, Grant{Part: part, Fence: fence})
	}
	for _, call := range s.lastCalls {
		req.LastCalls = append(req.LastCalls, call)
	}
	for _, since := range s.unansweredSince {
		req.PlatformDown = req.PlatformDown || now.Since(since) > s.options.TTL
	}
	return req
}

// applyResponse applies the assigner's response to a heartbeat that was sent at started, or
// at wall in the time of day. Parts that it does not grant are revoked. Responses under an
// older epoch are ignored.
func (s *Session) applyResponse(assigner ids.Address, resp SessionResponse, started clock.Instant, wall time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp.Epoch < s.epoch {
		return
	}
	s.epoch, s.assigner, s.probeWanted = resp.Epoch, assigner, resp.ProbePlatform
	now := s.options.Clock.Now()
	granted := map[Part]bool{}
	for _, grant := range resp.Grants {
		granted[grant.Part] = true
		s.applyGrant(grant, started, wall, now)
	}
	for part, held := range s.parts {
		if !granted[part] {
			s.revoke(part, held, "part given up")
		}
	}
}

// revoke permanently ends the use of a part under its fence. The caller holds s.mu.
func (s *Session) revoke(part Part, held *heldPart, message string) {
	if held.revoked {
		return
	}
	held.revoked = true
	s.revokedFences[part] = max(s.revokedFences[part], held.fence)
	delete(s.unansweredSince, part)
	s.logChange(part, held.fence, message)
}

// applyGrant accepts, renews or rejects the grant of one part. The caller holds s.mu.
func (s *Session) applyGrant(grant Grant, started clock.Instant, wall time.Time, now clock.Instant) {
	held := s.parts[grant.Part]
	switch {
	case held != nil && held.fence > grant.Fence:
		return
	case s.leaving || grant.Fence <= s.revokedFences[grant.Part]:
		s.rejectedFences[grant.Part] = grant.Fence
		return
	case held == nil || held.fence < grant.Fence:
		calls := 0
		if held != nil {
			// Calls that run under the former fence are still counted. They fail their next
			// check.
			calls = held.runningCalls
		}
		held = &heldPart{fence: grant.Fence, notBefore: now.Add(time.Duration(grant.WaitMS) * time.Millisecond), runningCalls: calls}
		s.parts[grant.Part] = held
		delete(s.rejectedFences, grant.Part)
		s.logChange(grant.Part, grant.Fence, "part held")
	}
	held.expiry = started.Add(s.options.TTL - s.options.TTL/expiryMarginDivisor)
	held.grantedAt, held.grantedWall = started, wall
}

func (s *Session) logChange(part Part, fence int64, message string) {
	if s.options.Log != nil {
		s.options.Log.Info().Str("part", "duty").Str("duty_part", string(part)).Int64("fence", fence).Msg(message)
	}
}

// Leave revokes all parts, accepts no more and notifies the assigner. Parts with running
// calls are still reported as active.
func (s *Session) Leave(ctx context.Context) {
	s.mu.Lock()
	s.leaving = true
	for part, held := range s.parts {
		s.revoke(part, held, "part given up")
		s.rejectedFences[part] = held.fence
	}
	s.mu.Unlock()
	s.Renew(ctx)
}

package duty

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// heartbeatsPerTTL is how often a session is renewed in its time to live.
const heartbeatsPerTTL = 4

// expiryMarginDivisor is the part of a session, one in so many, by which its holder ends it
// early: for the drift of clocks.
const expiryMarginDivisor = 10

// SessionOptions configure a Session. All are required but Log.
type SessionOptions struct {
	Clock clock.Clock
	// Wall is the time of day: where it and Clock differ in how long something took, the
	// machine was suspended or its clock was set.
	Wall    func() time.Time
	Address ids.Address
	Zone    ids.Zone
	// Incarnation tells this process from the one before it.
	Incarnation int64
	// TTL is how long a session lasts without a heartbeat.
	TTL time.Duration
	// MaxDrift is by how much Clock and Wall may differ over one session.
	MaxDrift time.Duration
	// Eligible reports whether parts may be held here.
	Eligible func() bool
	// AssignerCandidates returns the controllers to ask, the likely assigner first.
	AssignerCandidates func() []ids.Address
	// Send sends a heartbeat.
	Send func(ctx context.Context, to ids.Address, req SessionRequest) (SessionResponse, error)
	// AssignerLease returns the epoch of the assigner's lease where it is held here: what
	// this controller grants itself lasts no longer.
	AssignerLease func(now clock.Instant) (epoch int64, held bool)
	// ProbePlatform reports whether the platform answers.
	ProbePlatform func(ctx context.Context) bool
	Log           *log.Logger
}

// Session is a controller's side: which parts it holds, and until when. It is safe for
// concurrent use.
type Session struct {
	options SessionOptions

	mu sync.Mutex
	// epoch is that of the assigner that answered last.
	epoch    int64
	assigner ids.Address
	// unresponsive are controllers that did not answer last; they are asked after all others, since
	// one whose machine is without power takes the whole time of a heartbeat.
	unresponsive map[ids.Address]bool
	parts        map[Part]*heldPart
	// revokedFences has the highest fence of each part that was given up or refused: it is never
	// taken up again. rejected are those that the assigner granted all the same.
	revokedFences  map[Part]int64
	rejectedFences map[Part]int64
	lastCalls      map[Part]LastCall
	// leaving has no part be taken up any more.
	leaving bool
	// probeWanted says that the assigner wants to know whether the platform answers, platformUnreachable
	// that it did not answer the last probeWanted.
	probeWanted, platformUnreachable bool
	// unansweredSince has, by part, since when the platform does not answer.
	unansweredSince map[Part]clock.Instant
}

// heldPart is a part that was granted here.
type heldPart struct {
	fence     int64
	notBefore clock.Instant
	expiry    clock.Instant
	// grantedAt and grantedWall are the same instant on both clocks.
	grantedAt   clock.Instant
	grantedWall time.Time
	// runningCalls are those that run under the fence; revoked parts get no further ones.
	runningCalls int
	revoked      bool
	// lastCallStarted is when the last call began.
	lastCallStarted clock.Instant
}

// NewSession returns a Session that holds nothing.
func NewSession(options SessionOptions) *Session {
	return &Session{
		options: options, unresponsive: map[ids.Address]bool{}, parts: map[Part]*heldPart{}, revokedFences: map[Part]int64{}, rejectedFences: map[Part]int64{},
		lastCalls: map[Part]LastCall{}, unansweredSince: map[Part]clock.Instant{},
	}
}

// Run keeps the session until ctx ends.
func (s *Session) Run(ctx context.Context) {
	go func() {
		// A platform that is silent must not hold up heartbeats.
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

// Probe asks the platform for an answer, if the assigner wants to know.
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

// Renew sends a heartbeat to the first controller that says that it assigns.
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

// recordAnswer remembers whether a controller answered.
func (s *Session) recordAnswer(address ids.Address, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.unresponsive, address)
		return
	}
	s.unresponsive[address] = true
}

// candidates returns whom to ask: who answered last goes first.
func (s *Session) candidates() []ids.Address {
	s.mu.Lock()
	last := s.assigner
	s.mu.Unlock()
	return s.unresponsiveLast(append([]ids.Address{last}, s.options.AssignerCandidates()...))
}

// unresponsiveLast moves those that did not answer last to the end.
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

// request returns the next heartbeat.
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
	for _, act := range s.lastCalls {
		req.LastCalls = append(req.LastCalls, act)
	}
	for _, since := range s.unansweredSince {
		req.PlatformDown = req.PlatformDown || now.Since(since) > s.options.TTL
	}
	return req
}

// applyResponse takes over what the assigner granted to a heartbeat that was sent at started.
// Parts that it does not name are given up.
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

// revoke ends a part under its fence for good. The caller holds s.mu.
func (s *Session) revoke(part Part, held *heldPart, message string) {
	if held.revoked {
		return
	}
	held.revoked = true
	s.revokedFences[part] = max(s.revokedFences[part], held.fence)
	delete(s.unansweredSince, part)
	s.logChange(part, held.fence, message)
}

// applyGrant takes over one part. The caller holds s.mu.
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
			// Its calls are checked against the former fence, and fail.
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

// Leave gives all parts up and tells the assigner so once no call runs.
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

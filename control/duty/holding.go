package duty

// Held returns the fence under which calls for a part may be made now. ok is false if none
// may.
func (s *Session) Held(part Part) (fence int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.parts[part]
	if held == nil || !s.mayCall(held) {
		return 0, false
	}
	return held.fence, true
}

// Assigned returns the fence under which a part was granted to this controller, also while
// the hand-over delay does not permit calls yet.
func (s *Session) Assigned(part Part) (fence int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.parts[part]
	if held == nil {
		return 0, false
	}
	return held.fence, true
}

// Allowed reports whether a call under a fence may start or continue now.
func (s *Session) Allowed(part Part, fence int64) bool {
	current, ok := s.Held(part)
	return ok && current == fence
}

// mayCall reports whether calls for a part are allowed now: it was not revoked, its session
// has not expired, its hand-over delay has passed, and the monotonic and the wall clock agree
// on the time since the grant. If this controller is also the assigner, it must still hold
// the lease under the same epoch. The caller holds s.mu.
func (s *Session) mayCall(held *heldPart) bool {
	now := s.options.Clock.Now()
	if s.assigner == s.options.Address {
		if epoch, leaseHeld := s.options.AssignerLease(now); !leaseHeld || epoch != s.epoch {
			return false
		}
	}
	drift := s.options.Wall().Sub(held.grantedWall) - now.Since(held.grantedAt)
	return !held.revoked && !now.Before(held.notBefore) && now.Before(held.expiry) && drift.Abs() <= s.options.MaxDrift
}

// beginCall registers a call under a fence, so that heartbeats list the part as active until
// the call ends. It returns false if the call is not allowed.
func (s *Session) beginCall(part Part, fence int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.parts[part]
	if held == nil || held.fence != fence || !s.mayCall(held) {
		return false
	}
	held.runningCalls++
	held.lastCallStarted = s.options.Clock.Now()
	return true
}

// endCall unregisters a call of beginCall and records its result. A status of 0 means that
// the platform did not answer.
func (s *Session) endCall(part Part, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	started := s.options.Clock.Now()
	if held := s.parts[part]; held != nil && held.runningCalls > 0 {
		held.runningCalls--
		started = held.lastCallStarted
	}
	s.lastCalls[part] = LastCall{Part: part, UnixMS: s.options.Wall().UnixMilli(), Status: int64(status)}
	if status > 0 {
		delete(s.unansweredSince, part)
	} else if _, failing := s.unansweredSince[part]; !failing {
		s.unansweredSince[part] = started
	}
}

// RevokeRefused revokes a part whose fence the platform refused because another holder has
// made a call under a higher one.
func (s *Session) RevokeRefused(part Part, fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if held := s.parts[part]; held != nil && held.fence == fence {
		s.revoke(part, held, "part refused: a higher fence has acted")
		s.rejectedFences[part] = fence
	}
}

// PartStatus is the state of a part granted to this controller, for GET /status. Acting
// reports whether calls are allowed now, Calls how many are running.
type PartStatus struct {
	Part   Part  `json:"part"`
	Fence  int64 `json:"fence"`
	Acting bool  `json:"acting"`
	Calls  int   `json:"calls"`
}

// Status returns the parts that were granted to this controller, in no particular order.
func (s *Session) Status() []PartStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []PartStatus
	for part, held := range s.parts {
		statuses = append(statuses, PartStatus{Part: part, Fence: held.fence, Acting: s.mayCall(held), Calls: held.runningCalls})
	}
	return statuses
}

// HasRunningCalls reports whether a call is running for any part.
func (s *Session) HasRunningCalls() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, held := range s.parts {
		if held.runningCalls > 0 {
			return true
		}
	}
	return false
}

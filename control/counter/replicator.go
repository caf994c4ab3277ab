package counter

import (
	"context"
	"hash/fnv"
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// runPeers runs an exchange loop for each other controller until ctx ends.
func (s *Service) runPeers(ctx context.Context) {
	for {
		s.updatePeers(ctx)
		if !clock.Wait(ctx, s.options.Clock, s.options.Timing.Interval) {
			return
		}
	}
}

// updatePeers starts and stops exchange loops to follow the membership. A controller in the
// state membership.Removed may only be partitioned from this one, so it is treated as listed
// until ForgetAfter has passed.
func (s *Service) updatePeers(ctx context.Context) {
	now := s.options.Clock.Now()
	for _, member := range s.options.Membership.Members() {
		if !member.ServesControl || member.Address == s.options.Address {
			continue
		}
		present := member.Present()
		lost := member.State == membership.Removed && s.options.Membership.StateAge(member.Address) < s.options.Timing.ForgetAfter
		s.mu.Lock()
		if member.State == membership.Left {
			s.dropPeer(member.Address)
		} else if present || lost {
			s.addPeer(ctx, member.Address, now)
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, other := range s.peers {
		forgetAfter := s.options.Timing.ForgetAfter
		if !other.contacted {
			forgetAfter = s.options.Timing.ForgetUncontactedAfter
		}
		if now.Since(other.refreshedAt) > forgetAfter {
			s.dropPeer(address)
		}
	}
	s.checkProgress()
}

// addPeer starts the loop of a new peer, or refreshes a known one. The caller holds mu.
func (s *Service) addPeer(ctx context.Context, address ids.Address, now clock.Instant) {
	if known := s.peers[address]; known != nil {
		known.refreshedAt = now
		return
	}
	loop, stop := context.WithCancel(ctx)
	added := &peer{address: address, held: vector{}, refreshedAt: now, wake: make(chan struct{}, 1), stop: stop}
	s.peers[address] = added
	go s.runPeer(loop, added)
}

// dropPeer removes a peer and stops its loop. The caller holds mu.
func (s *Service) dropPeer(address ids.Address) {
	if known := s.peers[address]; known != nil {
		known.stop()
		delete(s.peers, address)
	}
}

// runPeer exchanges records with a peer until ctx ends: as soon as the peer lacks records
// of this disk's origin, and at each tick.
func (s *Service) runPeer(ctx context.Context, other *peer) {
	tick, tickDue := s.options.Clock.After(s.options.Timing.Interval), true
	for ctx.Err() == nil {
		req, due := s.nextExchange(other, tickDue)
		tickDue = false
		if due {
			answered := s.exchange(ctx, other, req)
			if !answered {
				clock.Wait(ctx, s.options.Clock, retryPause)
			}
			// A peer that lacks more than fits into an exchange gets the rest without a pause.
			tickDue = answered && req.isFull()
			continue
		}
		select {
		case <-ctx.Done():
		case <-other.wake:
		case <-tick:
			tick, tickDue = s.options.Clock.After(s.options.Timing.Interval), true
		}
	}
}

// nextExchange returns the next request to a peer, and whether it is due now.
func (s *Service) nextExchange(other *peer, tickDue bool) (ExchangeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := ExchangeRequest{From: s.options.Address}
	if !other.silent() && other.contacted {
		req.Batches = s.missingBatches(other, tickDue)
	}
	// A first failure is retried without waiting for a tick, to find out soon whether the
	// peer is silent.
	retry := other.failures > 0 && !other.silent()
	due := retry || len(req.Batches) > 0 || (tickDue && (!other.contacted || s.state.Len() > 0 || !s.ready))
	if tickDue {
		other.heldAtTick = vectorOf(s.state.Vector())
		req.Peers = s.answeringControllers()
	}
	if due {
		req.Vector = s.state.Vector()
	}
	return req, due
}

// answeringControllers returns this controller and the peers that answer it. They are sent
// to other controllers, so that one that reaches any of them learns of all. The membership
// takes longer for that when many controllers start at the same time, or after a zone was
// partitioned. The caller holds mu.
func (s *Service) answeringControllers() []ids.Address {
	addresses := []ids.Address{s.options.Address}
	for address, other := range s.peers {
		if other.contacted && !other.silent() {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// learnPeers adds or refreshes peers that are seeds, that have called or that another
// controller named, except those that have left. The caller holds mu.
func (s *Service) learnPeers(addresses []ids.Address) {
	for _, address := range addresses {
		member, known := s.options.Membership.Find(address)
		if address == s.options.Address || (known && member.State == membership.Left) {
			continue
		}
		s.addPeer(s.runContext, address, s.options.Clock.Now())
	}
}

// missingBatches returns records that a peer lacks, at most maxExchangeRecords and those of
// this disk's origin first. Records of other origins are included only at a tick and only
// if this controller held them at the previous tick: by then the peer usually has them from
// the controllers that accepted them. The caller holds mu.
func (s *Service) missingBatches(other *peer, tickDue bool) []Batch {
	var batches []Batch
	limit := maxExchangeRecords
	for _, origin := range s.originOrder() {
		upTo := s.state.held(origin)
		if origin != s.journal.origin {
			if !tickDue {
				break
			}
			upTo = min(upTo, other.heldAtTick[origin])
		}
		held := other.held[origin]
		if held >= upTo || limit == 0 {
			continue
		}
		batch := s.state.Batch(origin, held, min(limit, int(upTo-held)))
		limit -= batch.Len()
		batches = append(batches, batch)
	}
	return batches
}

// originOrder returns the origins in the order in which their records are sent: this disk's
// origin first, then the others, starting at one that depends on this controller's address.
// Several controllers that bring a peer up to date thus start with different records. The
// caller holds mu.
func (s *Service) originOrder() []int64 {
	if len(s.order) == len(s.state.origins) {
		return s.order
	}
	s.order = s.order[:0]
	for _, origin := range s.state.origins {
		s.order = append(s.order, origin.origin)
	}
	slices.Sort(s.order)
	if len(s.order) > 0 {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(s.options.Address))
		first := int(hash.Sum32() % uint32(len(s.order)))
		s.order = append(slices.Clone(s.order[first:]), s.order[:first]...)
	}
	if own := slices.Index(s.order, s.journal.origin); own > 0 {
		s.order = slices.Insert(slices.Delete(s.order, own, own+1), 0, s.journal.origin)
	}
	return s.order
}

// exchange sends a request to a peer, records the answer or the failure, and reports
// whether there was an answer. If ctx has ended it records nothing.
func (s *Service) exchange(ctx context.Context, other *peer, req ExchangeRequest) bool {
	timed, cancel := s.options.Clock.WithTimeout(ctx, s.options.Timing.ExchangeTimeout)
	defer cancel()
	resp, err := transport.Send[ExchangeResponse](timed, s.options.Transport, other.address, exchangeMessage, req)
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		if other.recordFailure(s.options.Clock.Now()) {
			s.options.Log.Warn().Str("part", logPart).Str("peer", string(other.address)).Err(err).Msg("peer silent")
		}
		s.checkProgress()
		return false
	}
	held := vectorOf(resp.Vector)
	if other.recordAnswer(held) {
		s.options.Log.Info().Str("part", logPart).Str("peer", string(other.address)).
			Int64("silent_ms", s.options.Clock.Now().Since(other.silentSince).Milliseconds()).Msg("peer answers again")
	}
	s.journal.checkOrigin(held)
	s.learnPeers(resp.Peers)
	s.checkProgress()
	return true
}

// serveExchange handles an exchange: it stores the records of the request and answers with
// the vector of this disk. A controller that is leaving refuses it, since its disk may be
// removed together with it.
func (s *Service) serveExchange(ctx context.Context, req ExchangeRequest) (ExchangeResponse, error) {
	for _, batch := range req.Batches {
		if err := batch.validate(); err != nil {
			return ExchangeResponse{}, err
		}
	}
	s.mu.Lock()
	if s.leaving {
		s.mu.Unlock()
		return ExchangeResponse{}, errkind.Errorf(errkind.Draining, "")
	}
	s.recordCaller(req)
	var committed <-chan error
	if len(req.Batches) > 0 {
		committed = s.journal.enqueueBatches(req.Batches)
	}
	s.mu.Unlock()
	if committed != nil {
		select {
		case err := <-committed:
			if err != nil {
				return ExchangeResponse{}, errkind.Errorf(errkind.Internal, "%w", err)
			}
		case <-ctx.Done():
			return ExchangeResponse{}, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := ExchangeResponse{Vector: s.state.Vector()}
	if len(req.Peers) > 0 {
		resp.Peers = s.answeringControllers()
	}
	return resp, nil
}

// recordCaller adds the sender of a request and the controllers that it names as peers, and
// records the sender's vector. The membership need not know the sender yet, for example if
// it is new. A controller that has left does not become a peer. The caller holds mu.
func (s *Service) recordCaller(req ExchangeRequest) {
	if s.runContext == nil || req.From == s.options.Address {
		return
	}
	s.learnPeers(append(req.Peers, req.From))
	held := vectorOf(req.Vector)
	s.journal.checkOrigin(held)
	if caller := s.peers[req.From]; caller != nil {
		caller.held = held
		caller.notify()
	}
	s.checkProgress()
}

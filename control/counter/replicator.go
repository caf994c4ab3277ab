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

// runPeers keeps a loop for each other controller until ctx ends.
func (s *Service) runPeers(ctx context.Context) {
	for {
		s.updatePeers(ctx)
		if !clock.Wait(ctx, s.options.Clock, s.options.Timing.Interval) {
			return
		}
	}
}

// updatePeers starts and ends loops by the membership. A controller that is believed to
// be removed may be cut off: it stays a peer for as long as it may come back.
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

// addPeer starts the loop of a peer, unless it has one. The caller holds mu.
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

// dropPeer ends the loop of a peer. The caller holds mu.
func (s *Service) dropPeer(address ids.Address) {
	if known := s.peers[address]; known != nil {
		known.stop()
		delete(s.peers, address)
	}
}

// runPeer exchanges records with a peer until ctx ends: at once where it lacks records of
// this disk, and at each tick.
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
			// A peer that lacks more than fits is brought up to date without a pause.
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

// nextExchange returns what to send to a peer now, and whether anything is due.
func (s *Service) nextExchange(other *peer, tickDue bool) (ExchangeRequest, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := ExchangeRequest{From: s.options.Address}
	if !other.silent() && other.contacted {
		req.Batches = s.missingBatches(other, tickDue)
	}
	// A first failure is followed up at once: either the peer is silent, or it is not.
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

// answeringControllers returns this controller and the peers that answer it. A controller that
// reaches any of them gets to know all: the membership takes longer where many start at
// once, or where a zone was cut off. The caller holds mu.
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

// learnPeers adds peers that call, or that another controller told. The caller holds mu.
func (s *Service) learnPeers(addresses []ids.Address) {
	for _, address := range addresses {
		member, known := s.options.Membership.Find(address)
		if address == s.options.Address || (known && member.State == membership.Left) {
			continue
		}
		s.addPeer(s.runContext, address, s.options.Clock.Now())
	}
}

// missingBatches returns records that a peer lacks, those of the own origin first. Those of
// others are sent at ticks, if they were held at the last tick already and the peer has
// not got them otherwise. The caller holds mu.
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

// originOrder returns the origins, the own first and the others in an order that differs
// from controller to controller: several that bring one up to date begin with different
// records. The caller holds mu.
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

// exchange sends a request to a peer and records the answer, or that there was none.
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

// serveExchange stores what another controller brings, and answers with what this disk
// holds then. A controller that leaves stores nothing any more: its disk may go with it.
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

// recordCaller records what a caller holds. It may be one that the membership does not know
// yet, such as a controller that is new; one that leaves is no peer. The caller holds mu.
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

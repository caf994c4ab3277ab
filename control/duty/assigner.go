package duty

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// UpdateFunc returns the next value of a register key, which is stored on a majority.
type UpdateFunc = register.UpdateFunc

// AssignerOptions configure an Assigner. All are required but Log.
type AssignerOptions struct {
	Clock   clock.Clock
	Wall    func() time.Time
	Address ids.Address
	// Parts lists all parts of the deployment.
	Parts []Part
	// TTL is the time to live of sessions. HandOverDelay is how long a new holder waits after
	// its predecessor could last have made a call.
	TTL           time.Duration
	HandOverDelay time.Duration
	// AssignerLease returns the epoch of the assigner's lease and whether this controller
	// holds it.
	AssignerLease func(now clock.Instant) (epoch int64, held bool)
	// Update replaces the value of a register key on a majority and returns the stored value.
	Update func(ctx context.Context, key string, update UpdateFunc) ([]byte, error)
	// Publish gossips the overview.
	Publish func(item gossip.Item)
	// NewSerial returns the version of a gossiped item. Versions must be ordered by epoch, then
	// by counter.
	NewSerial func(epoch int64, counter int64) ids.Version
	Log       *log.Logger
}

// Assigner assigns the parts to controllers while its own controller holds the lease. It is
// safe for concurrent use.
type Assigner struct {
	options AssignerOptions

	mu sync.Mutex
	// epoch is the epoch of the lease under which the fields below were loaded. ready reports
	// that they reflect the stored assignment; it is reset when a write has an unknown
	// outcome.
	epoch          int64
	epochStartedAt clock.Instant
	ready          bool
	// counter numbers the overviews that were published under epoch.
	counter   int64
	sessions  map[ids.Address]*assignerSession
	parts     map[Part]*partState
	published []byte
}

// assignerSession is a controller's session as the assigner knows it.
type assignerSession struct {
	process      process
	zone         ids.Zone
	expiry       clock.Instant
	eligible     bool
	platformDown bool
}

// partState is a part as the assigner knows it.
type partState struct {
	record PartRecord
	// busyUntil is the time until which the recorded holder may make calls.
	busyUntil clock.Instant
	// notBefore is the time from which a new holder may make calls.
	notBefore clock.Instant
	// revoking means that the part is no longer granted to its holder. avoid is not chosen as
	// the next holder if there is another candidate.
	revoking bool
	avoid    ids.Address
	movedAt  clock.Instant
	moves    int64
	since    time.Time
	lastCall LastCall
}

// NewAssigner returns an Assigner without sessions. It loads the stored assignment in its
// first Step under the lease.
func NewAssigner(options AssignerOptions) *Assigner { return &Assigner{options: options} }

// Run assigns parts until ctx is canceled.
func (a *Assigner) Run(ctx context.Context) {
	for clock.Wait(ctx, a.options.Clock, a.options.TTL/heartbeatsPerTTL) {
		a.Step(ctx)
	}
}

// Step loads the stored assignment if the epoch is new or the last write had an unknown
// outcome. Otherwise it assigns the parts that need a new holder and publishes the overview.
// It does nothing without the lease.
func (a *Assigner) Step(ctx context.Context) {
	now := a.options.Clock.Now()
	epoch, held := a.options.AssignerLease(now)
	if !held {
		return
	}
	if !a.isReady(epoch) {
		a.loadAssignment(ctx, epoch)
		return
	}
	if changes := a.planMoves(now); len(changes) > 0 {
		a.storeChanges(ctx, epoch, changes)
	}
	a.publish(epoch)
}

func (a *Assigner) isReady(epoch int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ready && a.epoch == epoch
}

// loadAssignment claims the stored assignment for this assigner under an epoch and loads it.
// The holders may have sessions that this assigner does not know, so each part counts as in
// use for one TTL.
func (a *Assigner) loadAssignment(ctx context.Context, epoch int64) {
	started := a.options.Clock.Now()
	former := ids.Address("")
	value, err := a.options.Update(ctx, AssignmentKey, func(current []byte) ([]byte, error) {
		assignment, err := transport.UnmarshalStored[Assignment](AssignmentKey, current)
		if err != nil {
			return nil, err
		}
		if assignment.Epoch > epoch {
			return nil, errSuperseded
		}
		former = assignment.Assigner
		assignment.Assigner, assignment.Epoch = a.options.Address, epoch
		return transport.Marshal(assignment)
	})
	if err != nil {
		return
	}
	assignment, err := transport.UnmarshalStored[Assignment](AssignmentKey, value)
	if err != nil || assignment.Epoch != epoch || assignment.Assigner != a.options.Address {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch != epoch {
		a.counter = 0
	}
	a.epoch, a.epochStartedAt, a.ready, a.published = epoch, started, true, nil
	a.sessions, a.parts = map[ids.Address]*assignerSession{}, map[Part]*partState{}
	for _, part := range a.options.Parts {
		a.parts[part] = &partState{record: PartRecord{Part: part}}
	}
	for _, record := range assignment.Parts {
		state := a.parts[record.Part]
		if state == nil {
			// A part that this build does not know keeps its fence.
			state = &partState{}
			a.parts[record.Part] = state
		}
		state.record = record
		// If the recorded holder has not been notified yet, its predecessor may just have made
		// a call.
		state.notBefore = started.Add(a.options.HandOverDelay)
		state.busyUntil = started.Add(a.options.TTL)
		if record.Holder == former && former != a.options.Address {
			// The former assigner granted the part to itself, so its session ended with the
			// lease, which this controller now holds.
			state.busyUntil = started
		}
	}
}

// errSuperseded aborts an update if another assigner or epoch has claimed the assignment.
var errSuperseded = errors.New("duty: assignment is claimed by another assigner or epoch")

// Renew handles a heartbeat: it renews the session of the sender and returns its grants.
func (a *Assigner) Renew(req SessionRequest, now clock.Instant) SessionResponse {
	epoch, held := a.options.AssignerLease(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || !a.ready || a.epoch != epoch {
		return SessionResponse{}
	}
	from := process{address: req.From, incarnation: req.Incarnation}
	a.sessions[req.From] = &assignerSession{
		process: from, zone: req.Zone, expiry: now.Add(a.options.TTL), eligible: req.Eligible, platformDown: req.PlatformDown,
	}
	a.release(from, req, now)
	for _, call := range req.LastCalls {
		if state := a.parts[call.Part]; state != nil && state.record.heldBy(from) {
			state.lastCall = call
		}
	}
	resp := SessionResponse{Assigning: true, Assigner: a.options.Address, Epoch: epoch}
	for part, state := range a.parts {
		if !state.record.heldBy(from) || state.revoking {
			continue
		}
		state.busyUntil = now.Add(a.options.TTL)
		wait := max(0, state.notBefore.Since(now))
		resp.Grants = append(resp.Grants, Grant{Part: part, Fence: state.record.Fence, WaitMS: int64((wait + time.Millisecond - 1) / time.Millisecond)})
	}
	resp.ProbePlatform = a.anyPlatformDown()
	return resp
}

// release revokes the parts that a process has rejected, or all of its parts if it is not
// eligible. A revoked part is free at once if the process no longer lists it as active. The
// caller holds a.mu.
func (a *Assigner) release(from process, req SessionRequest, now clock.Instant) {
	for part, state := range a.parts {
		if !state.record.heldBy(from) {
			continue
		}
		current := func(grant Grant) bool { return grant.Part == part && grant.Fence == state.record.Fence }
		state.revoking = state.revoking || !req.Eligible || slices.ContainsFunc(req.Rejected, current)
		if state.revoking && !slices.ContainsFunc(req.Active, current) {
			state.busyUntil = min(state.busyUntil, now)
		}
	}
}

// HandOver starts to move a part to another controller if there is one: the part is revoked, and
// is assigned again once its holder has released it or its session has expired.
func (a *Assigner) HandOver(req HandOverRequest, now clock.Instant) HandOverResponse {
	epoch, held := a.options.AssignerLease(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !held || !a.ready || a.epoch != epoch {
		return HandOverResponse{}
	}
	state := a.parts[req.Part]
	if state == nil {
		return HandOverResponse{Assigning: true}
	}
	state.revoking, state.avoid = true, state.record.Holder
	return HandOverResponse{Assigning: true, Known: true}
}

// anyPlatformDown reports whether any controller has reported that the platform does not
// answer. The caller holds a.mu.
func (a *Assigner) anyPlatformDown() bool {
	for _, session := range a.sessions {
		if session.platformDown {
			return true
		}
	}
	return false
}

// storeChanges stores changed records on a majority, and applies them once they are stored.
func (a *Assigner) storeChanges(ctx context.Context, epoch int64, changes []PartRecord) {
	value, err := a.options.Update(ctx, AssignmentKey, func(current []byte) ([]byte, error) {
		assignment, err := transport.UnmarshalStored[Assignment](AssignmentKey, current)
		if err != nil {
			return nil, err
		}
		if assignment.Epoch != epoch || assignment.Assigner != a.options.Address {
			return nil, errSuperseded
		}
		for _, change := range changes {
			assignment.set(change)
		}
		return transport.Marshal(assignment)
	})
	now := a.options.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch != epoch {
		return
	}
	stored, decodeErr := transport.UnmarshalStored[Assignment](AssignmentKey, value)
	if err != nil || decodeErr != nil || stored.Epoch != epoch || stored.Assigner != a.options.Address {
		// The change may or may not have been stored: the next Step loads the assignment
		// again.
		a.ready = false
		return
	}
	for _, record := range stored.Parts {
		if state := a.parts[record.Part]; state != nil && state.record != record {
			a.applyRecord(state, record, now)
		}
	}
}

// applyRecord applies a stored change of a part's record to its state. The caller holds a.mu.
func (a *Assigner) applyRecord(state *partState, record PartRecord, now clock.Instant) {
	if state.record.Fence > 0 {
		state.notBefore = max(state.notBefore, state.busyUntil.Add(a.options.HandOverDelay))
	}
	if a.options.Log != nil {
		a.options.Log.Info().Str("part", "duty").Str("duty_part", string(record.Part)).Str("from", string(state.record.Holder)).
			Str("to", string(record.Holder)).Int64("fence", record.Fence).Msg("part assigned")
	}
	state.record, state.revoking, state.avoid, state.movedAt, state.busyUntil = record, false, "", now, now
	state.since, state.lastCall = a.options.Wall(), LastCall{}
	state.moves++
}

// set replaces or adds the record of a part. The fence of a replaced record always increases.
func (a *Assignment) set(record PartRecord) {
	for index := range a.Parts {
		if a.Parts[index].Part == record.Part {
			record.Fence = max(record.Fence, a.Parts[index].Fence+1)
			a.Parts[index] = record
			return
		}
	}
	a.Parts = append(a.Parts, record)
}

// publish gossips the overview if it has changed since it was last published.
func (a *Assigner) publish(epoch int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.epoch != epoch {
		return
	}
	overview := Overview{Assigner: a.options.Address}
	for _, part := range a.sortedParts() {
		state := a.parts[part]
		overview.Parts = append(overview.Parts, PartOverview{
			Part: part, Holder: state.record.Holder, Fence: state.record.Fence, Moves: state.moves, SinceUnixMS: state.since.UnixMilli(),
		})
	}
	body, err := transport.Marshal(overview)
	if err != nil || slices.Equal(body, a.published) {
		return
	}
	a.published = body
	a.counter++
	a.options.Publish(gossip.Item{Key: OverviewKey, Version: a.options.NewSerial(epoch, a.counter), Body: body})
}

func (a *Assigner) sortedParts() []Part {
	var parts []Part
	for part := range a.parts {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// LastCalls returns the last call of each part, as reported by its holder. It is empty if this
// controller has never been the assigner, and may be outdated if it no longer is.
func (a *Assigner) LastCalls() map[Part]LastCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	calls := map[Part]LastCall{}
	for part, state := range a.parts {
		calls[part] = state.lastCall
	}
	return calls
}

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

// UpdateFunc returns the next value of a key that is stored on a majority.
type UpdateFunc = register.UpdateFunc

// AssignerOptions configure an Assigner. All are required but Log.
type AssignerOptions struct {
	Clock   clock.Clock
	Wall    func() time.Time
	Address ids.Address
	// Parts are all parts of the deployment.
	Parts []Part
	// TTL is that of sessions; HandOver is for how long after its predecessor could have
	// made a call a new holder makes none.
	TTL           time.Duration
	HandOverDelay time.Duration
	// AssignerLease reports whether this controller holds the assigner's lease, and its epoch.
	AssignerLease func(now clock.Instant) (epoch int64, held bool)
	// Update stores the assignment.
	Update func(ctx context.Context, key string, update UpdateFunc) ([]byte, error)
	// Publish gossips the overview.
	Publish func(item gossip.Item)
	// NewVersion orders gossiped items by epoch, then by counter.
	NewVersion func(epoch int64, counter int64) ids.Version
	Log        *log.Logger
}

// Assigner deals the parts while its controller holds the lease. It is safe for
// concurrent use.
type Assigner struct {
	options AssignerOptions

	mu sync.Mutex
	// epoch is the one under which the rest was begun; ready says that the stored
	// assignment was read under it.
	epoch          int64
	epochStartedAt clock.Instant
	ready          bool
	// counter orders the overviews that were published under epoch.
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
	// busyUntil is until when the recorded holder may make calls.
	busyUntil clock.Instant
	// notBefore is from when on a new holder may make calls.
	notBefore clock.Instant
	// revoking holders are told of the part no more; avoid is not chosen as the next one
	// if there is another.
	revoking bool
	avoid    ids.Address
	movedAt  clock.Instant
	moves    int64
	since    time.Time
	lastCall LastCall
}

// NewAssigner returns an Assigner that knows nothing.
func NewAssigner(options AssignerOptions) *Assigner { return &Assigner{options: options} }

// Run assigns parts until ctx ends.
func (a *Assigner) Run(ctx context.Context) {
	for clock.Wait(ctx, a.options.Clock, a.options.TTL/heartbeatsPerTTL) {
		a.Step(ctx)
	}
}

// Step reads the stored assignment under a new epoch, or gives parts whose holder is
// gone to others. It does nothing without the lease.
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

// loadAssignment takes the stored assignment over under a new epoch. Its holders may have
// sessions of which this assigner knows nothing.
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
		// Of a holder that was not told yet, the former one may just have acted.
		state.notBefore = started.Add(a.options.HandOverDelay)
		state.busyUntil = started.Add(a.options.TTL)
		if record.Holder == former && former != a.options.Address {
			// It had its session from itself, and so no longer than the lease, which has
			// passed to this controller.
			state.busyUntil = started
		}
	}
}

// errSuperseded ends an update of an assigner whose lease has passed to another.
var errSuperseded = errors.New("duty: another assigner has taken over")

// Renew answers a heartbeat.
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
	for _, act := range req.LastCalls {
		if state := a.parts[act.Part]; state != nil && state.record.heldBy(from) {
			state.lastCall = act
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

// release frees the parts that a process gives up: at once where it makes no call for
// them any more. The caller holds a.mu.
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

// HandOver has a part be given to another controller, if there is one: its holder gives it
// up in order first.
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

// anyPlatformDown reports whether some holder says that the platform does not answer it. The
// caller holds a.mu.
func (a *Assigner) anyPlatformDown() bool {
	for _, session := range a.sessions {
		if session.platformDown {
			return true
		}
	}
	return false
}

// storeChanges writes changed records on a majority, and takes them over once they are there.
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
		// What is stored may be either: it is read again.
		a.ready = false
		return
	}
	for _, record := range stored.Parts {
		if state := a.parts[record.Part]; state != nil && state.record != record {
			a.applyRecord(state, record, now)
		}
	}
}

// applyRecord has a part's state follow a stored change. The caller holds a.mu.
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

// set replaces a part's record.
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

// publish gossips the overview if it changed.
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
	a.options.Publish(gossip.Item{Key: OverviewKey, Version: a.options.NewVersion(epoch, a.counter), Body: body})
}

func (a *Assigner) sortedParts() []Part {
	var parts []Part
	for part := range a.parts {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// LastCalls returns the last calls of all parts, as their holders told. It is empty where
// this controller does not assign.
func (a *Assigner) LastCalls() map[Part]LastCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	acts := map[Part]LastCall{}
	for part, state := range a.parts {
		acts[part] = state.lastCall
	}
	return acts
}

package rollout

import (
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// DirectorOptions configure a Director. All are required except Log and UnixMS.
type DirectorOptions struct {
	Clock   clock.Clock
	Address ids.Address
	Policy  Policy
	// Zones holds all zones of the deployment with their regions.
	Zones map[ids.Zone]ids.Region
	// Held reports whether this controller holds the lease at a given instant, and the lease's
	// epoch.
	Held func(now clock.Instant) (epoch int64, held bool)
	// Updates holds the records; the director announces its address there.
	Updates *gossip.Store
	// Runners returns the runners of a service that may get requests, from the newest list.
	Runners func(service ids.Service) []Runner
	// HasRouters reports whether a zone may have routers.
	HasRouters func(zone ids.Zone) bool
	// Update stores a record.
	Update func(ctx context.Context, key string, update func(current []byte) ([]byte, error)) ([]byte, error)
	// UnixMS returns the cluster's agreed time, 0 if it is unknown; nil means always unknown.
	UnixMS func() int64
	Log    *log.Logger
}

// Director takes rollouts through their stages while this controller holds the lease. It is
// safe for concurrent use, but Step must be called by one goroutine only.
type Director struct {
	options   DirectorOptions
	announced int64

	mu       sync.Mutex
	rollouts map[ids.Service]*trackedRollout
	// stable holds the newest stored stable version of each service.
	stable map[ids.Service]StableRecord
}

// trackedRollout is a rollout as this controller sees it.
type trackedRollout struct {
	service ids.Service
	record  Record
	// versions are the roles of the service's versions at the last call of updateVersions.
	versions Versions
	// orderedAt is when the order was given, or was first seen here if that is unknown.
	orderedAt clock.Instant
	// epoch is the lease's epoch under which this director entered the stage, 0 if it has
	// not; enteredAt is when the stage began. Permits are granted only under this epoch and
	// unless the version was found bad, which rejectionReason then says.
	epoch           int64
	enteredAt       clock.Instant
	plan            stagePlan
	rejectionReason string
	analysis        *analysis
	zones           map[ids.Zone]map[ids.Address]relayState
	allocation      allocation
	allocatedAt     clock.Instant
	// allocatedExposure is the exposure allocated until accountedAt, as a time of the whole
	// traffic.
	allocatedExposure time.Duration
	accountedAt       clock.Instant
	// inheritedExposure is the exposure caused under former directors (see Evidence).
	inheritedExposure time.Duration
	loadTest          loadTestState
	// savedAt is when the evidence was last stored.
	savedAt clock.Instant
	// note says that the term is too short, if it is.
	note string
}

// relayState is the last report of a relay.
type relayState struct {
	unconfirmed int64
	at          clock.Instant
}

// NewDirector returns a Director that knows no rollouts yet.
func NewDirector(options DirectorOptions) *Director {
	return &Director{options: options, rollouts: map[ids.Service]*trackedRollout{}, stable: map[ids.Service]StableRecord{}}
}

// Run calls Step periodically until ctx ends.
func (d *Director) Run(ctx context.Context) {
	for clock.Wait(ctx, d.options.Clock, d.options.Policy.ExchangeInterval/2) {
		d.Step(ctx)
	}
}

// Step advances each rollout by one step, if this controller holds the lease.
func (d *Director) Step(ctx context.Context) {
	now := d.options.Clock.Now()
	d.observe(now)
	epoch, held := d.options.Held(now)
	if !held {
		return
	}
	d.announce(epoch)
	d.storeStable(ctx)
	for _, step := range d.transitions(epoch, now) {
		d.store(ctx, step)
	}
	for _, save := range d.updateAllocations(epoch, d.options.Clock.Now()) {
		d.save(ctx, save)
	}
}

// announce publishes the director's address to the relays.
func (d *Director) announce(epoch int64) {
	if epoch == d.announced {
		return
	}
	if body, err := transport.Marshal(DirectorItem{Address: d.options.Address}); err == nil {
		d.options.Updates.Put(gossip.Item{Key: DirectorKey, Version: discovery.FencedSerial(epoch, 1), Body: body})
		d.announced = epoch
	}
}

// observe reads the records. It does so even if this controller does not hold the lease: the
// term of an order whose time is unknown counts from when the order is first seen.
func (d *Director) observe(now clock.Instant) {
	items, stableItems := d.options.Updates.WithPrefix(KeyPrefix), d.options.Updates.WithPrefix(StableKeyPrefix)
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, item := range stableItems {
		service, ok := ServiceOfStableKey(item.Key)
		if !ok || d.stable[service].Version >= item.Version {
			continue
		}
		if stored, err := DecodeStable(service, item.Body); err == nil {
			d.adoptStable(service, stored)
		}
	}
	for _, item := range items {
		service, ok := ServiceOfKey(item.Key)
		if known := d.rollouts[service]; !ok || (known != nil && known.record.Version >= item.Version) {
			continue
		}
		if record, err := Decode(service, item.Body); err == nil {
			d.adoptRecord(service, record, now)
		}
	}
}

// adoptRecord replaces a rollout's record by a newer one. The caller holds d.mu.
func (d *Director) adoptRecord(service ids.Service, record Record, now clock.Instant) {
	current := d.rollouts[service]
	if current == nil || current.record.Order != record.Order {
		var versions Versions
		if current != nil {
			d.updateVersions(current, d.options.Runners(service))
			versions = current.versions
		}
		current = &trackedRollout{
			service: service, versions: versions, orderedAt: now.Add(-d.orderAge(record)), analysis: newAnalysis(), zones: map[ids.Zone]map[ids.Address]relayState{},
		}
		d.rollouts[service] = current
	}
	current.record = record
}

// orderAge returns how long ago an order was given, at most its term; 0 if the agreed time now
// or at the order is unknown.
func (d *Director) orderAge(record Record) time.Duration {
	if d.options.UnixMS == nil || record.OrderedUnixMS == 0 {
		return 0
	}
	unixMS := d.options.UnixMS()
	if unixMS == 0 {
		return 0
	}
	return time.Duration(min(max(unixMS-record.OrderedUnixMS, 0), record.TermMS)) * time.Millisecond
}

// transitions returns the steps that are due.
func (d *Director) transitions(epoch int64, now clock.Instant) []Transition {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []Transition
	for _, service := range slices.Sorted(maps.Keys(d.rollouts)) {
		tracked := d.rollouts[service]
		if !tracked.record.InProgress() {
			continue
		}
		if step, ok := d.next(tracked, epoch, now); ok {
			step.Service, step.Order, step.Epoch = service, tracked.record.Order, epoch
			due = append(due, step)
		}
	}
	return due
}

// store stores a step and adopts the resulting record at once. A step that can't be stored
// is due again. Reducing the target version's traffic does not wait for the store, because
// permits expire.
func (d *Director) store(ctx context.Context, step Transition) {
	known, err := d.recover(ctx, step)
	if err != nil {
		d.logUnstored(step, err)
		return
	}
	value, err := d.options.Update(ctx, Key(step.Service), step.Apply())
	if err != nil {
		d.logUnstored(step, err)
		return
	}
	now := d.options.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	tracked := d.rollouts[step.Service]
	record, err := Decode(step.Service, value)
	if err != nil || tracked.record.Order != record.Order || tracked.record.Version > record.Version {
		return
	}
	isResumed := tracked.isResumedBy(step)
	tracked.record = record
	if record.Epoch == step.Epoch && Stage(record.Stage) == step.Stage && step.To == InProgress {
		tracked.enter(step.Epoch, d.planStage(tracked, step.Stage), now)
		if isResumed {
			tracked.resume(known, now)
		}
		d.updateAllocation(tracked, now)
		// No permit is granted before the stored evidence includes the exposure it allows.
		tracked.savedAt = 0
	}
	d.log(tracked, step.Reason)
}

func (d *Director) logUnstored(step Transition, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log(d.rollouts[step.Service], "step not stored: "+err.Error())
}

// log logs a rollout's record and routes with a reason.
func (d *Director) log(tracked *trackedRollout, reason string) {
	if d.options.Log == nil {
		return
	}
	d.options.Log.Info().Str("part", "rollout").Str("service", string(tracked.service)).Str("target", tracked.record.Target).
		Int64("order", tracked.record.Order).Str("condition", Condition(tracked.record.Condition).String()).
		Str("stage", Stage(tracked.record.Stage).String()).Int64("reserved_ms", tracked.record.ReservedMS).Str("reason", reason).
		Any("routes", tracked.analysis.canary.Routes()).Msg("rollout")
}

// enter begins a stage; permits may be granted for it from now on.
func (t *trackedRollout) enter(epoch int64, plan stagePlan, now clock.Instant) {
	t.epoch, t.enteredAt, t.plan = epoch, now, plan
	t.analysis.beginStage(t.stage())
}

// Exchange adds a relay's report to the evidence and grants permits.
func (d *Director) Exchange(req ExchangeRequest, now clock.Instant) ExchangeResponse {
	epoch, held := d.options.Held(now)
	if !held {
		return ExchangeResponse{}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, report := range req.Services {
		tracked := d.rollouts[report.Service]
		if tracked == nil || tracked.record.Order != report.Order {
			continue
		}
		if tracked.zones[req.Zone] == nil {
			tracked.zones[req.Zone] = map[ids.Address]relayState{}
		}
		tracked.zones[req.Zone][req.From] = relayState{unconfirmed: report.Unconfirmed, at: now}
		tracked.analysis.add(report.Routes, now)
		tracked.checkVerdict()
	}
	return ExchangeResponse{Directing: true, Permits: d.permits(epoch, now)}
}

// checkVerdict stops the permits of a version that is found bad.
func (t *trackedRollout) checkVerdict() {
	if verdict := t.analysis.verdict(); verdict.Finding == Bad && t.rejectionReason == "" {
		t.rejectionReason = verdict.Reason
	}
}

// permits returns the permits that may be granted under an epoch. The caller holds d.mu.
func (d *Director) permits(epoch int64, now clock.Instant) []Permit {
	var permits []Permit
	for _, service := range slices.Sorted(maps.Keys(d.rollouts)) {
		tracked := d.rollouts[service]
		if !tracked.record.InProgress() || tracked.epoch != epoch || tracked.rejectionReason != "" || tracked.stage() == Waiting {
			continue
		}
		if tracked.stage() != Full && now.Since(tracked.savedAt) > maxSaveAge {
			continue
		}
		permits = append(permits, tracked.permits(d.options.Policy.PermitTTL)...)
	}
	return permits
}

// permits returns the permits for the current allocation. The permit for the load test comes
// first, because routers of earlier builds keep only the last permit.
func (t *trackedRollout) permits(ttl time.Duration) []Permit {
	stage := Permit{Service: t.service, Order: t.record.Order, Stage: t.record.Stage, TTLMS: ttl.Milliseconds()}
	loadTest := stage
	stage.RunnersMilli, stage.LoadMilli = thousandths(t.allocation.runnerFraction), thousandths(t.allocation.loadFactor)
	if t.allocation.loadTestLocal <= 0 {
		return []Permit{stage}
	}
	loadTest.Stage = int64(LoadTest)
	loadTest.LoadMilli, loadTest.RunnersMilli = thousandths(t.allocation.loadTestLocal), thousandths(t.allocation.loadTestRemote)
	return []Permit{loadTest, stage}
}

func thousandths(value float64) int64 { return int64(math.Round(value * milli)) }

// milli is the number of thousandths in one.
const milli = 1000

func (t *trackedRollout) stage() Stage { return Stage(t.record.Stage) }

// isPastTerm reports whether the term is over. Exposure is not limited from then on.
func (t *trackedRollout) isPastTerm(now clock.Instant) bool { return now.Since(t.orderedAt) > t.term() }

func (t *trackedRollout) term() time.Duration {
	return time.Duration(t.record.TermMS) * time.Millisecond
}

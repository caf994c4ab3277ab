package counter

import (
	"context"
	"errors"
	"hash/fnv"
	"math/big"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/settings"
	"onyxwell/base/telemetry"
	"onyxwell/control/membership"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// logPart is the part that log lines name.
const logPart = "counter"

// Options are what a Service stands on. All are required, but for Metrics.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
	// Address is where other controllers reach this one.
	Address    ids.Address
	Disk       wal.FS
	Membership *membership.Table
	// Seeds are controllers to ask first: a controller that is new learns the others from
	// them before the membership does.
	Seeds     []ids.Address
	Transport *transport.Client
	// RequiredCopies is how many disks must hold an add, where so many can be reached.
	RequiredCopies int
	Timing         Timing
	Metrics        *telemetry.Metrics
}

// Service is a controller's replica of all counters. It is safe for concurrent use.
type Service struct {
	options  Options
	capacity int
	journal  *journal

	mu    sync.Mutex
	state *State
	peers map[ids.Address]*peer
	// order caches originOrder.
	order   []int64
	waiters []*copyWaiter
	// runContext is the context of Run, nil before it. startedAt is when Run began.
	runContext context.Context
	startedAt  clock.Instant
	// ready says that this controller has caught up since it started, leaving that it
	// hands over.
	ready          bool
	leaving        bool
	capacityWarned bool

	outcomes outcomeCounts
}

// outcomeCounts counts adds by how they were answered.
type outcomeCounts struct{ acknowledged, refused, undecided atomic.Int64 }

// Open opens the log of the counters and returns their Service. While the disk fails it
// tries again until ctx ends; a log that a newer build wrote, or with records that can't
// be read, is an error at once.
func Open(ctx context.Context, options Options) (*Service, error) {
	for {
		s, err := open(options)
		var unreadable *transport.StoredValueError
		if err == nil || errors.Is(err, wal.ErrUnsupportedVersion) || errors.As(err, &unreadable) {
			return s, err
		}
		options.Log.Warn().Str("part", logPart).Err(err).Msg("counter log failed to open")
		if !clock.Wait(ctx, options.Clock, options.Timing.Interval) {
			return nil, err
		}
	}
}

func open(options Options) (*Service, error) {
	s := &Service{options: options, state: NewState(), peers: map[ids.Address]*peer{}, capacity: Capacity(options.Settings)}
	var err error
	s.journal, err = openJournal(wal.Options{FS: options.Disk, MaxBytes: maxLogBytes(options.Settings)}, &s.mu, s.state, options.Clock, s.newOrigin)
	if err != nil {
		return nil, err
	}
	if corruption := s.journal.log.Corruption; corruption != nil {
		options.Log.Warn().Str("part", logPart).Str("file", corruption.File).Str("quarantined_as", corruption.QuarantinedAs).
			Str("reason", corruption.Reason).Msg("counter log corrupted, starting blank")
	}
	s.journal.onCommit = s.recordsCommitted
	s.addMetrics()
	return s, nil
}

// newOrigin draws an origin. The address keeps those apart of disks whose draws agree.
func (s *Service) newOrigin() int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.options.Address))
	origin := int64(hash.Sum64()>>1) ^ random.Int64N(1<<62)
	return max(origin, 1)
}

// Close closes the log.
func (s *Service) Close() { s.journal.log.Close() }

// RegisterHandlers registers what other controllers call.
func (s *Service) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, exchangeMessage, s.serveExchange)
}

// Run commits what is added and exchanges records with the other controllers until ctx
// ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.runContext, s.startedAt = ctx, s.options.Clock.Now()
	// After a restart by the supervisor the loops of before have ended.
	for address := range s.peers {
		s.dropPeer(address)
	}
	s.learnPeers(s.options.Seeds)
	s.mu.Unlock()
	go s.journal.run(ctx)
	s.runPeers(ctx)
}

// Total returns the sum of a counter as far as this controller knows it. It returns an
// errkind.NotReady error while the controller catches up.
func (s *Service) Total(counter string) (*big.Int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil, errCatchingUp
	}
	return s.state.Total(counter), nil
}

// errCatchingUp is answered before anything is done.
var errCatchingUp = errkind.Errorf(errkind.NotReady, "the counters catch up")

// Add adds an amount to a counter under an ID, unless the ID counts there already. It
// returns nil once that is safe. Errors of kind errkind.AddUndecided leave open whether
// the add counts; all others promise that nothing was done.
func (s *Service) Add(ctx context.Context, counter string, id string, amount int64) error {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, s.options.Timing.AddTimeout)
	defer cancel()
	err := s.add(ctx, counter, KeyOf(counter, id), amount)
	switch {
	case err == nil:
		s.outcomes.acknowledged.Add(1)
	case errkind.KindOf(err) == errkind.AddUndecided:
		s.outcomes.undecided.Add(1)
	default:
		s.outcomes.refused.Add(1)
	}
	return err
}

func (s *Service) add(ctx context.Context, counter string, key Key, amount int64) error {
	s.mu.Lock()
	if err := s.admissionError(key); err != nil {
		s.mu.Unlock()
		return err
	}
	committed := s.journal.enqueueAdd(key, counter, amount)
	s.mu.Unlock()
	// From here on the add may be found on a disk: nothing promises any more that it
	// does not count.
	select {
	case result := <-committed:
		if result.err != nil {
			return errkind.Errorf(errkind.AddUndecided, "the disk failed")
		}
		return s.awaitCopies(ctx, result)
	case <-ctx.Done():
		return errkind.Errorf(errkind.AddUndecided, "the disk is slow")
	}
}

// admissionError returns why an add can't be accepted; nil if it can. The caller holds mu.
func (s *Service) admissionError(key Key) error {
	if s.leaving {
		return errkind.Errorf(errkind.Draining, "")
	}
	if !s.ready {
		return errCatchingUp
	}
	busySince := s.journal.busySince
	if busySince != 0 && s.options.Clock.Now().Since(busySince) > s.options.Timing.StallAfter {
		return errkind.Errorf(errkind.NotReady, "the disk stalls")
	}
	if _, _, known := s.state.find(key); !known && s.state.Len() >= s.capacity*refusePercent/100 {
		return errkind.Errorf(errkind.CountersFull, "%d IDs are remembered", s.state.Len())
	}
	return nil
}

// awaitCopies waits until a record is on enough disks.
func (s *Service) awaitCopies(ctx context.Context, added committedAdd) error {
	s.mu.Lock()
	if s.hasEnoughCopies(added.origin, added.sequence) {
		s.mu.Unlock()
		return nil
	}
	waiter := &copyWaiter{origin: added.origin, sequence: added.sequence, done: make(chan struct{})}
	s.waiters = append(s.waiters, waiter)
	s.mu.Unlock()
	select {
	case <-waiter.done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = slices.DeleteFunc(s.waiters, func(other *copyWaiter) bool { return other == waiter })
	return errkind.Errorf(errkind.AddUndecided, "not on enough disks in time")
}

// hasEnoughCopies reports whether a record that this disk holds is on enough disks: on as many as
// required, or on all that can be reached. The caller holds mu.
func (s *Service) hasEnoughCopies(origin int64, sequence int64) bool {
	copies, possible := 1, 1
	for _, other := range s.peers {
		holds := other.held[origin] >= sequence
		if holds {
			copies++
		}
		if holds || !other.silent() {
			possible++
		}
	}
	return copies >= min(s.options.RequiredCopies, possible)
}

// recordsCommitted is called with mu held after the state has grown.
func (s *Service) recordsCommitted() {
	for _, other := range s.peers {
		other.notify()
	}
	if !s.capacityWarned && s.state.Len() >= s.capacity*warnPercent/100 {
		s.capacityWarned = true
		s.options.Log.Warn().Str("part", logPart).Int("records", s.state.Len()).Int("capacity", s.capacity).Msg("counters nearly full")
	}
	s.checkProgress()
}

// checkProgress draws the conclusions from what has changed: adds that are safe now, and
// whether this controller has caught up. The caller holds mu.
func (s *Service) checkProgress() {
	s.waiters = slices.DeleteFunc(s.waiters, func(waiter *copyWaiter) bool {
		safe := s.hasEnoughCopies(waiter.origin, waiter.sequence)
		if safe {
			close(waiter.done)
		}
		return safe
	})
	if !s.ready && s.runContext != nil && s.caughtUp() {
		s.ready = true
		s.options.Log.Info().Str("part", logPart).Int("records", s.state.Len()).
			Int64("after_ms", s.options.Clock.Now().Since(s.startedAt).Milliseconds()).Msg("counters caught up")
	}
}

// caughtUp reports whether this controller holds all that the others it reaches held when
// they answered first. Each of them answers or is silent soon; where none answers,
// others may be found until CatchUpTimeout. The caller holds mu.
func (s *Service) caughtUp() bool {
	contacted := 0
	held := vectorOf(s.state.Vector())
	for _, other := range s.peers {
		switch {
		case other.silent():
		case !other.contacted || !held.covers(other.firstHeld):
			return false
		default:
			contacted++
		}
	}
	return contacted > 0 || s.options.Clock.Now().Since(s.startedAt) >= s.options.Timing.CatchUpTimeout
}

// HandOver accepts no further adds, and waits until every controller that answers holds
// what this one does, at least one of them; it gives up after HandOverTimeout.
func (s *Service) HandOver(ctx context.Context) {
	ctx, cancel := s.options.Clock.WithTimeout(ctx, s.options.Timing.HandOverTimeout)
	defer cancel()
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	complete := s.handedOver()
	for !complete && clock.Wait(ctx, s.options.Clock, retryPause) {
		complete = s.handedOver()
	}
	s.options.Log.Info().Str("part", logPart).Bool("complete", complete).Msg("hand-over of counters ended")
}

func (s *Service) handedOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.journal.busySince != 0 || len(s.journal.adds) > 0 {
		return false
	}
	own, holders := vectorOf(s.state.Vector()), 0
	for _, other := range s.peers {
		if other.silent() {
			continue
		}
		if !other.held.covers(own) {
			other.notify()
			return false
		}
		holders++
	}
	return holders > 0 || len(own) == 0
}

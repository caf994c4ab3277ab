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

// logPart is the value of the key "part" in log lines.
const logPart = "counter"

// Options configure a Service. All are required except Seeds and Metrics.
type Options struct {
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
	// Address is where other controllers reach this one.
	Address    ids.Address
	Disk       wal.FS
	Membership *membership.Table
	// Seeds are the first peers. A new controller learns the other controllers from them
	// before the membership does.
	Seeds     []ids.Address
	Transport *transport.Client
	// RequiredCopies is how many disks must hold an add before it is acknowledged, if so
	// many can be reached.
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
	// order caches the result of originOrder.
	order   []int64
	waiters []*copyWaiter
	// runContext is the context of Run, nil until Run is called. startedAt is when Run
	// began.
	runContext context.Context
	startedAt  clock.Instant
	// ready is set once this controller has caught up after its start, leaving once it
	// hands over. capacityWarned is set once the warning about the capacity was logged.
	ready          bool
	leaving        bool
	capacityWarned bool

	outcomes outcomeCounts
}

// outcomeCounts counts adds by outcome.
type outcomeCounts struct{ acknowledged, refused, undecided atomic.Int64 }

// Open opens the log of the counters and returns a Service on it. It retries disk errors
// until ctx ends. A log of an unsupported version or with entries that can't be decoded is
// an error that is returned without a retry.
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

// newOrigin draws an origin. The hash of the address keeps origins distinct if two
// controllers draw the same number. It is at least 1 because 0 stands for no origin.
func (s *Service) newOrigin() int64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(s.options.Address))
	origin := int64(hash.Sum64()>>1) ^ random.Int64N(1<<62)
	return max(origin, 1)
}

// Close closes the log.
func (s *Service) Close() { s.journal.log.Close() }

// RegisterHandlers registers the handler of the exchanges of other controllers.
func (s *Service) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, exchangeMessage, s.serveExchange)
}

// Run commits adds and exchanges records with the other controllers until ctx ends.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	s.runContext, s.startedAt = ctx, s.options.Clock.Now()
	// The supervisor may restart Run; the loops of the previous run have ended by then.
	for address := range s.peers {
		s.dropPeer(address)
	}
	s.learnPeers(s.options.Seeds)
	s.mu.Unlock()
	go s.journal.run(ctx)
	s.runPeers(ctx)
}

// Total returns the sum of the adds to a counter that this controller holds. While the
// controller catches up, it returns an error of kind errkind.NotReady.
func (s *Service) Total(counter string) (*big.Int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil, errCatchingUp
	}
	return s.state.Total(counter), nil
}

// errCatchingUp refuses adds and reads until the controller has caught up.
var errCatchingUp = errkind.Errorf(errkind.NotReady, "the counters catch up")

// Add adds an amount to a counter under an ID, unless the ID counts there already. It
// returns nil once enough disks hold the record. After an error of kind
// errkind.AddUndecided the add may or may not count. All other errors guarantee that
// nothing was done.
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
	// From here on the add may reach a disk, so errors must leave open whether it counts.
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

// admissionError returns the reason to refuse an add, or nil. The caller holds mu.
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

// awaitCopies waits until enough disks hold a record. When ctx ends first, it returns an
// error of kind errkind.AddUndecided.
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

// hasEnoughCopies reports whether enough disks hold a record that this disk holds:
// RequiredCopies, or all that can be reached if those are fewer. The caller holds mu.
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

// recordsCommitted wakes the loops of all peers after a commit and warns once if the
// capacity is nearly used up. The caller holds mu.
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

// checkProgress releases the adds that enough disks hold by now, and sets ready once this
// controller has caught up. It is called after each change of the records or of what is
// known about peers, and at least once per Interval so that CatchUpTimeout takes effect.
// The caller holds mu.
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

// caughtUp reports whether this controller holds all records that the peers it reaches held
// at their first answer. It waits for each peer, which soon either answers or becomes
// silent. If no peer answers, it waits until CatchUpTimeout, since others may still be
// discovered. The caller holds mu.
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

// HandOver refuses further adds, and waits until all controllers that answer, and at least
// one, hold every record of this one. It gives up after HandOverTimeout.
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

// handedOver reports whether no add waits for a commit and all peers that are not silent,
// at least one, hold every record of this controller. Without records no peer is needed.
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

package counter

import (
	"context"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

const (
	// logName is the file of the write-ahead log. It is stored; it never changes.
	logName = "counters"
	// snapshotBatchRecords is how many records a batch of a compacted log has at most.
	snapshotBatchRecords = 4096
)

// pendingAdd is an add that waits for its commit.
type pendingAdd struct {
	key     Key
	counter string
	amount  int64
	done    chan committedAdd
}

// committedAdd says under which number a key counts, or why the commit failed: then it
// is not known whether the add will be found on the disk.
type committedAdd struct {
	origin   int64
	sequence int64
	err      error
}

// pendingBatches are records of other origins that wait for their commit.
type pendingBatches struct {
	batches []Batch
	done    chan error
}

// journal makes records durable before they count. All that waits while a commit is
// under way shares the next one, and so a sync. Sequence numbers are given in the order
// of the commits: after a crash no number is found without those before it.
type journal struct {
	clock clock.Clock
	log   *wal.Log
	// origin is that of the disk, newOrigin draws another.
	origin    int64
	newOrigin func() int64
	// mu guards state, which belongs to the service.
	mu    *sync.Mutex
	state *State
	// onCommit is called with mu held after the state has grown.
	onCommit func()

	// The fields below are guarded by mu. busySince is when the commit that is under
	// way began, 0 if none is; failures counts those that failed.
	adds      []pendingAdd
	batches   []pendingBatches
	busySince clock.Instant
	failures  int64
	wake      chan struct{}
	// committing is held through a commit: the next one numbers on from it.
	committing sync.Mutex
	// staged are the batches of the commit that is under way: a compaction covers them.
	staged []Batch
	// originStale says that others hold more of the disk's origin than the disk does.
	originStale bool
}

// openJournal opens the log of a disk, fills the state from it, and gives a disk
// without an origin the one that newOrigin returns.
func openJournal(options wal.Options, mu *sync.Mutex, state *State, source clock.Clock, newOrigin func() int64) (*journal, error) {
	j := &journal{clock: source, newOrigin: newOrigin, mu: mu, state: state, wake: make(chan struct{}, 1)}
	options.Name, options.Snapshot = logName, j.snapshot
	log, records, err := wal.Open(options)
	if err != nil {
		return nil, err
	}
	j.log = log
	for _, body := range records {
		stored, err := transport.Unmarshal[storedRecord](body)
		if err != nil {
			log.Close()
			return nil, transport.NewStoredValueError(logName, err)
		}
		j.origin = stored.Origin
		for _, batch := range stored.Batches {
			if err := batch.validate(); err != nil {
				log.Close()
				return nil, transport.NewStoredValueError(logName, err)
			}
			state.Apply(batch)
		}
	}
	if j.origin == 0 {
		j.origin = newOrigin()
		if err := j.save(nil); err != nil {
			log.Close()
			return nil, err
		}
	}
	return j, nil
}

// enqueueAdd has an add take part in the next commit. The caller holds mu.
func (j *journal) enqueueAdd(key Key, counter string, amount int64) <-chan committedAdd {
	pending := pendingAdd{key: key, counter: counter, amount: amount, done: make(chan committedAdd, 1)}
	j.adds = append(j.adds, pending)
	j.notify()
	return pending.done
}

// enqueueBatches has records of other origins take part in the next commit. The caller
// holds mu.
func (j *journal) enqueueBatches(batches []Batch) <-chan error {
	pending := pendingBatches{batches: batches, done: make(chan error, 1)}
	j.batches = append(j.batches, pending)
	j.notify()
	return pending.done
}

// checkOrigin has the disk take another origin where somebody holds more of its own than
// it does: it was brought back to an older state, and must not give the same sequence
// numbers twice. The caller holds mu.
func (j *journal) checkOrigin(held vector) {
	if held[j.origin] > j.state.held(j.origin) {
		j.originStale = true
	}
}

func (j *journal) notify() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// run commits what waits until ctx ends.
func (j *journal) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-j.wake:
			j.commit()
		}
	}
}

// commit makes all that waits durable in one write, and adds it to the state.
func (j *journal) commit() {
	j.committing.Lock()
	defer j.committing.Unlock()
	j.mu.Lock()
	adds, received := j.adds, j.batches
	j.adds, j.batches = nil, nil
	if j.originStale {
		j.origin, j.originStale = j.newOrigin(), false
	}
	staging := newStaging(j.state, j.origin)
	for _, pending := range received {
		staging.addBatches(pending.batches)
	}
	results := make([]committedAdd, len(adds))
	for index, pending := range adds {
		results[index] = staging.addOwn(pending)
	}
	j.staged, j.busySince = staging.finish(), j.clock.Now()
	staged := j.staged
	j.mu.Unlock()

	var err error
	if len(staged) > 0 {
		err = j.save(staged)
	}

	j.mu.Lock()
	j.staged, j.busySince = nil, 0
	if err == nil {
		for _, batch := range staged {
			j.state.Apply(batch)
		}
		if len(staged) > 0 {
			j.onCommit()
		}
	} else {
		j.failures++
	}
	j.mu.Unlock()
	for index, pending := range adds {
		results[index].err = err
		pending.done <- results[index]
	}
	for _, pending := range received {
		pending.done <- err
	}
}

// save appends a record to the log and syncs it.
func (j *journal) save(batches []Batch) error {
	body, err := transport.Marshal(storedRecord{Origin: j.origin, Batches: batches})
	if err != nil {
		return err
	}
	return j.log.Save(body)
}

// snapshot returns the records that a compacted log has: all of the state, and what is
// being committed.
func (j *journal) snapshot() [][]byte {
	j.mu.Lock()
	defer j.mu.Unlock()
	records := [][]byte{j.marshalStored(nil)}
	for _, origin := range j.state.origins {
		for skip := int64(0); skip < int64(len(origin.records)); skip += snapshotBatchRecords {
			records = append(records, j.marshalStored([]Batch{j.state.Batch(origin.origin, skip, snapshotBatchRecords)}))
		}
	}
	if len(j.staged) > 0 {
		records = append(records, j.marshalStored(j.staged))
	}
	return records
}

func (j *journal) marshalStored(batches []Batch) []byte {
	body, err := transport.Marshal(storedRecord{Origin: j.origin, Batches: batches})
	if err != nil {
		// The type has a schema: this can't fail.
		panic(err)
	}
	return body
}

// staging collects what a commit adds to a state, each record once.
type staging struct {
	state  *State
	origin int64
	// recordCounts are how many records of an origin there will be, own where a key of the own
	// origin will be found.
	recordCounts map[int64]int64
	ownSequences map[Key]int64
	// batches are of other origins; builder collects the own.
	batches []Batch
	builder batchBuilder
}

func newStaging(state *State, origin int64) *staging {
	return &staging{
		state: state, origin: origin, recordCounts: map[int64]int64{}, ownSequences: map[Key]int64{},
		builder: batchBuilder{batch: Batch{Origin: origin, First: state.held(origin) + 1}},
	}
}

// addBatches adds the records of other origins that are new and follow on what is held.
func (s *staging) addBatches(batches []Batch) {
	for _, batch := range batches {
		held := max(s.recordCounts[batch.Origin], s.state.held(batch.Origin))
		if batch.Len() == 0 || batch.Origin == s.origin || batch.First > held+1 || batch.lastSequence() <= held {
			continue
		}
		s.recordCounts[batch.Origin] = batch.lastSequence()
		s.batches = append(s.batches, batch)
	}
}

// addOwn gives an add the next number of the own origin, unless its key is known.
func (s *staging) addOwn(pending pendingAdd) committedAdd {
	if origin, sequence, ok := s.state.find(pending.key); ok {
		return committedAdd{origin: origin, sequence: sequence}
	}
	sequence, ok := s.ownSequences[pending.key]
	if !ok {
		s.builder.add(pending.key, pending.counter, pending.amount)
		sequence = s.builder.batch.lastSequence()
		s.ownSequences[pending.key] = sequence
	}
	return committedAdd{origin: s.origin, sequence: sequence}
}

// finish returns the batches of the commit.
func (s *staging) finish() []Batch {
	if s.builder.batch.Len() > 0 {
		s.batches = append(s.batches, s.builder.batch)
	}
	return s.batches
}

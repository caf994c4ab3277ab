package counter

import (
	"context"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

const (
	// logName is the file name of the write-ahead log on the disk; it must never change.
	logName = "counters"
	// snapshotBatchRecords is the maximum number of records in a batch of a compacted log.
	snapshotBatchRecords = 4096
)

// pendingAdd is an add that waits for the next commit.
type pendingAdd struct {
	key     Key
	counter string
	amount  int64
	done    chan committedAdd
}

// committedAdd is the result of an add: the origin and sequence number of the record that
// has its key, or the error of the commit. After an error the add may or may not be on the
// disk.
type committedAdd struct {
	origin   int64
	sequence int64
	err      error
}

// pendingBatches are records of other origins that wait for the next commit.
type pendingBatches struct {
	batches []Batch
	done    chan error
}

// journal makes records durable before they are applied to the state. Everything that is
// queued during a commit goes into the next one and shares its sync. Sequence numbers are
// assigned in commit order, so after a crash the disk has no gaps in them.
type journal struct {
	clock clock.Clock
	log   *wal.Log
	// origin is the origin of the disk. newOrigin draws a new one.
	origin    int64
	newOrigin func() int64
	// mu guards state, which belongs to the service.
	mu    *sync.Mutex
	state *State
	// onCommit is called with mu held after a commit has added records to the state.
	onCommit func()

	// The fields below except committing are guarded by mu. busySince is when the commit in
	// progress began, 0 if there is none; failures counts the failed commits.
	adds      []pendingAdd
	batches   []pendingBatches
	busySince clock.Instant
	failures  int64
	wake      chan struct{}
	// committing serializes commits: the sequence numbers of a commit follow those of the
	// one before.
	committing sync.Mutex
	// staged are the batches of the commit in progress, which a snapshot must include.
	staged []Batch
	// originStale is set if another controller holds more records of the disk's origin than
	// the disk does.
	originStale bool
}

// openJournal opens the log of a disk and loads the state from it. A disk without an origin
// gets one from newOrigin.
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

// enqueueAdd queues an add for the next commit. The caller holds mu.
func (j *journal) enqueueAdd(key Key, counter string, amount int64) <-chan committedAdd {
	pending := pendingAdd{key: key, counter: counter, amount: amount, done: make(chan committedAdd, 1)}
	j.adds = append(j.adds, pending)
	j.notify()
	return pending.done
}

// enqueueBatches queues records of other origins for the next commit. The caller holds mu.
func (j *journal) enqueueBatches(batches []Batch) <-chan error {
	pending := pendingBatches{batches: batches, done: make(chan error, 1)}
	j.batches = append(j.batches, pending)
	j.notify()
	return pending.done
}

// checkOrigin compares the vector of another controller with the records of this disk's
// origin. If the other holds more of them, the disk was restored to an older state: the
// next commit draws a new origin, since sequence numbers must not be assigned twice. The
// caller holds mu.
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

// run commits what is queued until ctx ends.
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

// commit writes and syncs all that is queued as one log entry, and applies it to the state.
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

// save appends an entry with the batches to the log and syncs it.
func (j *journal) save(batches []Batch) error {
	body, err := transport.Marshal(storedRecord{Origin: j.origin, Batches: batches})
	if err != nil {
		return err
	}
	return j.log.Save(body)
}

// snapshot returns the entries of a compacted log: the origin, the whole state and the
// batches of the commit in progress.
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
		// Marshal fails only for a type without a schema, and storedRecord has one.
		panic(err)
	}
	return body
}

// staging collects the records that a commit adds to a state, without duplicates.
type staging struct {
	state  *State
	origin int64
	// recordCounts has the number of records of other origins after the commit, and
	// ownSequences the sequence numbers of the keys that it adds under the disk's origin.
	recordCounts map[int64]int64
	ownSequences map[Key]int64
	// batches are those of other origins; builder collects the records of the disk's origin.
	batches []Batch
	builder batchBuilder
}

func newStaging(state *State, origin int64) *staging {
	return &staging{
		state: state, origin: origin, recordCounts: map[int64]int64{}, ownSequences: map[Key]int64{},
		builder: batchBuilder{batch: Batch{Origin: origin, First: state.held(origin) + 1}},
	}
}

// addBatches adds the batches of other origins that have new records and leave no gap
// after those held.
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

// addOwn assigns the next sequence number of the disk's origin to an add, unless there is a
// record of its key already.
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

// finish returns all batches of the commit.
func (s *staging) finish() []Batch {
	if s.builder.batch.Len() > 0 {
		s.batches = append(s.batches, s.builder.batch)
	}
	return s.batches
}

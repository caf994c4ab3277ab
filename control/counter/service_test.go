package counter

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
	"onyxwell/simulation/simdisk"
)

// replica is a Service without running loops: the test triggers commits and exchanges.
type replica struct {
	*Service
	t     *testing.T
	clock *clock.Fake
	disk  *simdisk.Disk
	// diskError is the error of every disk operation, nil for none.
	diskError error
}

// newReplica returns a replica that serves its handlers over HTTP. Replicas may share a
// clock.
func newReplica(t *testing.T, source *clock.Fake, requiredCopies int) *replica {
	t.Helper()
	r := &replica{t: t, clock: source}
	r.disk = simdisk.New(simdisk.Options{Delay: func(string, int) error { return r.diskError }})
	mux := httpcall.NewMux(source, 1<<20)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	node := &settings.Settings{Limits: settings.Limits{MemoryMB: 184, DiskMB: 64}}
	node.Bounds.MergeMS, node.Bounds.GraceS = 3000, 8
	timing := TimingOf(node)
	// The network is real, so its timeouts are long: waits end by the fake clock.
	service, err := Open(context.Background(), Options{
		Clock: source, Log: scope.New(scope.Options{}).Log, Settings: node, Address: address, Disk: r.disk.Mount(),
		Membership:     membership.NewTable(source, membership.Member{Address: address, ServesControl: true}),
		Transport:      transport.NewClient(httpcall.Dialer{Timeout: time.Minute, UserTimeout: time.Minute}),
		RequiredCopies: requiredCopies, Timing: timing,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	service.RegisterHandlers(mux)
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	// With an ended context, the loops of peers return immediately.
	service.runContext, service.startedAt = stopped, source.Now()
	r.Service = service
	return r
}

// connectTo makes the other replicas peers of r.
func (r *replica) connectTo(others ...*replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, other := range others {
		r.addPeer(r.runContext, other.options.Address, r.clock.Now())
	}
}

// exchangeWith sends one exchange to another replica, which commits the records in it, and
// reports whether it answered.
func (r *replica) exchangeWith(other *replica) bool {
	r.t.Helper()
	r.mu.Lock()
	known := r.peers[other.options.Address]
	r.mu.Unlock()
	req, _ := r.nextExchange(known, true)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go other.runJournal(ctx)
	return r.exchange(context.Background(), known, req)
}

func (r *replica) runJournal(ctx context.Context) { r.journal.run(ctx) }

// markSilent records failed exchanges with another replica until it counts as silent.
func (r *replica) markSilent(other *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range maxFailures {
		r.peers[other.options.Address].recordFailure(r.clock.Now())
	}
	r.checkProgress()
}

// startAdd starts an add in the background and returns the channel that receives its
// result.
func (r *replica) startAdd(id string) <-chan error {
	done := make(chan error, 1)
	go func() { done <- r.Add(context.Background(), "a", id, 5) }()
	return done
}

// commitNext waits until something is queued for a commit, and commits it.
func (r *replica) commitNext() {
	<-r.journal.wake
	r.journal.commit()
}

func (r *replica) setReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
}

// waitForCopyWaiter blocks until an add waits for copies.
func (r *replica) waitForCopyWaiter() {
	for {
		r.mu.Lock()
		waiting := len(r.waiters)
		r.mu.Unlock()
		if waiting > 0 {
			return
		}
		runtime.Gosched()
	}
}

// TestAdd_waitsForCopies checks that with three required copies an add is acknowledged only
// when both other replicas hold it.
func TestAdd_waitsForCopies(t *testing.T) {
	source := clock.NewFake()
	a, b, c := newReplica(t, source, 3), newReplica(t, source, 3), newReplica(t, source, 3)
	a.connectTo(b, c)
	for _, other := range []*replica{b, c} {
		a.exchangeWith(other)
	}
	done := a.startAdd("x")
	a.commitNext()
	a.waitForCopyWaiter()
	a.exchangeWith(b)
	select {
	case err := <-done:
		t.Fatalf("add returned with two of three copies: %v", err)
	default:
	}
	a.exchangeWith(c)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if got := c.state.Total("a").Int64(); got != 5 {
		t.Errorf("total of the third replica is %d, want 5", got)
	}
}

// TestAdd_goesOnWithoutSilentPeers checks that an add is acknowledged once the last peer that
// lacks it becomes silent, and that the next add does not wait for that peer.
func TestAdd_goesOnWithoutSilentPeers(t *testing.T) {
	source := clock.NewFake()
	a, b := newReplica(t, source, 3), newReplica(t, source, 3)
	a.connectTo(b)
	a.exchangeWith(b)
	done := a.startAdd("x")
	a.commitNext()
	a.waitForCopyWaiter()
	a.markSilent(b)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	done = a.startAdd("y")
	a.commitNext()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// TestAdd_undecidedOnceEnqueued covers a failed commit and copies that do not arrive in
// time. The add may be on a disk by then, so the error must be errkind.AddUndecided: any
// other would guarantee that nothing was done.
func TestAdd_undecidedOnceEnqueued(t *testing.T) {
	source := clock.NewFake()
	a, b := newReplica(t, source, 2), newReplica(t, source, 2)
	a.setReady()
	a.diskError = errors.New("failed")
	done := a.startAdd("x")
	a.commitNext()
	if err := <-done; errkind.KindOf(err) != errkind.AddUndecided || errkind.KindOf(err).Response().Status != 504 {
		t.Errorf("failed disk: error %v, want AddUndecided with status 504", err)
	}
	a.diskError = nil
	a.connectTo(b)
	done = a.startAdd("y")
	a.commitNext()
	a.waitForCopyWaiter()
	source.Advance(a.options.Timing.AddTimeout)
	if err := <-done; errkind.KindOf(err) != errkind.AddUndecided {
		t.Errorf("no copy in time: error %v, want AddUndecided", err)
	}
}

// TestAdd_refusedBeforeEnqueue checks for each reason to refuse an add that the error has the
// right kind and status 503, and that nothing is queued for a commit.
func TestAdd_refusedBeforeEnqueue(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(*replica)
		kind    errkind.Kind
	}{
		"catching up": {func(r *replica) { r.ready = false }, errkind.NotReady},
		"leaving":     {func(r *replica) { r.leaving = true }, errkind.Draining},
		"full":        {func(r *replica) { r.capacity = 0 }, errkind.CountersFull},
		"stalled disk": {func(r *replica) {
			r.journal.busySince = r.clock.Now()
			r.clock.Advance(2 * r.options.Timing.StallAfter)
		}, errkind.NotReady},
	} {
		t.Run(name, func(t *testing.T) {
			r := newReplica(t, clock.NewFake(), 1)
			r.ready = true
			test.prepare(r)
			err := r.Add(context.Background(), "a", "x", 1)
			if kind := errkind.KindOf(err); kind != test.kind || kind.Response().Status != 503 {
				t.Errorf("error %v has the wrong kind or not status 503", err)
			}
			if len(r.journal.adds) > 0 {
				t.Error("the refused add is queued for a commit")
			}
		})
	}
}

// TestService_catchesUpBeforeItAnswers checks that a controller with an empty disk refuses
// reads until it holds the records of the others, or until CatchUpTimeout if no other
// answers.
func TestService_catchesUpBeforeItAnswers(t *testing.T) {
	source := clock.NewFake()
	old, empty := newReplica(t, source, 1), newReplica(t, source, 1)
	old.setReady()
	done := old.startAdd("x")
	old.commitNext()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	empty.connectTo(old)
	old.connectTo(empty)
	source.Advance(time.Minute)
	empty.exchangeWith(old)
	if total, err := empty.Total("a"); errkind.KindOf(err) != errkind.NotReady {
		t.Fatalf("before the catch-up: total %v, error %v, want NotReady", total, err)
	}
	// The first exchange fetches the vector of the empty replica, the second sends it the
	// records.
	old.exchangeWith(empty)
	old.exchangeWith(empty)
	if total, err := empty.Total("a"); err != nil || total.Int64() != 5 {
		t.Errorf("after the catch-up: total %v, error %v, want 5", total, err)
	}
	alone := newReplica(t, source, 1)
	alone.connectTo(old)
	alone.markSilent(old)
	if _, err := alone.Total("a"); err == nil {
		t.Error("read before CatchUpTimeout, though other controllers may still be discovered")
	}
	source.Advance(alone.options.Timing.CatchUpTimeout)
	alone.markSilent(old)
	if total, err := alone.Total("a"); err != nil || total.Sign() != 0 {
		t.Errorf("no other answers, after CatchUpTimeout: total %v, error %v, want 0", total, err)
	}
}

// TestHandOver_waitsForOthers checks that the hand-over of a record that no other controller
// has is complete only when another one holds it.
func TestHandOver_waitsForOthers(t *testing.T) {
	source := clock.NewFake()
	a, b := newReplica(t, source, 1), newReplica(t, source, 1)
	a.setReady()
	done := a.startAdd("x")
	a.commitNext()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if a.handedOver() {
		t.Error("hand-over complete without another controller")
	}
	a.connectTo(b)
	a.exchangeWith(b)
	if a.handedOver() {
		t.Error("hand-over complete though the other controller lacks the record")
	}
	a.exchangeWith(b)
	if !a.handedOver() {
		t.Error("hand-over incomplete though the other controller holds all records")
	}
}

// TestCapacity covers a capacity limited by the disk, by the memory, and by the memory
// because the size of the disk is not set.
func TestCapacity(t *testing.T) {
	for _, test := range []struct {
		diskMB, memoryMB int64
		want             int
	}{{64, 184, 174762}, {6400, 184, 215332}, {0, 184, 215332}, {1, 184, 2730}} {
		node := &settings.Settings{Limits: settings.Limits{MemoryMB: test.memoryMB, DiskMB: test.diskMB}}
		if got := Capacity(node); got != test.want {
			t.Errorf("%d MB of disk and %d MB of memory: wrong capacity %d", test.diskMB, test.memoryMB, got)
		}
	}
}

// TestNextExchange_isBounded has a peer lack far more records than fit into an exchange, as
// after a long partition. Each request must stay within 64 KiB, the limit of a small message.
func TestNextExchange_isBounded(t *testing.T) {
	source := clock.NewFake()
	a, b := newReplica(t, source, 1), newReplica(t, source, 1)
	const records = 5 * maxExchangeRecords
	for origin := int64(1); origin <= 2; origin++ {
		builder := batchBuilder{batch: Batch{Origin: origin, First: 1}}
		for id := range records {
			builder.add(KeyOf("a", fmt.Sprint(origin, "-", id)), "a", 1<<40)
		}
		a.state.Apply(builder.batch)
	}
	a.connectTo(b)
	a.exchangeWith(b)
	req, due := a.nextExchange(a.peers[b.options.Address], true)
	body, err := transport.Marshal(req)
	if !due || err != nil || !req.isFull() || len(body) > 64<<10 {
		t.Errorf("due %v, error %v, full %v, %d bytes; want a full request of at most 64 KiB", due, err, req.isFull(), len(body))
	}
	exchanges := 0
	for ; b.state.Len() < 2*records; exchanges++ {
		if !a.exchangeWith(b) || exchanges > 2*records/maxExchangeRecords {
			t.Fatalf("%d records after %d exchanges", b.state.Len(), exchanges)
		}
	}
}

// TestExchange_boundsBytesOfConcurrentPeers covers a returning controller that lacks many
// records and several peers that hold all of them and bring it up to date at the same time.
// Together they must send at most twice the bytes of the records, and have at most one
// exchange of 64 KiB each in flight, which a link of 10 Mbit/s carries within a fraction of
// a second.
func TestExchange_boundsBytesOfConcurrentPeers(t *testing.T) {
	source := clock.NewFake()
	const peers, perOrigin = 4, 3 * maxExchangeRecords
	returning := newReplica(t, source, 1)
	var others []*replica
	for range peers {
		others = append(others, newReplica(t, source, 1))
	}
	for _, origin := range others {
		builder := batchBuilder{batch: Batch{Origin: origin.journal.origin, First: 1}}
		for id := range perOrigin {
			builder.add(KeyOf("a", fmt.Sprint(origin.journal.origin, "-", id)), "a", 1<<40)
		}
		for _, holder := range others {
			holder.state.Apply(builder.batch)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go returning.runJournal(ctx)
	for _, other := range others {
		other.connectTo(returning)
		other.exchangeWith(returning)
	}
	sent, maxInFlight := 0, 0
	for round := 0; returning.state.Len() < peers*perOrigin; round++ {
		if round > peers*perOrigin {
			t.Fatalf("%d records after %d rounds", returning.state.Len(), round)
		}
		// All peers choose their batches before any request of the round has arrived.
		requests := make([]ExchangeRequest, peers)
		for index, other := range others {
			requests[index], _ = other.nextExchange(other.peers[returning.options.Address], true)
		}
		inFlight := 0
		for index, other := range others {
			body, err := transport.Marshal(requests[index])
			if err != nil {
				t.Fatal(err)
			}
			inFlight += len(body)
			other.exchange(context.Background(), other.peers[returning.options.Address], requests[index])
		}
		sent, maxInFlight = sent+inFlight, max(maxInFlight, inFlight)
	}
	const recordBytes = keySize + 12
	if limit := 2 * peers * perOrigin * recordBytes; sent > limit {
		t.Errorf("%d bytes sent for %d records, limit %d", sent, peers*perOrigin, limit)
	}
	if limit := peers * 64 << 10; maxInFlight > limit {
		t.Errorf("%d bytes in flight at the same time, limit %d", maxInFlight, limit)
	}
	t.Logf("%d bytes for %d records, at most %d in flight at the same time", sent, peers*perOrigin, maxInFlight)
}

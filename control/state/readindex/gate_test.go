package readindex

import (
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const testMaxWait = 750 * clock.Millisecond

// TestReader_requestsShareReadBegunAfterThem has hundreds ask at once: few reads
// answer them, and none is older than its question.
func TestReader_requestsShareReadBegunAfterThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		top := scope.New(scope.Options{})
		var newest, reads atomic.Int64
		reader := NewReader(func(ctx scope.Scope) (ids.Serial, error) {
			reads.Add(1)
			seen := newest.Load()
			ctx.Wait(100 * clock.Millisecond)
			return ids.Serial(seen), nil
		})
		told := make(chan bool)
		for index := range 300 {
			go func() {
				top.Wait(clock.Span(index) * clock.Millisecond)
				least := newest.Add(1)
				serial, err := reader.ReadIndex(top)
				told <- err == nil && int64(serial) >= least
			}()
		}
		for range 300 {
			if !<-told {
				t.Error("a read from before the question answered it")
			}
		}
		if reads.Load() > 6 {
			t.Errorf("%d reads for 300 questions within 300 ms", reads.Load())
		}
	})
}

// testGate is a router's gate with one controller that is cut off and one that is
// not; those answer by script.
type testGate struct {
	ctx         scope.Scope
	log         *logtest.Buffer
	applied     chan struct{}
	serial      atomic.Int64
	newest      atomic.Int64
	partitioned atomic.Bool
	queries     atomic.Int64
	runEnded    atomic.Bool
	gate        *Gate
}

func newTestGate(t *testing.T) *testGate {
	made := &testGate{log: &logtest.Buffer{}, applied: make(chan struct{})}
	made.ctx = scope.New(scope.Options{Log: scope.NewLogger("info", made.log)})
	top, end := made.ctx.WithCancel()
	made.ctx = top
	t.Cleanup(func() { end(); scope.New(scope.Options{}).Wait(testMaxWait) })
	made.gate = NewGate(Options{
		Controllers: func() []ids.Address { return []ids.Address{"cut", "well"} },
		Query: func(ctx scope.Scope, address ids.Address) (Response, error) {
			made.queries.Add(1)
			if address == "cut" || made.partitioned.Load() {
				ctx.Wait(190 * clock.Millisecond)
				return Response{}, errors.New("unsettled")
			}
			ctx.Wait(80 * clock.Millisecond)
			return Response{Serial: ids.Serial(made.newest.Load())}, nil
		},
		Applied: made.applied, AppliedSerial: func() ids.Serial { return ids.Serial(made.serial.Load()) },
		Fetch: func(ctx scope.Scope, _ ids.Address) {
			if ctx.Wait(100 * clock.Millisecond); !made.partitioned.Load() {
				made.serial.Store(made.newest.Load())
			}
		},
		MaxWait: testMaxWait,
	})
	return made
}

// run gives how long after the first version the gate opened.
func (t *testGate) run(firstAfter clock.Span, serial int64) clock.Span {
	go func() { t.gate.Run(t.ctx); t.runEnded.Store(true) }()
	t.ctx.Wait(firstAfter)
	t.serial.Store(serial)
	close(t.applied)
	begin := t.ctx.Now()
	<-t.gate.Ready()
	return t.ctx.Now().Since(begin)
}

func TestGate_staleVersionIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, after := range []clock.Span{0, 200 * clock.Millisecond, 3 * clock.Second} {
			site := newTestGate(t)
			site.newest.Store(9)
			if took := site.run(after, 5); took > testMaxWait || site.gate.State() != Confirmed || site.serial.Load() != 9 {
				t.Errorf("first version after %v: %s with %d after %v", after, site.gate.State(), site.serial.Load(), took)
			}
		}
	})
}

func TestGate_firstStartIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newTestGate(t)
		if took := site.run(clock.Second, 1); took > testMaxWait/checksPerMaxWait || site.gate.State() != Confirmed {
			t.Errorf("%s after %v", site.gate.State(), took)
		}
		if asks := site.queries.Load(); asks > 4 {
			t.Errorf("%d questions", asks)
		}
		if site.ctx.Wait(clock.Second); site.runEnded.Load() {
			t.Error("the part ended: a supervisor would start it again and again")
		}
	})
}

// TestGate_partitionedRegionServesUnconfirmed is the one exception: it is bounded
// and shown, the questions get rare, and it ends with a confirmation.
func TestGate_partitionedRegionServesUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newTestGate(t)
		site.partitioned.Store(true)
		site.newest.Store(6)
		if took := site.run(100*clock.Millisecond, 5); took > testMaxWait || site.gate.State() != Unconfirmed {
			t.Errorf("%s after %v", site.gate.State(), took)
		}
		site.ctx.Wait(60 * clock.Second)
		if asks := site.queries.Load(); asks > 40 {
			t.Errorf("%d questions in a minute", asks)
		}
		site.partitioned.Store(false)
		site.ctx.Wait(4 * maxIntervalFactor * testMaxWait)
		if site.gate.State() != Confirmed || site.serial.Load() != 6 {
			t.Errorf("joined again: %s with %d", site.gate.State(), site.serial.Load())
		}
		synctest.Wait()
		if lines := strings.Count(site.log.String(), "\n"); lines != 2 {
			t.Errorf("%d lines:\n%s", lines, site.log)
		}
	})
}

package readindex

import (
	"bytes"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const bound = 750 * clock.Millisecond

// TestQuestionsShareAReadBegunAfterThem has hundreds ask at once: few reads
// answer them, and none is older than its question.
func TestQuestionsShareAReadBegunAfterThem(t *testing.T) {
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
				serial, err := reader.Newest(top)
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

// site is a router's gate with one controller that is cut off and one that is
// not; those answer by script.
type site struct {
	top    scope.Scope
	log    *bytes.Buffer
	first  chan struct{}
	serial atomic.Int64
	newest atomic.Int64
	cut    atomic.Bool
	asks   atomic.Int64
	over   atomic.Bool
	gate   *Gate
}

func newSite(t *testing.T) *site {
	made := &site{log: &bytes.Buffer{}, first: make(chan struct{})}
	made.top = scope.New(scope.Options{Log: scope.Logger("info", made.log)})
	top, end := made.top.WithEnd()
	made.top = top
	t.Cleanup(func() { end(); scope.New(scope.Options{}).Wait(bound) })
	made.gate = NewGate(Options{
		Controllers: func() []ids.Address { return []ids.Address{"cut", "well"} },
		Ask: func(ctx scope.Scope, address ids.Address) (Told, error) {
			made.asks.Add(1)
			if address == "cut" || made.cut.Load() {
				ctx.Wait(190 * clock.Millisecond)
				return Told{}, errors.New("unsettled")
			}
			ctx.Wait(80 * clock.Millisecond)
			return Told{Serial: ids.Serial(made.newest.Load())}, nil
		},
		First: made.first, Serial: func() ids.Serial { return ids.Serial(made.serial.Load()) },
		Fetch: func(ctx scope.Scope, _ ids.Address) {
			if ctx.Wait(100 * clock.Millisecond); !made.cut.Load() {
				made.serial.Store(made.newest.Load())
			}
		},
		Bound: bound,
	})
	return made
}

// run gives how long after the first version the gate opened.
func (s *site) run(firstAfter clock.Span, serial int64) clock.Span {
	go func() { s.gate.Run(s.top); s.over.Store(true) }()
	s.top.Wait(firstAfter)
	s.serial.Store(serial)
	close(s.first)
	begin := s.top.Now()
	<-s.gate.Ready()
	return s.top.Now().Since(begin)
}

func TestOldVersionIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, after := range []clock.Span{0, 200 * clock.Millisecond, 3 * clock.Second} {
			site := newSite(t)
			site.newest.Store(9)
			if took := site.run(after, 5); took > bound || site.gate.State() != Confirmed || site.serial.Load() != 9 {
				t.Errorf("first version after %v: %s with %d after %v", after, site.gate.State(), site.serial.Load(), took)
			}
		}
	})
}

func TestFirstStartIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		if took := site.run(clock.Second, 1); took > bound/looks || site.gate.State() != Confirmed {
			t.Errorf("%s after %v", site.gate.State(), took)
		}
		if asks := site.asks.Load(); asks > 4 {
			t.Errorf("%d questions", asks)
		}
		if site.top.Wait(clock.Second); site.over.Load() {
			t.Error("the part ended: a supervisor would start it again and again")
		}
	})
}

// TestCutOffWithItsRegionServesUnconfirmed is the one exception: it is bounded
// and shown, the questions get rare, and it ends with a confirmation.
func TestCutOffWithItsRegionServesUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t)
		site.cut.Store(true)
		site.newest.Store(6)
		if took := site.run(100*clock.Millisecond, 5); took > bound || site.gate.State() != Unconfirmed {
			t.Errorf("%s after %v", site.gate.State(), took)
		}
		site.top.Wait(60 * clock.Second)
		if asks := site.asks.Load(); asks > 40 {
			t.Errorf("%d questions in a minute", asks)
		}
		site.cut.Store(false)
		site.top.Wait(4 * longestPause * bound)
		if site.gate.State() != Confirmed || site.serial.Load() != 6 {
			t.Errorf("joined again: %s with %d", site.gate.State(), site.serial.Load())
		}
		synctest.Wait()
		if lines := strings.Count(site.log.String(), "\n"); lines != 2 {
			t.Errorf("%d lines:\n%s", lines, site.log)
		}
	})
}

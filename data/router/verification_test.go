package router

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
	"onyxwell/data/snapshot"
)

// warmupDocument is a configuration whose service s has a warm-up.
const warmupDocument = `{"config_version":1,"routes":[{"name":"a","hostname":"h","path_prefix":"/","give_up_ms":100,"service":"s"}],
 "services":[{"name":"s","health_path":"/well","warmup_s":3,"cold_per_s":10}]}`

// warmupRunner is a stand-in of a runner that answers health checks.
type warmupRunner struct {
	discovery.Runner
	coldMS atomic.Int64
	checks atomic.Int64
	// respond, if set, replaces the response.
	respond func(w http.ResponseWriter)
}

func startWarmupRunner(t *testing.T, id ids.RunnerID, zone ids.Zone) *warmupRunner {
	t.Helper()
	runner := &warmupRunner{Runner: discovery.Runner{ID: id, Service: "s", Zone: zone}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runner.checks.Add(1)
		if runner.respond != nil {
			runner.respond(w)
			return
		}
		w.Header().Set("Onyxwell-Server-Id", string(id))
		w.Header().Set("Onyxwell-Cold-Ms", fmt.Sprint(runner.coldMS.Load()))
	}))
	t.Cleanup(server.Close)
	runner.Address = ids.Address(strings.TrimPrefix(server.URL, "http://"))
	return runner
}

// setEvacuated gossips to a router whether a zone is evacuated.
func setEvacuated(t *testing.T, r *Router, zone ids.Zone, version ids.Version, drained bool) {
	t.Helper()
	body, err := transport.Marshal(evacuation.State{Version: version, Drained: drained})
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots.Apply(gossip.Item{Key: evacuation.Key(zone), Version: version, Body: body})
}

// checkDueRunners does what verifyRunners does once, one check at a time.
func checkDueRunners(r *Router) {
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, MaxIdlePerHost: 1})
	slots := newCheckSlots()
	for _, id := range r.slowStart.DueChecks(r.clock.Now(), time.Second) {
		r.verifyInSlot(context.Background(), client, slots, id)
	}
}

// newWarmRouter returns a router that knows that the runners are warm.
func newWarmRouter(t *testing.T, runners ...*warmupRunner) (*Router, *clock.Fake) {
	t.Helper()
	r, fakeClock := newEmptyRouter()
	r.settings.FirstStart = true
	r.snapshots.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(warmupDocument)})
	r.publishRunners(t, 1, listOf(runners)...)
	if r.slowStart.Active(runners[0].ID, fakeClock.Now()) {
		t.Fatal("runners are in slow start at the first start of the deployment")
	}
	return r, fakeClock
}

// respondWith writes a response without a body.
func respondWith(w http.ResponseWriter, status int, header http.Header) {
	maps.Copy(w.Header(), header)
	w.WriteHeader(status)
}

func listOf(runners []*warmupRunner) []discovery.Runner {
	var list []discovery.Runner
	for _, runner := range runners {
		list = append(list, runner.Runner)
	}
	return list
}

// TestZoneRestored_coldRunnersStayInSlowStart guards against the full load on runners that
// became cold shortly before their zone's evacuation ended, which the list doesn't show yet.
func TestZoneRestored_coldRunnersStayInSlowStart(t *testing.T) {
	cold, warm, elsewhere := startWarmupRunner(t, "cold", "n"), startWarmupRunner(t, "warm", "n"), startWarmupRunner(t, "elsewhere", "s")
	cold.coldMS.Store(2000)
	r, fakeClock := newWarmRouter(t, cold, warm, elsewhere)
	setEvacuated(t, r, "n", 1, true)
	setEvacuated(t, r, "n", 2, false)
	now := fakeClock.Now()
	if !r.slowStart.Active("cold", now) || !r.slowStart.Active("warm", now) || r.slowStart.Active("elsewhere", now) {
		t.Fatal("want exactly the runners of the restored zone in slow start")
	}
	checkDueRunners(r)
	if !r.slowStart.Active("cold", now) || r.slowStart.Active("warm", now) {
		t.Fatal("want the cold runner in slow start and the warm one not, at once")
	}
	fakeClock.Advance(2100 * time.Millisecond)
	checkDueRunners(r)
	if r.slowStart.Active("cold", fakeClock.Now()) || cold.checks.Load() != 1 {
		t.Errorf("in slow start after its warm-up, or checked %d times, want 1", cold.checks.Load())
	}
}

// TestZoneRestored_unknownEvacuation guards against a router that was frozen, or started,
// while a zone was evacuated, and learns only that the evacuation has ended.
func TestZoneRestored_unknownEvacuation(t *testing.T) {
	runner := startWarmupRunner(t, "one", "n")
	runner.coldMS.Store(2000)
	r, fakeClock := newWarmRouter(t, runner)
	setEvacuated(t, r, "n", 2, false)
	if checkDueRunners(r); !r.slowStart.Active("one", fakeClock.Now()) {
		t.Error("the runner is not in slow start")
	}
}

// TestVerifyRunner_onlyOwnReportCounts checks which responses prove that a runner is warm.
// Without a proof it stays in slow start for a whole warm-up.
func TestVerifyRunner_onlyOwnReportCounts(t *testing.T) {
	cases := []struct {
		name   string
		status int
		header http.Header
		warm   bool
	}{
		{"warm", 200, http.Header{"Onyxwell-Server-Id": {"one"}}, true},
		{"full", 503, http.Header{"Onyxwell-Not-Run": {"1"}, "Onyxwell-Server-Id": {"one"}}, false},
		{"draining", 503, http.Header{"Onyxwell-Server-Id": {"one"}}, false},
		{"another runner", 200, http.Header{"Onyxwell-Server-Id": {"two"}}, false},
		{"without id", 200, http.Header{}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runner := startWarmupRunner(t, "one", "n")
			runner.respond = func(w http.ResponseWriter) { respondWith(w, tc.status, tc.header) }
			r, fakeClock := newWarmRouter(t, runner)
			setEvacuated(t, r, "n", 2, false)
			for range 2 {
				checkDueRunners(r)
				if active := r.slowStart.Active("one", fakeClock.Now()); active == tc.warm {
					t.Fatalf("got in slow start %v", active)
				}
				fakeClock.Advance(1500 * time.Millisecond)
			}
			if r.slowStart.Active("one", fakeClock.Now()) {
				t.Error("still in slow start after a whole warm-up")
			}
		})
	}
}

// TestFirstList_runnersAreCheckedAfterRestart guards against a restarted router that takes
// the runners of its region for warm because the first list, which lags, doesn't show that
// they became cold.
func TestFirstList_runnersAreCheckedAfterRestart(t *testing.T) {
	near, far, restored := startWarmupRunner(t, "near", "n"), startWarmupRunner(t, "far", "s"), startWarmupRunner(t, "restored", "t")
	near.coldMS.Store(2000)
	restored.coldMS.Store(2000)
	r, fakeClock := newEmptyRouter()
	setEvacuated(t, r, "t", 2, false)
	r.publishRunners(t, 1, near.Runner, far.Runner, restored.Runner)
	r.snapshots.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(warmupDocument)})
	for id, want := range map[ids.RunnerID]bool{"near": true, "far": false, "restored": true} {
		if active := r.slowStart.Active(id, fakeClock.Now()); active != want {
			t.Errorf("%s: got in slow start %v", id, active)
		}
	}
	near.coldMS.Store(0)
	checkDueRunners(r)
	if r.slowStart.Active("near", fakeClock.Now()) || !r.slowStart.Active("restored", fakeClock.Now()) {
		t.Error("want the warm runner out of slow start and the cold one in it")
	}
}

// TestUpdateRunners_drainingRunnerIsReadyAgain guards against the full load on a runner that
// was draining, got no requests meanwhile, and is ready again.
func TestUpdateRunners_drainingRunnerIsReadyAgain(t *testing.T) {
	one, two := startWarmupRunner(t, "one", "n"), startWarmupRunner(t, "two", "n")
	r, fakeClock := newWarmRouter(t, one, two)
	draining := one.Runner
	draining.Draining = true
	r.publishRunners(t, 2, draining, two.Runner)
	r.publishRunners(t, 3, one.Runner, two.Runner)
	if !r.slowStart.Active("one", fakeClock.Now()) || r.slowStart.Active("two", fakeClock.Now()) {
		t.Error("want exactly the runner that was draining in slow start")
	}
}

// TestProbeSuspect_unprovenWarmth guards against the full load on a runner that was suspected,
// got no requests meanwhile, and is cleared by a response that doesn't tell whether it is warm.
func TestProbeSuspect_unprovenWarmth(t *testing.T) {
	cases := []struct {
		name    string
		respond func(w http.ResponseWriter)
		active  bool
	}{
		{"warm", nil, false},
		{"full", func(w http.ResponseWriter) { respondWith(w, 503, http.Header{"Onyxwell-Not-Run": {"1"}}) }, true},
		{"without id", func(w http.ResponseWriter) { respondWith(w, 200, nil) }, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runner := startWarmupRunner(t, "one", "n")
			runner.respond = tc.respond
			r, fakeClock := newWarmRouter(t, runner)
			r.stats.Suspect("one", fakeClock.Now())
			r.probeSuspect(context.Background(), http.DefaultClient, "one")
			if r.stats.State("one").Suspect || r.slowStart.Active("one", fakeClock.Now()) != tc.active {
				t.Errorf("got suspected %v, in slow start %v", r.stats.State("one").Suspect, r.slowStart.Active("one", fakeClock.Now()))
			}
		})
	}
}

// TestVerifyRunners_silentZoneDelaysNoOther guards against checks of a zone that does not
// answer that keep the warm runners of another zone in slow start.
func TestVerifyRunners_silentZoneDelaysNoOther(t *testing.T) {
	silent := make(chan struct{})
	var runners []*warmupRunner
	for number := range 2 * maxConcurrentChecks {
		runner := startWarmupRunner(t, ids.RunnerID(fmt.Sprint("silent", number)), "d")
		runner.respond = func(http.ResponseWriter) { <-silent }
		runners = append(runners, runner)
	}
	warm := startWarmupRunner(t, "warm", "n")
	r, fakeClock := newWarmRouter(t, append(runners, warm)...)
	r.unverify(r.snapshots.Current(), func(*snapshot.Runner) bool { return true })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- r.verifyRunners(ctx) }()
	for deadline := time.Now().Add(10 * time.Second); r.slowStart.Active("warm", fakeClock.Now()); runtime.Gosched() {
		if time.Now().After(deadline) {
			t.Error("the warm runner waits for the silent ones")
			break
		}
	}
	close(silent)
	cancel()
	<-ended
}

// TestUnverify_checksOfOtherRegionsAreBounded checks that a zone with many runners of another
// region gets a bounded number of checks from each router, and one of this region all.
func TestUnverify_checksOfOtherRegionsAreBounded(t *testing.T) {
	var runners []discovery.Runner
	for number := range 3 * maxRemoteChecks {
		runners = append(runners,
			discovery.Runner{ID: ids.RunnerID(fmt.Sprint("n", number)), Service: "s", Zone: "n"},
			discovery.Runner{ID: ids.RunnerID(fmt.Sprint("s", number)), Service: "s", Zone: "s"})
	}
	for zone, want := range map[ids.Zone]int{"n": 3 * maxRemoteChecks, "s": maxRemoteChecks} {
		r, fakeClock := newEmptyRouter()
		r.settings.FirstStart = true
		r.snapshots.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(warmupDocument)})
		r.publishRunners(t, 1, runners...)
		setEvacuated(t, r, zone, 2, false)
		if got := len(r.slowStart.DueChecks(fakeClock.Now(), time.Second)); got != want {
			t.Errorf("zone %s: got %d checks, want %d", zone, got, want)
		}
		for _, runner := range runners {
			if active := r.slowStart.Active(runner.ID, fakeClock.Now()); active != (runner.Zone == zone) {
				t.Fatalf("zone %s: %s is in slow start: %v", zone, runner.ID, active)
			}
		}
	}
}

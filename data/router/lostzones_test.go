package router

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
)

// reportLostZones gossips to a router that exactly these zones are lost.
func reportLostZones(r *Router, version ids.Version, zones ...ids.Zone) {
	body, _ := transport.Marshal(zonesummary.LostZones{Zones: zones})
	r.snapshots.Apply(gossip.Item{Key: zonesummary.LostZonesKey("n"), Version: version, Body: body})
}

func TestLostZones_avoidedUntilRunnerAnswers(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	start := func(id ids.RunnerID, zone ids.Zone) *warmupRunner {
		runner := startWarmupRunner(t, id, zone)
		runner.respond = func(w http.ResponseWriter) {
			if down.Load() {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Onyxwell-Server-Id", string(id))
			w.Header().Set("Onyxwell-Cold-Ms", "500")
		}
		return runner
	}
	r, fakeClock := newWarmRouter(t, start("near", "n"), start("far", "s"), start("peer", "s"))
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, MaxIdlePerHost: 1})
	r.slowStart.DetectPauses(0, fakeClock.Now())
	probe := func() {
		r.unverifyReturned(r.snapshots.Current(), fakeClock.Now())
		for _, zone := range r.lostZones.dueProbes(fakeClock.Now(), time.Second) {
			for _, runner := range sampleRunners(r.snapshots.Current(), zone) {
				r.probeZone(context.Background(), client, runner)
			}
		}
	}
	probe()
	reportLostZones(r, 1, "s")
	if probe(); !r.lostZones.contains("s") || r.lostZones.contains("n") {
		t.Fatal("want the lost zone avoided, and only that one")
	}
	down.Store(false)
	if probe(); !r.lostZones.contains("s") {
		t.Fatal("probed again before the first interval has passed")
	}
	fakeClock.Advance(4 * time.Second)
	if probe(); r.lostZones.contains("s") {
		t.Fatal("a zone whose runners answer is still avoided")
	}
	for id, want := range map[ids.RunnerID]bool{"far": true, "peer": true, "near": false} {
		if warming := r.slowStart.Active(id, fakeClock.Now()); warming != want {
			t.Errorf("%s: got slow start %v", id, warming)
		}
	}
	if probe(); r.lostZones.contains("s") {
		t.Fatal("a zone that recovered is avoided again without a new report")
	}
	reportLostZones(r, 2)
	probe()
	down.Store(true)
	reportLostZones(r, 3, "s")
	if probe(); !r.lostZones.contains("s") {
		t.Fatal("a zone that is lost a second time is not avoided")
	}
	reportLostZones(r, 4)
	if probe(); !r.lostZones.contains("s") {
		t.Fatal("a zone is used before a runner there has answered")
	}
	fakeClock.Advance(recoveryTimeout + 1)
	if probe(); r.lostZones.contains("s") {
		t.Fatal("a zone that is no longer reported as lost is avoided after recoveryTimeout")
	}
}

func TestLostZones_probesDoNotGrowWithRunners(t *testing.T) {
	var runners []discovery.Runner
	for _, id := range []ids.RunnerID{"a", "b", "c", "d"} {
		runners = append(runners, discovery.Runner{ID: id, Service: "s", Zone: "s"})
	}
	r, fakeClock := newRouter(t, runners...)
	r.lostZones.update(map[ids.Zone]bool{"s": true}, fakeClock.Now())
	var probed []int
	for range 4 {
		for range r.lostZones.dueProbes(fakeClock.Now(), time.Second) {
			probed = append(probed, len(sampleRunners(r.snapshots.Current(), "s")))
		}
		fakeClock.Advance(2 * time.Second)
	}
	if !slices.Equal(probed, []int{1, 1, 1}) {
		t.Fatalf("got %v runners probed at each due time, want 1 at each of 3", probed)
	}
}

// TestProbeZone_eachRunnerIsAsked guards against a zone that was lost and whose runners are
// all taken for warm, or cold, because one of them is.
func TestProbeZone_eachRunnerIsAsked(t *testing.T) {
	cold, warm := startWarmupRunner(t, "cold", "s"), startWarmupRunner(t, "warm", "s")
	cold.coldMS.Store(2000)
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, MaxIdlePerHost: 1})
	for _, sampled := range []ids.RunnerID{"cold", "warm"} {
		r, fakeClock := newWarmRouter(t, cold, warm)
		reportLostZones(r, 1, "s")
		r.lostZones.update(r.snapshots.Current().LostZones, fakeClock.Now())
		r.probeZone(context.Background(), client, r.snapshots.Current().Find(sampled))
		if r.lostZones.contains("s") || !r.slowStart.Active("cold", fakeClock.Now()) {
			t.Fatalf("%s is sampled: the zone is avoided, or its cold runner gets the full load", sampled)
		}
		if checkDueRunners(r); !r.slowStart.Active("cold", fakeClock.Now()) || r.slowStart.Active("warm", fakeClock.Now()) {
			t.Errorf("%s is sampled: want the cold runner in slow start, and the warm one not", sampled)
		}
	}
}

// TestLostZones_runnersAreAskedAfterTimeout is the same for a zone that is used again since it
// is no longer reported, though no probe has succeeded.
func TestLostZones_runnersAreAskedAfterTimeout(t *testing.T) {
	runner := startWarmupRunner(t, "one", "s")
	r, fakeClock := newWarmRouter(t, runner)
	update := func() { r.unverifyReturned(r.snapshots.Current(), fakeClock.Now()) }
	reportLostZones(r, 1, "s")
	update()
	reportLostZones(r, 2)
	update()
	for range recoveryTimeout/time.Second + 1 {
		fakeClock.Advance(time.Second)
		update()
	}
	if r.lostZones.contains("s") || !r.slowStart.Active("one", fakeClock.Now()) {
		t.Error("the zone is avoided, or its runner gets the full load unasked")
	}
}

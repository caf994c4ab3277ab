package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
	"onyxwell/data/slowstart"
)

// reportLostZones gossips to a router that exactly these zones are lost.
func reportLostZones(r *Router, version ids.Version, zones ...ids.Zone) {
	body, _ := transport.Marshal(zonesummary.LostZones{Zones: zones})
	r.snapshots.Apply(gossip.Item{Key: zonesummary.LostZonesKey("n"), Version: version, Body: body})
}

func TestLostZones_avoidedUntilRunnerAnswers(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Onyxwell-Cold-Ms", "500")
	}))
	defer server.Close()
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	r, fakeClock := newRouter(t,
		discovery.Runner{ID: "near", Service: "s", Zone: "n", Address: address},
		discovery.Runner{ID: "far", Service: "s", Zone: "s", Address: address},
		discovery.Runner{ID: "peer", Service: "s", Zone: "s", Address: address})
	r.slowStart.Update([]slowstart.Runner{{ID: "near"}, {ID: "far"}, {ID: "peer"}}, 0, fakeClock.Now())
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, MaxIdlePerHost: 1})
	probe := func() {
		r.lostZones.update(r.snapshots.Current().LostZones, fakeClock.Now())
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

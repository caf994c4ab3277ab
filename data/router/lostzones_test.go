package router

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
	"onyxwell/data/slowstart"
)

// reportLostZones has the router be told which zones are lost.
func reportLostZones(r *Router, serial ids.Serial, zones ...ids.Zone) {
	body, _ := transport.Marshal(zonesummary.LostZones{Zones: zones})
	r.snapshots.Apply(gossip.Item{Key: zonesummary.LostZonesKey("n"), Version: serial, Body: body})
}

func TestLostZones_avoidedUntilRunnerAnswers(t *testing.T) {
	var down atomic.Bool
	down.Store(true)
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			panic(http.ErrAbortHandler)
		}
		writer.Header().Set("Onyxwell-Cold-Ms", "500")
	}))
	defer server.Close()
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	r, machine := newRouter(t,
		discovery.Runner{ID: "near", Service: "s", Zone: "n", Address: address},
		discovery.Runner{ID: "far", Service: "s", Zone: "s", Address: address},
		discovery.Runner{ID: "mate", Service: "s", Zone: "s", Address: address})
	r.slowStart.Update([]slowstart.Runner{{ID: "near"}, {ID: "far"}, {ID: "mate"}}, 0, machine.Now())
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}, MaxIdlePerHost: 1})
	top := scope.New(scope.Options{Clock: machine})
	test := func() {
		r.lostZones.update(r.snapshots.Current().LostZones, machine.Now())
		for _, zone := range r.lostZones.dueProbes(machine.Now(), clock.Second) {
			for _, runner := range sampleRunners(r.snapshots.Current(), zone) {
				r.probeZone(top, client, runner)
			}
		}
	}
	test()
	reportLostZones(r, 1, "s")
	if test(); !r.lostZones.contains("s") || r.lostZones.contains("n") {
		t.Fatal("not the lost zone is left alone")
	}
	down.Store(false)
	if test(); !r.lostZones.contains("s") {
		t.Fatal("tested again at once")
	}
	machine.Advance(4 * clock.Second)
	if test(); r.lostZones.contains("s") {
		t.Fatal("a zone whose runners answer is left alone for ever")
	}
	for id, want := range map[ids.RunnerID]bool{"far": true, "mate": true, "near": false} {
		if cold := r.slowStart.Active(id, machine.Now()); cold != want {
			t.Errorf("%s: cold %v", id, cold)
		}
	}
	if test(); r.lostZones.contains("s") {
		t.Fatal("a zone that was found is lost again, though it was not told anew")
	}
	reportLostZones(r, 2)
	test()
	down.Store(true)
	reportLostZones(r, 3, "s")
	if test(); !r.lostZones.contains("s") {
		t.Fatal("a second loss does not count")
	}
	reportLostZones(r, 4)
	if test(); !r.lostZones.contains("s") {
		t.Fatal("a zone is used before anything there answered")
	}
	machine.Advance(recoveryTimeout + 1)
	if test(); r.lostZones.contains("s") {
		t.Fatal("a zone that is told as lost no more is left alone for ever")
	}
}

func TestLostZones_probesDoNotGrowWithRunners(t *testing.T) {
	var runners []discovery.Runner
	for _, id := range []ids.RunnerID{"a", "b", "c", "d"} {
		runners = append(runners, discovery.Runner{ID: id, Service: "s", Zone: "s"})
	}
	r, machine := newRouter(t, runners...)
	r.lostZones.update(map[ids.Zone]bool{"s": true}, machine.Now())
	var tests []int
	for range 4 {
		for range r.lostZones.dueProbes(machine.Now(), clock.Second) {
			tests = append(tests, len(sampleRunners(r.snapshots.Current(), "s")))
		}
		machine.Advance(2 * clock.Second)
	}
	if !slices.Equal(tests, []int{1, 1, 1}) {
		t.Fatalf("runners tested: %v", tests)
	}
}

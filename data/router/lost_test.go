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

// tell has the router be told which zones are lost.
func tell(r *Router, serial ids.Serial, zones ...ids.Zone) {
	body, _ := transport.Marshal(zonesummary.LostZones{Zones: zones})
	r.frame.Absorb(gossip.Item{Key: zonesummary.LostZonesKey("n"), Version: serial, Body: body})
}

func TestLostZoneIsLeftAloneUntilARunnerAnswers(t *testing.T) {
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
	r.warmth.Update([]slowstart.Runner{{ID: "near"}, {ID: "far"}, {ID: "mate"}}, 0, machine.Now())
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}, MaxIdlePerHost: 1})
	top := scope.New(scope.Options{Clock: machine})
	test := func() {
		r.lost.update(r.frame.Now().Lost, machine.Now())
		for _, zone := range r.lost.tests(machine.Now(), clock.Second) {
			for _, runner := range samples(r.frame.Now(), zone) {
				r.testZone(top, client, runner)
			}
		}
	}
	test()
	tell(r, 1, "s")
	if test(); !r.lost.has("s") || r.lost.has("n") {
		t.Fatal("not the lost zone is left alone")
	}
	down.Store(false)
	if test(); !r.lost.has("s") {
		t.Fatal("tested again at once")
	}
	machine.Advance(4 * clock.Second)
	if test(); r.lost.has("s") {
		t.Fatal("a zone whose runners answer is left alone for ever")
	}
	for id, want := range map[ids.RunnerID]bool{"far": true, "mate": true, "near": false} {
		if cold := r.warmth.Active(id, machine.Now()); cold != want {
			t.Errorf("%s: cold %v", id, cold)
		}
	}
	if test(); r.lost.has("s") {
		t.Fatal("a zone that was found is lost again, though it was not told anew")
	}
	tell(r, 2)
	test()
	down.Store(true)
	tell(r, 3, "s")
	if test(); !r.lost.has("s") {
		t.Fatal("a second loss does not count")
	}
	tell(r, 4)
	if test(); !r.lost.has("s") {
		t.Fatal("a zone is used before anything there answered")
	}
	machine.Advance(releasedPatience + 1)
	if test(); r.lost.has("s") {
		t.Fatal("a zone that is told as lost no more is left alone for ever")
	}
}

func TestTestsOfALostZoneDoNotGrowWithItsRunners(t *testing.T) {
	var runners []discovery.Runner
	for _, id := range []ids.RunnerID{"a", "b", "c", "d"} {
		runners = append(runners, discovery.Runner{ID: id, Service: "s", Zone: "s"})
	}
	r, machine := newRouter(t, runners...)
	r.lost.update(map[ids.Zone]bool{"s": true}, machine.Now())
	var tests []int
	for range 4 {
		for range r.lost.tests(machine.Now(), clock.Second) {
			tests = append(tests, len(samples(r.frame.Now(), "s")))
		}
		machine.Advance(2 * clock.Second)
	}
	if !slices.Equal(tests, []int{1, 1, 1}) {
		t.Fatalf("runners tested: %v", tests)
	}
}

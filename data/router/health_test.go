package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/daemon"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

const configDocument = `{"config_version":1,"routes":[{"name":"a","hostname":"h","path_prefix":"/","give_up_ms":100,"service":"s"}],
 "services":[{"name":"s","health_path":"/well"},{"name":"unused"}]}`

func newRouter(t *testing.T, runners ...discovery.Runner) (*Router, *clock.Fake) {
	t.Helper()
	machine := clock.NewFake()
	r := &Router{stats: runnerstats.New(), slowStart: slowstart.New(randomFloat), timing: daemon.Timing{ConnectTimeout: clock.Second}}
	r.daemon = &daemon.Daemon{Membership: membership.NewTable(machine, membership.Member{Address: "self", Role: Role, Region: "north"})}
	r.snapshots = snapshot.NewStore(snapshot.Options{Clock: machine, Zones: map[ids.Zone]ids.Region{"n": "north", "s": "south"}})
	r.snapshots.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(configDocument)})
	body, err := transport.Marshal(discovery.List{Runners: runners})
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots.Apply(gossip.Item{Key: discovery.ZoneKey("all"), Version: 1, Body: body})
	return r, machine
}

func TestReachesAllServices_everyRoutedService(t *testing.T) {
	r, machine := newRouter(t, discovery.Runner{ID: "one", Service: "s", Zone: "n"}, discovery.Runner{ID: "two", Service: "s", Zone: "s", Draining: true})
	if !r.reachesAllServices(machine.Now()) {
		t.Fatal("a service without routes counts, or a ready runner does not")
	}
	r.stats.Suspect("one", machine.Now())
	if r.reachesAllServices(machine.Now()) {
		t.Fatal("a doubted and a draining runner are reach enough")
	}
	r.stats.ClearSuspicion("one", machine.Now())
	r.lostZones.update(map[ids.Zone]bool{"n": true}, machine.Now())
	if r.reachesAllServices(machine.Now()) {
		t.Fatal("a runner of a lost zone is reach enough")
	}
	r.lostZones.remove("n")
	r.stats.RequestSent("one", runnerstats.SentRequest{Service: "s", Number: 1, Tokens: 0}, machine.Now())
	machine.Advance(2 * clock.Second)
	if r.reachesAllServices(machine.Now()) {
		t.Fatal("a silent runner is reach enough")
	}
}

func TestProbeSuspect_healthyRunnerIsCleared(t *testing.T) {
	cases := []struct {
		name   string
		status int
		head   http.Header
		well   bool
		cold   bool
	}{
		{"well", 200, http.Header{"Onyxwell-Server-Id": {"i"}}, true, false},
		{"well and cold", 200, http.Header{"Onyxwell-Server-Id": {"i"}, "Onyxwell-Cold-Ms": {"500"}}, true, true},
		{"full", 503, http.Header{"Onyxwell-Not-Run": {"1"}}, true, false},
		{"draining", 503, http.Header{"Onyxwell-Server-Id": {"i"}}, false, false},
		{"another life", 200, http.Header{"Onyxwell-Server-Id": {"j"}}, false, false},
	}
	for _, example := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/well" {
				t.Errorf("asked %s", request.URL.Path)
			}
			for name, values := range example.head {
				writer.Header()[name] = values
			}
			writer.WriteHeader(example.status)
		}))
		address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
		r, machine := newRouter(t, discovery.Runner{ID: "i", Service: "s", Zone: "n", Address: address})
		r.slowStart.Update([]slowstart.Runner{{ID: "i"}}, 0, machine.Now())
		r.stats.Suspect("i", machine.Now())
		client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}, MaxIdlePerHost: 1})
		r.probeSuspect(scope.New(scope.Options{Clock: machine}), client, "i")
		if well := !r.stats.State("i").Suspect; well != example.well || r.slowStart.Active("i", machine.Now()) != example.cold {
			t.Errorf("%s: well %v, cold %v", example.name, well, r.slowStart.Active("i", machine.Now()))
		}
		server.Close()
	}
	r, machine := newRouter(t)
	r.stats.Suspect("gone", machine.Now())
	r.probeSuspect(scope.New(scope.Options{Clock: machine}), http.DefaultClient, "gone")
	if len(r.stats.DueProbes(machine.Now(), clock.Second)) != 0 {
		t.Error("a runner that is listed no more is tested for ever")
	}
}

// TestBecomeReady_notWhileDraining has the door of a router open while it
// leaves already, as after a SIGTERM during its start.
func TestBecomeReady_notWhileDraining(t *testing.T) {
	r, _ := newRouter(t)
	if r.startDraining() != nil {
		t.Error("there is a server before there is a door")
	}
	r.becomeReady(&clientEndpoint{})
	if r.daemon.Membership.Self().Ready || r.endpoint != nil {
		t.Error("a leaving router is ready")
	}
	r, _ = newRouter(t)
	r.becomeReady(&clientEndpoint{})
	if !r.daemon.Membership.Self().Ready || r.startDraining() == nil || r.daemon.Membership.Self().Ready {
		t.Error("a router does not become ready, or stays so")
	}
}

package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/census"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/daemon"
	"onyxwell/control/spread"
	"onyxwell/data/metrics"
	"onyxwell/data/snapshot"
	"onyxwell/data/warmth"
)

const document = `{"config_version":1,"routes":[{"name":"a","hostname":"h","path_prefix":"/","give_up_ms":100,"service":"s"}],
 "services":[{"name":"s","health_path":"/well"},{"name":"unused"}]}`

func newRouter(t *testing.T, runners ...census.Runner) (*router, *clock.Fake) {
	t.Helper()
	machine := clock.NewFake()
	made := &router{board: metrics.NewBoard(), warmth: warmth.New(chance), pace: daemon.Pace{Connect: clock.Second}}
	made.common = &daemon.Daemon{Table: cohort.NewTable(machine, cohort.Member{Address: "self", Role: role, Region: "north"})}
	made.frame = snapshot.NewFrame(snapshot.Options{Clock: machine, Zones: map[ids.Zone]ids.Region{"n": "north", "s": "south"}})
	made.frame.Absorb(spread.Item{Key: "spec", Serial: 1, Body: []byte(document)})
	body, fault := courier.Pack(census.List{Runners: runners})
	if fault != nil {
		t.Fatal(fault)
	}
	made.frame.Absorb(spread.Item{Key: census.Key, Serial: 1, Body: body})
	return made, machine
}

func TestLostRegionIsDoubtedOnce(t *testing.T) {
	made, machine := newRouter(t, census.Runner{ID: "near", Service: "s", Zone: "n"}, census.Runner{ID: "far", Service: "s", Zone: "s"})
	members := []cohort.Member{{Address: "x", Region: "south", Incarnation: 1}, {Address: "y", Region: "south", Incarnation: 1}}
	made.common.Table.Merge(members)
	answered := made.doubtRegions(nil, machine.Now())
	if made.board.Look("far").Doubted {
		t.Fatal("doubted before anything was heard of the region")
	}
	made.common.Table.Judge("x", cohort.Suspect)
	answered = made.doubtRegions(answered, machine.Now())
	if made.board.Look("far").Doubted {
		t.Fatal("doubted while a daemon there answers")
	}
	made.common.Table.Judge("y", cohort.Removed)
	answered = made.doubtRegions(answered, machine.Now())
	if !made.board.Look("far").Doubted || made.board.Look("near").Doubted {
		t.Fatal("not the runners of the lost region are doubted")
	}
	made.board.Vouch("far", machine.Now())
	made.doubtRegions(answered, machine.Now())
	if made.board.Look("far").Doubted {
		t.Fatal("a runner that a test found well is doubted again")
	}
}

func TestReachIsOfEveryRoutedService(t *testing.T) {
	made, machine := newRouter(t, census.Runner{ID: "one", Service: "s", Zone: "n"}, census.Runner{ID: "two", Service: "s", Zone: "s", Draining: true})
	if !made.reaches(machine.Now()) {
		t.Fatal("a service without routes counts, or a ready runner does not")
	}
	made.board.Doubt("one", machine.Now())
	if made.reaches(machine.Now()) {
		t.Fatal("a doubted and a draining runner are reach enough")
	}
	made.board.Vouch("one", machine.Now())
	made.board.Sent("one", metrics.Sending{Service: "s", Number: 1, Tokens: 0}, machine.Now())
	machine.Move(2 * clock.Second)
	if made.reaches(machine.Now()) {
		t.Fatal("a silent runner is reach enough")
	}
}

func TestHealthEndsDoubt(t *testing.T) {
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
		made, machine := newRouter(t, census.Runner{ID: "i", Service: "s", Zone: "n", Address: address})
		made.warmth.List([]warmth.Entry{{ID: "i"}}, 0, machine.Now())
		made.board.Doubt("i", machine.Now())
		client := call.Client(call.Pooling{Dialing: call.Dialing{Limit: clock.Second, Silence: clock.Second}, PerHost: 1})
		made.test(scope.New(scope.Options{Clock: machine}), client, "i")
		if well := !made.board.Look("i").Doubted; well != example.well || made.warmth.Cold("i", machine.Now()) != example.cold {
			t.Errorf("%s: well %v, cold %v", example.name, well, made.warmth.Cold("i", machine.Now()))
		}
		server.Close()
	}
	made, machine := newRouter(t)
	made.board.Doubt("gone", machine.Now())
	made.test(scope.New(scope.Options{Clock: machine}), http.DefaultClient, "gone")
	if len(made.board.Due(machine.Now(), clock.Second)) != 0 {
		t.Error("a runner that is listed no more is tested for ever")
	}
}

package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/daemon"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/rollout"
	"onyxwell/control/transport"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

const configDocument = `{"config_version":1,"routes":[{"name":"a","hostname":"h","path_prefix":"/","give_up_ms":100,"service":"s"}],
 "services":[{"name":"s","health_path":"/well"},{"name":"unused"}]}`

// newRouter returns a router with a configuration and the given runners, and its fake
// clock. It has no proxy and sends nothing to other daemons.
func newRouter(t *testing.T, runners ...discovery.Runner) (*Router, *clock.Fake) {
	t.Helper()
	r, fakeClock := newEmptyRouter()
	r.snapshots.Apply(gossip.Item{Key: "spec", Version: 1, Body: []byte(configDocument)})
	r.publishRunners(t, 1, runners...)
	return r, fakeClock
}

// newEmptyRouter returns a router without a configuration and without runners, whose
// process was restarted.
func newEmptyRouter() (*Router, *clock.Fake) {
	fakeClock := clock.NewFake()
	r := &Router{
		clock: fakeClock, timing: daemon.Timing{ConnectTimeout: time.Second}, settings: &settings.Settings{Region: "north"},
		stats: runnerstats.New(), checksDue: make(chan struct{}, 1),
	}
	r.daemon = &daemon.Daemon{Membership: membership.NewTable(fakeClock, membership.Member{Address: "self", Role: Role, Region: "north"})}
	r.trackRunners(snapshot.Options{
		Clock: fakeClock, Zones: map[ids.Zone]ids.Region{"n": "north", "d": "north", "s": "south"}, TracksVersions: true,
	})
	return r, fakeClock
}

// publishRunners gossips a list of runners to a router.
func (r *Router) publishRunners(t *testing.T, version ids.Version, runners ...discovery.Runner) {
	t.Helper()
	body, err := transport.Marshal(discovery.List{Runners: runners})
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots.Apply(gossip.Item{Key: discovery.ZoneKey("all"), Version: version, Body: body})
}

func TestReachesAllServices_everyRoutedService(t *testing.T) {
	r, fakeClock := newRouter(t, discovery.Runner{ID: "one", Service: "s", Zone: "n"}, discovery.Runner{ID: "two", Service: "s", Zone: "s", Draining: true})
	if !r.reachesAllServices(fakeClock.Now()) {
		t.Fatal("a service without routes is required, or a ready runner does not count as reachable")
	}
	r.stats.Suspect("one", fakeClock.Now())
	if r.reachesAllServices(fakeClock.Now()) {
		t.Fatal("a suspected or a draining runner counts as reachable")
	}
	r.stats.ClearSuspicion("one", fakeClock.Now())
	r.lostZones.update(map[ids.Zone]bool{"n": true}, fakeClock.Now())
	if r.reachesAllServices(fakeClock.Now()) {
		t.Fatal("a runner of a lost zone counts as reachable")
	}
	r.lostZones.remove("n")
	r.stats.RequestSent("one", runnerstats.SentRequest{Service: "s", Number: 1, Tokens: 0}, fakeClock.Now())
	fakeClock.Advance(2 * time.Second)
	if r.reachesAllServices(fakeClock.Now()) {
		t.Fatal("a silent runner counts as reachable")
	}
}

// TestReachesAllServices_notByRevertedVersions guards against a router that counts as able to
// serve a service of which only runners of a reverted version are left.
func TestReachesAllServices_notByRevertedVersions(t *testing.T) {
	r, fakeClock := newRouter(t, discovery.Runner{ID: "one", Service: "s", Zone: "n", Version: "v2"})
	body, err := transport.Marshal(rollout.Record{Version: 1, Order: 2, Target: "v3", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}})
	if err != nil {
		t.Fatal(err)
	}
	if !r.reachesAllServices(fakeClock.Now()) {
		t.Fatal("the only version does not count as reachable")
	}
	r.snapshots.Apply(gossip.Item{Key: rollout.Key("s"), Version: 1, Body: body})
	if r.reachesAllServices(fakeClock.Now()) {
		t.Error("a runner of a reverted version counts as reachable")
	}
}

func TestProbeSuspect_healthyRunnerIsCleared(t *testing.T) {
	cases := []struct {
		name    string
		status  int
		header  http.Header
		cleared bool
		warming bool
	}{
		{"healthy", 200, http.Header{"Onyxwell-Server-Id": {"i"}}, true, false},
		{"healthy and warming up", 200, http.Header{"Onyxwell-Server-Id": {"i"}, "Onyxwell-Cold-Ms": {"500"}}, true, true},
		{"full", 503, http.Header{"Onyxwell-Not-Run": {"1"}}, true, false},
		{"draining", 503, http.Header{"Onyxwell-Server-Id": {"i"}}, false, false},
		{"another incarnation", 200, http.Header{"Onyxwell-Server-Id": {"j"}}, false, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				if req.URL.Path != "/well" {
					t.Errorf("got a request for %s, want /well", req.URL.Path)
				}
				respondWith(w, tc.status, tc.header)
			}))
			defer server.Close()
			address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
			r, fakeClock := newRouter(t, discovery.Runner{ID: "i", Service: "s", Zone: "n", Address: address})
			r.slowStart.Update([]slowstart.Runner{{ID: "i"}}, 0, fakeClock.Now())
			r.stats.Suspect("i", fakeClock.Now())
			client := httpcall.NewClient(httpcall.ClientOptions{Dialer: httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}, MaxIdlePerHost: 1})
			r.probeSuspect(context.Background(), client, "i")
			if cleared := !r.stats.State("i").Suspect; cleared != tc.cleared || r.slowStart.Active("i", fakeClock.Now()) != tc.warming {
				t.Errorf("got cleared %v and in slow start %v", cleared, r.slowStart.Active("i", fakeClock.Now()))
			}
		})
	}
	r, fakeClock := newRouter(t)
	r.stats.Suspect("gone", fakeClock.Now())
	r.probeSuspect(context.Background(), http.DefaultClient, "gone")
	if len(r.stats.DueProbes(fakeClock.Now(), time.Second)) != 0 {
		t.Error("a runner that is no longer listed is still probed")
	}
}

// TestBecomeReady_notWhileDraining checks that a router does not become ready if it starts
// to drain before it listens for clients, as after a SIGTERM during its start.
func TestBecomeReady_notWhileDraining(t *testing.T) {
	r, _ := newRouter(t)
	if r.startDraining() != nil {
		t.Error("the router has an endpoint before it is ready")
	}
	r.becomeReady(&clientEndpoint{})
	if r.daemon.Membership.Self().Ready || r.endpoint != nil {
		t.Error("a draining router becomes ready")
	}
	r, _ = newRouter(t)
	r.becomeReady(&clientEndpoint{})
	if !r.daemon.Membership.Self().Ready || r.startDraining() == nil || r.daemon.Membership.Self().Ready {
		t.Error("a router does not become ready, or stays ready while it drains")
	}
}

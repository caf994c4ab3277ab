package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
	"onyxwell/data/balancer"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
	"onyxwell/data/upstreamtest"
)

const configDocument = `{"config_version":%d,"routes":[
 {"name":"plain","hostname":"shop.example","path_prefix":"/safe/","type":"safe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"once","hostname":"shop.example","path_prefix":"/once/","type":"unsafe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"again","hostname":"shop.example","path_prefix":"/again/","type":"streaming","resumable":true,"sticky":true,"give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"stream","hostname":"shop.example","path_prefix":"/stream/","type":"streaming","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"home","hostname":"shop.example","path_prefix":"/home/","type":"safe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3,"home_regions":["south"]}],
 "services":[{"name":"desk","health_path":"/health","max_conns":100,"warmup_s":3,"cold_per_s":10}],
 "limits":{"max_header_bytes":2000,"max_body_bytes":100,"header_wait_ms":3000,"idle_ms":15000}}`

// testProxy is a router's data plane between scripted runners and a visitor.
type testProxy struct {
	t          testing.TB
	clock      *clock.Fake
	snapshots  *snapshot.Store
	updates    *gossip.Store
	stats      *runnerstats.Collector
	proxy      *Proxy
	server     *httptest.Server
	log        *logtest.Buffer
	runners    []discovery.Runner
	listSerial ids.Serial
}

func newTestProxy(t testing.TB, extra float64, runners ...*upstreamtest.Runner) *testProxy {
	t.Helper()
	return newTestProxyWithSettings(t, &settings.Settings{}, extra, runners...)
}

// newTestProxyWithSettings makes a house on a machine of those settings.
func newTestProxyWithSettings(t testing.TB, settings *settings.Settings, extra float64, runners ...*upstreamtest.Runner) *testProxy {
	t.Helper()
	machine := clock.NewFake()
	made := &testProxy{t: t, clock: machine, stats: runnerstats.New(), log: &logtest.Buffer{}}
	top := scope.New(scope.Options{Clock: machine, Settings: settings, Log: scope.NewLogger("warn", made.log)})
	made.snapshots = snapshot.NewStore(snapshot.Options{Clock: machine, Zones: map[ids.Zone]ids.Region{"n": "north", "s": "south"}})
	made.updates = gossip.NewStore(made.snapshots.Apply)
	one := func() int { return 1 }
	cold := slowstart.New(func() float64 { return 0 })
	gate := balancer.New(balancer.Options{
		Scope: top, Snapshots: made.snapshots, Stats: made.stats, SlowStart: cold, Region: "north", RouterCount: one,
		SlowStartSharers: func(ids.Zone) int { return 1 },
		Random:           func() float64 { return 0 },
		RetryBudget:      retrybudget.New(retrybudget.Options{Ratio: 0, Reserve: extra, Window: 10 * clock.Second, Routers: one}),
	})
	sender := upstream.NewClient(upstream.Options{
		Clock: machine, Dialing: httpcall.Dialer{Timeout: 5 * clock.Second, UserTimeout: 5 * clock.Second}, IdleTimeout: 60 * clock.Second, MaxIdlePerHost: 4,
	})
	made.proxy = New(Options{Scope: top, Snapshots: made.snapshots, Balancer: gate, Stats: made.stats, SlowStart: cold, Upstream: sender})
	made.server = httptest.NewUnstartedServer(made.proxy)
	made.server.Listener = NewListener(made.proxy, made.server.Listener)
	made.server.Config = NewServer(made.proxy)
	made.server.Start()
	t.Cleanup(made.server.Close)
	made.setConfig(1, configDocument)
	for index, runner := range runners {
		zone := ids.Zone("n")
		made.runners = append(made.runners, discovery.Runner{
			ID: ids.RunnerID(fmt.Sprintf("i-%d", index+1)), Service: "desk", Address: runner.Address, Zone: zone, Capacity: 4,
		})
	}
	made.publishRunners()
	return made
}

func (t *testProxy) setConfig(serial int, text string) {
	t.updates.Put(gossip.Item{Key: "spec", Version: ids.Serial(serial), Body: []byte(fmt.Sprintf(text, serial))})
}

func (t *testProxy) publishRunners() {
	t.listSerial++
	body, err := transport.Marshal(discovery.List{Runners: t.runners})
	if err != nil {
		t.t.Fatal(err)
	}
	t.updates.Put(gossip.Item{Key: discovery.ZoneKey("all"), Version: t.listSerial, Body: body})
}

func (t *testProxy) setEvacuated(zone ids.Zone, serial ids.Serial, empty bool) {
	body, err := transport.Marshal(evacuation.State{Version: serial, Drained: empty})
	if err != nil {
		t.t.Fatal(err)
	}
	t.updates.Put(gossip.Item{Key: evacuation.Key(zone), Version: serial, Body: body})
}

type clientResponse struct {
	status int
	closes bool
	header http.Header
	body   string
	err    error
}

// do sends a visitor's request and reads the answer to its end.
func (t *testProxy) do(path string, body string, heads ...string) clientResponse {
	t.t.Helper()
	request, err := http.NewRequest("POST", t.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.t.Fatal(err)
	}
	request.Host = "shop.example"
	request.Header.Set("Onyxwell-Attempt-Id", "v1")
	request.Header.Set("Onyxwell-Time-Left-Ms", "4000")
	for index := 0; index+1 < len(heads); index += 2 {
		request.Header.Set(heads[index], heads[index+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return clientResponse{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return clientResponse{status: response.StatusCode, closes: response.Close, header: response.Header, body: string(text), err: err}
}

func countRequests(runners ...*upstreamtest.Runner) int {
	count := 0
	for _, runner := range runners {
		count += len(runner.Requests())
	}
	return count
}

package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/transport"
	"onyxwell/data/balancer"
	"onyxwell/data/ratelimit"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
	"onyxwell/data/upstreamtest"
)

// configDocument is the default configuration of the tests, with a verb for its
// version.
const configDocument = `{"config_version":%d,"routes":[
 {"name":"plain","hostname":"shop.example","path_prefix":"/safe/","type":"safe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"once","hostname":"shop.example","path_prefix":"/once/","type":"unsafe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"again","hostname":"shop.example","path_prefix":"/again/","type":"streaming","resumable":true,"sticky":true,"give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"stream","hostname":"shop.example","path_prefix":"/stream/","type":"streaming","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3},
 {"name":"home","hostname":"shop.example","path_prefix":"/home/","type":"safe","give_up_ms":5000,"goal_ms":400,"service":"desk","tries":3,"home_regions":["south"]}],
 "services":[{"name":"desk","health_path":"/health","max_conns":100,"warmup_s":3,"cold_per_s":10}],
 "limits":{"max_header_bytes":2000,"max_body_bytes":100,"header_wait_ms":3000,"idle_ms":15000}}`

// testProxy is a proxy with its data plane between scripted runners and a client,
// on a fake clock that advances only when the test does so.
type testProxy struct {
	t           testing.TB
	clock       *clock.Fake
	snapshots   *snapshot.Store
	updates     *gossip.Store
	stats       *runnerstats.Collector
	slowStart   *slowstart.Tracker
	proxy       *Proxy
	server      *httptest.Server
	log         *logtest.Buffer
	runners     []discovery.Runner
	listVersion ids.Version
}

// newTestProxy returns a testProxy whose retry budget consists only of the reserve.
func newTestProxy(t testing.TB, retryReserve float64, runners ...*upstreamtest.Runner) *testProxy {
	t.Helper()
	return newTestProxyWithSettings(t, &settings.Settings{}, retryReserve, runners...)
}

// newTestProxyWithSettings returns a testProxy with the resource limits of the
// settings.
func newTestProxyWithSettings(t testing.TB, settings *settings.Settings, retryReserve float64, runners ...*upstreamtest.Runner) *testProxy {
	t.Helper()
	fakeClock := clock.NewFake()
	p := &testProxy{t: t, clock: fakeClock, stats: runnerstats.New(), log: &logtest.Buffer{}}
	p.snapshots = snapshot.NewStore(snapshot.Options{Clock: fakeClock, Zones: map[ids.Zone]ids.Region{"n": "north", "s": "south"}})
	p.updates = gossip.NewStore(p.snapshots.Apply)
	one := func() int { return 1 }
	slowStart := slowstart.New(func() float64 { return 0 })
	p.slowStart = slowStart
	lb := balancer.New(balancer.Options{
		Clock: fakeClock, Snapshots: p.snapshots, Stats: p.stats, SlowStart: slowStart, Region: "north", RouterCount: one,
		SlowStartRouters: func(ids.Zone) int { return 1 },
		Random:           func() float64 { return 0 },
		RetryBudget:      retrybudget.New(retrybudget.Options{Ratio: 0, Reserve: retryReserve, Window: 10 * time.Second, Routers: one}),
	})
	client := upstream.NewClient(upstream.Options{
		Clock: fakeClock, Dialer: httpcall.Dialer{Timeout: 5 * time.Second, UserTimeout: 5 * time.Second}, IdleTimeout: 60 * time.Second, MaxIdlePerHost: 4,
	})
	p.proxy = New(Options{Clock: fakeClock, Log: scope.NewLogger("warn", p.log), Limits: settings.Limits, Snapshots: p.snapshots, Balancer: lb, Stats: p.stats, SlowStart: slowStart, Upstream: client,
		Limiter: ratelimit.NewDetached(fakeClock, func() *config.Config { return p.snapshots.Current().Config }, func() float64 { return 0.5 })})
	p.server = httptest.NewUnstartedServer(p.proxy)
	p.server.Listener = NewListener(p.proxy, p.server.Listener)
	p.server.Config = NewServer(p.proxy)
	p.server.Start()
	t.Cleanup(p.server.Close)
	p.setConfig(1, configDocument)
	for i, runner := range runners {
		zone := ids.Zone("n")
		p.runners = append(p.runners, discovery.Runner{
			ID: ids.RunnerID(fmt.Sprintf("i-%d", i+1)), Service: "desk", Address: runner.Address, Zone: zone, Capacity: 4,
		})
	}
	p.publishRunners()
	return p
}

// setConfig publishes a configuration. format is its document with a verb for the
// version.
func (p *testProxy) setConfig(version int, format string) {
	p.updates.Put(gossip.Item{Key: "spec", Version: ids.Version(version), Body: []byte(fmt.Sprintf(format, version))})
}

// publishRunners publishes p.runners as the list of discovered runners.
func (p *testProxy) publishRunners() {
	p.t.Helper()
	p.listVersion++
	body, err := transport.Marshal(discovery.List{Runners: p.runners})
	if err != nil {
		p.t.Fatal(err)
	}
	p.updates.Put(gossip.Item{Key: discovery.ZoneKey("all"), Version: p.listVersion, Body: body})
}

// setLostZones publishes which zones the router's zone gets no response from.
func (p *testProxy) setLostZones(version ids.Version, zones ...ids.Zone) {
	p.t.Helper()
	body, err := transport.Marshal(zonesummary.LostZones{Zones: zones})
	if err != nil {
		p.t.Fatal(err)
	}
	p.updates.Put(gossip.Item{Key: zonesummary.LostZonesKey("n"), Version: version, Body: body})
}

// setEvacuated publishes whether a zone is evacuated.
func (p *testProxy) setEvacuated(zone ids.Zone, version ids.Version, drained bool) {
	p.t.Helper()
	body, err := transport.Marshal(evacuation.State{Version: version, Drained: drained})
	if err != nil {
		p.t.Fatal(err)
	}
	p.updates.Put(gossip.Item{Key: evacuation.Key(zone), Version: version, Body: body})
}

// clientResponse is the response that a client received, or the error.
type clientResponse struct {
	status int
	closes bool
	header http.Header
	body   string
	err    error
}

// do sends a request and reads the response to its end. headers alternates names
// and values.
func (p *testProxy) do(path string, body string, headers ...string) clientResponse {
	p.t.Helper()
	req, err := http.NewRequest("POST", p.server.URL+path, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	req.Host = "shop.example"
	req.Header.Set("Onyxwell-Attempt-Id", "v1")
	req.Header.Set("Onyxwell-Time-Left-Ms", "4000")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return clientResponse{err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	return clientResponse{status: resp.StatusCode, closes: resp.Close, header: resp.Header, body: string(content), err: err}
}

// countRequests returns how many requests arrived at the runners in total.
func countRequests(runners ...*upstreamtest.Runner) int {
	count := 0
	for _, runner := range runners {
		count += len(runner.Requests())
	}
	return count
}

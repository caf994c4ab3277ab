package discovery

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

const serverJSON = `{"service":"s","address":"10.0.0.%d:80","zone":"%s","config_version":"v1","capacity":8,"condition":"%s","cold_left_ms":%d,"id":"i-%d"}`

// fakePlatform serves a list with one runner per page.
type fakePlatform struct {
	mu    sync.Mutex
	clock *clock.Fake
	// zones holds the zone of each runner.
	zones        []string
	condition    string
	warmupLeftMS int
	// down says that every call is rejected with status 429.
	down bool
	// pageDelay is the time that the clock advances per page of the whole list.
	pageDelay time.Duration
	// calls holds the URIs requested since the last takeCalls.
	calls []string
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, req.URL.RequestURI())
	zone := req.URL.Query().Get("zone")
	f.clock.Advance(f.pageTime(zone))
	if f.down {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	var runners []int
	for number, runnerZone := range f.zones {
		if zone == "" || zone == runnerZone {
			runners = append(runners, number)
		}
	}
	first, _ := strconv.Atoi(strings.TrimPrefix(req.URL.Query().Get("page_token"), "p "))
	if first >= len(runners) {
		fmt.Fprint(w, `{"servers":[],"next_token":null}`)
		return
	}
	next, number := "null", runners[first]
	if first+1 < len(runners) {
		next = fmt.Sprintf("%q", fmt.Sprint("p ", first+1))
	}
	fmt.Fprintf(w, `{"servers":[`+serverJSON+`],"next_token":%s}`, number, f.zones[number], f.condition, f.warmupLeftMS, number, next)
}

// pageTime returns the time by which a page advances the clock. Zones are read
// concurrently, so a page of one zone advances it by only 1/fixtureZones of
// pageDelay. Otherwise the page that is served last would time out because of the
// time that the pages of the other zones added to the clock.
func (f *fakePlatform) pageTime(zone string) time.Duration {
	if zone == "" {
		return f.pageDelay
	}
	return f.pageDelay / fixtureZones
}

// takeCalls returns the URIs requested since the last takeCalls, sorted.
func (f *fakePlatform) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	slices.Sort(calls)
	return calls
}

// fixtureZones is the number of zones that a publisherFixture reads concurrently.
const fixtureZones = 3

// publisherFixture is a publisher that holds the lease under epoch 3, and a platform
// that lists two runners in zone a and one in zone b.
type publisherFixture struct {
	*Publisher
	platform *fakePlatform
	clock    *clock.Fake
}

func newPublisherFixture(t *testing.T) *publisherFixture {
	t.Helper()
	fake := clock.NewFake()
	platform := &fakePlatform{clock: fake, zones: []string{"a", "a", "b"}, condition: "ready"}
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	publisher := &Publisher{
		Platform: &PlatformClient{
			HTTP: server.Client(), Address: ids.Address(strings.TrimPrefix(server.URL, "http://")), Clock: fake,
			Zones: []ids.Zone{"a", "b", "c"}, Interval: time.Second,
		},
		Updates: gossip.NewStore(nil), Clock: fake, Log: scope.New(scope.Options{}).Log, RatePerS: 100,
		Held:     func(clock.Instant) (int64, bool) { return 3, true },
		Interval: time.Second, HeartbeatInterval: 2 * time.Second,
	}
	return &publisherFixture{Publisher: publisher, platform: platform, clock: fake}
}

func (p *publisherFixture) poll() { p.Poll(context.Background()) }

// publishedList returns a zone's published list and its serial.
func (p *publisherFixture) publishedList(t *testing.T, zone ids.Zone) (List, ids.Version) {
	t.Helper()
	item, ok := p.Updates.Get(ZoneKey(zone))
	list, err := transport.Unmarshal[List](item.Body)
	if !ok || err != nil {
		t.Fatalf("list of zone %s: in store %v, decoding error %v", zone, ok, err)
	}
	return list, item.Version
}

func (p *publisherFixture) heartbeatSerial() ids.Version {
	item, _ := p.Updates.Get(HeartbeatKey)
	return item.Version
}

func (p *publisherFixture) expectDelay(t *testing.T, step string, want time.Duration) {
	t.Helper()
	if delay := p.delay(); delay != want {
		t.Fatalf("%s: delay %v, want %v", step, delay, want)
	}
}

func TestPublisher_publishesListPerZone(t *testing.T) {
	f := newPublisherFixture(t)
	f.poll()
	for zone, want := range map[ids.Zone]int{"a": 2, "b": 1, "c": 0} {
		if list, _ := f.publishedList(t, zone); len(list.Runners) != want {
			t.Errorf("zone %s: wrong number of runners: %+v", zone, list)
		}
	}
	if list, _ := f.publishedList(t, "a"); list.Runners[1].ID != "i-1" || list.Runners[1].Draining || list.Runners[0].Capacity != 8 {
		t.Errorf("zone a: want a ready second runner i-1 and capacity 8, got %+v", list)
	}
	if calls := f.platform.takeCalls(); len(calls) != 3 {
		t.Errorf("short list not read as a whole with one call per page: %v", calls)
	}
}

// TestPublisher_readsLongListByZone makes pages so slow that a read of the whole
// list takes more than half an interval, so that the next read is by zone.
func TestPublisher_readsLongListByZone(t *testing.T) {
	f := newPublisherFixture(t)
	f.platform.zones = []string{"a", "a", "b", "b", "d"}
	f.platform.pageDelay = 150 * time.Millisecond
	f.poll()
	before, serial := f.publishedList(t, "a")
	f.platform.takeCalls()
	f.poll()
	want := []string{"/servers?page_token=p+1&zone=a", "/servers?page_token=p+1&zone=b",
		"/servers?zone=a", "/servers?zone=b", "/servers?zone=c", "/servers?zone=d"}
	if calls := f.platform.takeCalls(); !slices.Equal(calls, want) {
		t.Fatalf("want one call for each page of each zone, got %v", calls)
	}
	if after, serialAfter := f.publishedList(t, "a"); serialAfter != serial || !after.equivalent(before) {
		t.Fatal("an unchanged list was published again after it was read by zone")
	}
	f.expectDelay(t, "first read by zone", time.Second)
	f.Platform.LastPages = 100
	f.expectDelay(t, "100 pages at 100 calls a second", 2*time.Second)
	for range unchangedThreshold {
		f.poll()
	}
	f.Platform.LastPages = 6
	f.expectDelay(t, "long list without a change", time.Second)
	f.platform.down = true
	f.poll()
	if _, serialAfter := f.publishedList(t, "a"); serialAfter != serial {
		t.Fatal("a list was published after a failed poll")
	}
}

// TestPublisher_continuesTimedOutReadByZone checks that a poll whose read of the
// whole list times out goes on by reading zone by zone.
func TestPublisher_continuesTimedOutReadByZone(t *testing.T) {
	f := newPublisherFixture(t)
	f.platform.zones = []string{"a", "a", "a", "b", "b", "b", "c"}
	f.platform.pageDelay = 150 * time.Millisecond
	started := f.clock.Now()
	f.poll()
	if list, _ := f.publishedList(t, "a"); len(list.Runners) != 3 || !f.Platform.ByZone() {
		t.Fatalf("zone a not read by zone, want 3 runners; poll took %v: %+v", f.clock.Now().Since(started), list)
	}
}

func TestPublisher_publishesOnlyChanges(t *testing.T) {
	f := newPublisherFixture(t)
	f.poll()
	_, first := f.publishedList(t, "a")
	heartbeat := f.heartbeatSerial()
	f.poll()
	if _, again := f.publishedList(t, "a"); again != first || f.heartbeatSerial() != heartbeat {
		t.Fatal("an unchanged list or a heartbeat was published before HeartbeatInterval")
	}
	f.clock.Advance(2 * time.Second)
	f.poll()
	if _, again := f.publishedList(t, "a"); again != first || f.heartbeatSerial() <= heartbeat {
		t.Fatal("no heartbeat after HeartbeatInterval, or an unchanged list was published with it")
	}
	f.platform.condition = "draining"
	f.poll()
	if _, changed := f.publishedList(t, "a"); changed <= first {
		t.Fatal("the list was not published by the first poll after a runner began to drain")
	}
	for range unchangedThreshold {
		f.expectDelay(t, "few polls without a change", time.Second)
		f.poll()
	}
	f.expectDelay(t, "many polls without a change", unchangedBackoff*time.Second)
}

func TestPublisher_overridesPreviousHolder(t *testing.T) {
	f := newPublisherFixture(t)
	f.Updates.Put(gossip.Item{Key: ZoneKey("gone"), Version: FencedSerial(2, 7), Body: []byte("another's")})
	f.poll()
	if list, _ := f.publishedList(t, "gone"); len(list.Runners) != 0 {
		t.Fatal("a zone that the platform no longer lists keeps its runners")
	}
	_, first := f.publishedList(t, "a")
	f.Updates.Put(gossip.Item{Key: ZoneKey("a"), Version: FencedSerial(3, 9), Body: []byte("another's")})
	f.sequence = 20
	f.poll()
	if list, last := f.publishedList(t, "a"); last <= first || len(list.Runners) != 2 {
		t.Fatalf("another holder's list was not replaced: %+v", list)
	}
}

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

// fakePlatform serves a list with one runner a page.
type fakePlatform struct {
	mu    sync.Mutex
	clock *clock.Fake
	// zones gives the zone of each runner.
	zones        []string
	condition    string
	warmupLeftMS int
	// down has each call rejected.
	down bool
	// pageDelay is how long a page takes on the clock.
	pageDelay time.Duration
	calls     []string
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

// pageTime is how far a page moves the clock. Zones are read at the same time, so that the
// pages of all zones together take as long as those of one: else a page that is served
// after all others times out by the time that these took.
func (f *fakePlatform) pageTime(zone string) time.Duration {
	if zone == "" {
		return f.pageDelay
	}
	return f.pageDelay / fixtureZones
}

// takeCalls gives the sorted calls since the last takeCalls.
func (f *fakePlatform) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := f.calls
	f.calls = nil
	slices.Sort(calls)
	return calls
}

// fixtureZones is how many zones a publisherFixture reads at the same time.
const fixtureZones = 3

// publisherFixture is a publisher that holds the lease under epoch 3, with a
// platform that lists two runners in zone a and one in zone b.
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

// publishedList gives a zone's list as published, and its serial.
func (p *publisherFixture) publishedList(t *testing.T, zone ids.Zone) (List, ids.Version) {
	t.Helper()
	item, ok := p.Updates.Get(ZoneKey(zone))
	list, err := transport.Unmarshal[List](item.Body)
	if !ok || err != nil {
		t.Fatalf("list of %s: published %v, %v", zone, ok, err)
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
			t.Errorf("zone %s: %+v", zone, list)
		}
	}
	if list, _ := f.publishedList(t, "a"); list.Runners[1].ID != "i-1" || list.Runners[1].Draining || list.Runners[0].Capacity != 8 {
		t.Errorf("%+v", list)
	}
	if calls := f.platform.takeCalls(); len(calls) != 3 {
		t.Errorf("short list not read as a whole: %v", calls)
	}
}

// TestPublisher_readsLongListByZone has pages take so long that a read of the
// whole takes more than half of the interval.
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
		t.Fatalf("%v", calls)
	}
	if after, serialAfter := f.publishedList(t, "a"); serialAfter != serial || !after.equivalent(before) {
		t.Fatal("an unchanged list was published again because it was read by zone")
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
		t.Fatal("a failed poll was published")
	}
}

// TestPublisher_continuesTimedOutReadByZone has a read of the whole run out of
// time: the same poll goes on by zone.
func TestPublisher_continuesTimedOutReadByZone(t *testing.T) {
	f := newPublisherFixture(t)
	f.platform.zones = []string{"a", "a", "a", "b", "b", "b", "c"}
	f.platform.pageDelay = 150 * time.Millisecond
	started := f.clock.Now()
	f.poll()
	if list, _ := f.publishedList(t, "a"); len(list.Runners) != 3 || !f.Platform.ByZone() {
		t.Fatalf("after %v: %+v", f.clock.Now().Since(started), list)
	}
}

func TestPublisher_publishesOnlyChanges(t *testing.T) {
	f := newPublisherFixture(t)
	f.poll()
	_, first := f.publishedList(t, "a")
	heartbeat := f.heartbeatSerial()
	f.poll()
	if _, again := f.publishedList(t, "a"); again != first || f.heartbeatSerial() != heartbeat {
		t.Fatal("an unchanged list was published at once")
	}
	f.clock.Advance(2 * time.Second)
	f.poll()
	if _, again := f.publishedList(t, "a"); again != first || f.heartbeatSerial() <= heartbeat {
		t.Fatal("no heartbeat after its interval")
	}
	f.platform.condition = "draining"
	f.poll()
	if _, changed := f.publishedList(t, "a"); changed <= first {
		t.Fatal("a draining runner was not published at once")
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
		t.Fatal("a zone that the platform no longer names keeps its runners")
	}
	_, first := f.publishedList(t, "a")
	f.Updates.Put(gossip.Item{Key: ZoneKey("a"), Version: FencedSerial(3, 9), Body: []byte("another's")})
	f.sequence = 20
	f.poll()
	if list, last := f.publishedList(t, "a"); last <= first || len(list.Runners) != 2 {
		t.Fatalf("another holder's list stays: %+v", list)
	}
}

package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

const serverJSON = `{"service":"s","address":"10.0.0.%d:80","zone":"%s","config_version":"v1","capacity":8,"condition":"%s","cold_left_ms":%d,"id":"i-%d"}`

// fakePlatform is a scripted platform with one runner a page: two in zone a, one in
// zone b.
type fakePlatform struct {
	mu           sync.Mutex
	condition    string
	warmupLeftMS int
	down         bool
	calls        []string
	// pageDelay is how long a page takes on the clock.
	pageDelay clock.Span
	clock     *clock.Fake
}

var runnerZones = []string{"a", "a", "b"}

func (f *fakePlatform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, request.URL.RequestURI())
	f.clock.Advance(f.pageDelay)
	if f.down {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	zone := request.URL.Query().Get("zone")
	var found []int
	for number, place := range runnerZones {
		if zone == "" || zone == place {
			found = append(found, number)
		}
	}
	first, _ := strconv.Atoi(strings.TrimPrefix(request.URL.Query().Get("page_token"), "p "))
	if first >= len(found) {
		fmt.Fprint(writer, `{"servers":[],"next_token":null}`)
		return
	}
	next, number := "null", found[first]
	if first+1 < len(found) {
		next = fmt.Sprintf("%q", fmt.Sprint("p ", first+1))
	}
	fmt.Fprintf(writer, `{"servers":[`+serverJSON+`],"next_token":%s}`, number, runnerZones[number], f.condition, f.warmupLeftMS, number, next)
}

func (f *fakePlatform) takeCalls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := f.calls
	f.calls = nil
	slices.Sort(asked)
	return asked
}

func newPublisher(t *testing.T) (*Publisher, *fakePlatform, scope.Scope, *clock.Fake) {
	t.Helper()
	machine := clock.NewFake()
	played := &fakePlatform{condition: "ready", clock: machine}
	server := httptest.NewServer(played)
	t.Cleanup(server.Close)
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	settings := &settings.Settings{Platform: settings.Platform{Address: address, RatePerS: 100}}
	reader := &Publisher{
		Platform: &PlatformClient{HTTP: server.Client(), Address: address, Zones: []ids.Zone{"a", "b", "c"}, Interval: clock.Second},
		Updates:  gossip.NewStore(nil), Interval: clock.Second, HeartbeatInterval: 2 * clock.Second,
		Held: func(clock.Instant) (int64, bool) { return 3, true },
	}
	return reader, played, scope.New(scope.Options{Clock: machine, Settings: settings}), machine
}

func publishedList(t *testing.T, news *gossip.Store, zone ids.Zone) (List, ids.Serial) {
	t.Helper()
	item, found := news.Get(ZoneKey(zone))
	list, err := transport.Unmarshal[List](item.Body)
	if !found || err != nil {
		t.Fatalf("part of %s: %v %v", zone, found, err)
	}
	return list, item.Version
}

func TestPublisher_publishesListPerZone(t *testing.T) {
	reader, played, top, _ := newPublisher(t)
	reader.Poll(top)
	for zone, want := range map[ids.Zone]int{"a": 2, "b": 1, "c": 0} {
		if list, _ := publishedList(t, reader.Updates, zone); len(list.Runners) != want {
			t.Errorf("zone %s: %+v", zone, list)
		}
	}
	if list, _ := publishedList(t, reader.Updates, "a"); list.Runners[1].ID != "i-1" || list.Runners[1].Draining || list.Runners[0].Capacity != 8 {
		t.Errorf("%+v", list)
	}
	if asked := played.takeCalls(); len(asked) != 3 {
		t.Errorf("a short list is read as a whole: %v", asked)
	}
}

// TestPublisher_readsLongListByZone has pages take so long that a whole reading takes more
// than half of the time for one.
func TestPublisher_readsLongListByZone(t *testing.T) {
	reader, played, top, _ := newPublisher(t)
	long := runnerZones
	defer func() { runnerZones = long }()
	runnerZones = []string{"a", "a", "b", "b", "d"}
	played.pageDelay = 150 * clock.Millisecond
	reader.Poll(top)
	before, serial := publishedList(t, reader.Updates, "a")
	played.takeCalls()
	reader.Poll(top)
	want := []string{"/servers?page_token=p+1&zone=a", "/servers?page_token=p+1&zone=b",
		"/servers?zone=a", "/servers?zone=b", "/servers?zone=c", "/servers?zone=d"}
	if asked := played.takeCalls(); !slices.Equal(asked, want) {
		t.Fatalf("%v", asked)
	}
	if after, again := publishedList(t, reader.Updates, "a"); again != serial || !after.equivalent(before) {
		t.Fatal("the same part is news because it was read by zone")
	}
	if pause := reader.delay(top); pause != clock.Second {
		t.Fatalf("a pause of %v", pause)
	}
	reader.Platform.LastPages = 100
	if pause := reader.delay(top); pause != 2*clock.Second {
		t.Fatalf("100 calls at 100 a second: a pause of %v", pause)
	}
	for range unchangedThreshold {
		reader.Poll(top)
	}
	reader.Platform.LastPages = 6
	if pause := reader.delay(top); pause != clock.Second {
		t.Fatalf("a long list is read each %v while nothing changes", pause)
	}
	played.down = true
	reader.Poll(top)
	if _, again := publishedList(t, reader.Updates, "a"); again != serial {
		t.Fatal("a reading that failed is told")
	}
}

// TestPublisher_continuesTimedOutReadByZone has the whole reading run out of time:
// the same reading goes on by zone.
func TestPublisher_continuesTimedOutReadByZone(t *testing.T) {
	reader, played, top, machine := newPublisher(t)
	long := runnerZones
	defer func() { runnerZones = long }()
	runnerZones = []string{"a", "a", "a", "b", "b", "b", "c"}
	played.pageDelay = 150 * clock.Millisecond
	begin := machine.Now()
	reader.Poll(top)
	if list, _ := publishedList(t, reader.Updates, "a"); len(list.Runners) != 3 || !reader.Platform.ByZone() {
		t.Fatalf("after %v: %+v", machine.Now().Since(begin), list)
	}
}

func TestPublisher_publishesOnlyChanges(t *testing.T) {
	reader, played, top, machine := newPublisher(t)
	beat := func() ids.Serial { item, _ := reader.Updates.Get(HeartbeatKey); return item.Version }
	reader.Poll(top)
	_, first := publishedList(t, reader.Updates, "a")
	still := beat()
	reader.Poll(top)
	if _, again := publishedList(t, reader.Updates, "a"); again != first || beat() != still {
		t.Fatal("the same list is news at once")
	}
	machine.Advance(2 * clock.Second)
	reader.Poll(top)
	if _, again := publishedList(t, reader.Updates, "a"); again != first || beat() <= still {
		t.Fatal("the beat is not told")
	}
	played.condition = "draining"
	reader.Poll(top)
	if _, changed := publishedList(t, reader.Updates, "a"); changed <= first {
		t.Fatal("a runner that leaves is not told at once")
	}
	for range unchangedThreshold {
		if pause := reader.delay(top); pause != clock.Second {
			t.Fatalf("a pause of %v", pause)
		}
		reader.Poll(top)
	}
	if pause := reader.delay(top); pause != unchangedBackoff*clock.Second {
		t.Fatalf("a pause of %v while nothing changes", pause)
	}
}

func TestPublisher_overridesPreviousHolder(t *testing.T) {
	reader, _, top, _ := newPublisher(t)
	reader.Updates.Put(gossip.Item{Key: ZoneKey("gone"), Version: FencedSerial(2, 7), Body: []byte("another's")})
	reader.Poll(top)
	if list, _ := publishedList(t, reader.Updates, "gone"); len(list.Runners) != 0 {
		t.Fatal("a zone that the platform names no more keeps its runners")
	}
	_, first := publishedList(t, reader.Updates, "a")
	reader.Updates.Put(gossip.Item{Key: ZoneKey("a"), Version: FencedSerial(3, 9), Body: []byte("another's")})
	reader.sequence = 20
	reader.Poll(top)
	if list, last := publishedList(t, reader.Updates, "a"); last <= first || len(list.Runners) != 2 {
		t.Fatalf("another's part stays: %+v", list)
	}
}

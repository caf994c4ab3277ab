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

const line = `{"service":"s","address":"10.0.0.%d:80","zone":"%s","config_version":"v1","capacity":8,"condition":"%s","cold_left_ms":%d,"id":"i-%d"}`

// platform is a scripted platform with one runner a page: two in zone a, one in
// zone b.
type platform struct {
	mu        sync.Mutex
	condition string
	cold      int
	down      bool
	calls     []string
	// slow is how long a page takes on the clock.
	slow  clock.Span
	clock *clock.Fake
}

var standing = []string{"a", "a", "b"}

func (p *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, request.URL.RequestURI())
	p.clock.Move(p.slow)
	if p.down {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	zone := request.URL.Query().Get("zone")
	var found []int
	for number, place := range standing {
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
	fmt.Fprintf(writer, `{"servers":[`+line+`],"next_token":%s}`, number, standing[number], p.condition, p.cold, number, next)
}

func (p *platform) asked() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	asked := p.calls
	p.calls = nil
	slices.Sort(asked)
	return asked
}

func newReader(t *testing.T) (*Reader, *platform, scope.Scope, *clock.Fake) {
	t.Helper()
	machine := clock.NewFake()
	played := &platform{condition: "ready", clock: machine}
	server := httptest.NewServer(played)
	t.Cleanup(server.Close)
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	settings := &settings.Boot{Platform: settings.Platform{Address: address, RatePerS: 100}}
	reader := &Reader{
		Platform: &Platform{Client: server.Client(), Address: address, Zones: []ids.Zone{"a", "b", "c"}, Every: clock.Second},
		News:     gossip.NewStore(nil), Every: clock.Second, Beat: 2 * clock.Second,
		Held: func(clock.Instant) (int64, bool) { return 3, true },
	}
	return reader, played, scope.New(scope.Options{Clock: machine, Boot: settings}), machine
}

func partOf(t *testing.T, news *gossip.Store, zone ids.Zone) (List, ids.Serial) {
	t.Helper()
	item, found := news.Get(PartKey(zone))
	list, err := transport.Unmarshal[List](item.Body)
	if !found || err != nil {
		t.Fatalf("part of %s: %v %v", zone, found, err)
	}
	return list, item.Version
}

func TestReaderTellsEachZonesPart(t *testing.T) {
	reader, played, top, _ := newReader(t)
	reader.Read(top)
	for zone, want := range map[ids.Zone]int{"a": 2, "b": 1, "c": 0} {
		if list, _ := partOf(t, reader.News, zone); len(list.Runners) != want {
			t.Errorf("zone %s: %+v", zone, list)
		}
	}
	if list, _ := partOf(t, reader.News, "a"); list.Runners[1].ID != "i-1" || list.Runners[1].Draining || list.Runners[0].Capacity != 8 {
		t.Errorf("%+v", list)
	}
	if asked := played.asked(); len(asked) != 3 {
		t.Errorf("a short list is read as a whole: %v", asked)
	}
}

// TestLongListIsReadByZone has pages take so long that a whole reading takes more
// than half of the time for one.
func TestLongListIsReadByZone(t *testing.T) {
	reader, played, top, _ := newReader(t)
	long := standing
	defer func() { standing = long }()
	standing = []string{"a", "a", "b", "b", "d"}
	played.slow = 150 * clock.Millisecond
	reader.Read(top)
	before, serial := partOf(t, reader.News, "a")
	played.asked()
	reader.Read(top)
	want := []string{"/servers?page_token=p+1&zone=a", "/servers?page_token=p+1&zone=b",
		"/servers?zone=a", "/servers?zone=b", "/servers?zone=c", "/servers?zone=d"}
	if asked := played.asked(); !slices.Equal(asked, want) {
		t.Fatalf("%v", asked)
	}
	if after, again := partOf(t, reader.News, "a"); again != serial || !after.sameAs(before) {
		t.Fatal("the same part is news because it was read by zone")
	}
	if pause := reader.pause(top); pause != clock.Second {
		t.Fatalf("a pause of %v", pause)
	}
	reader.Platform.Calls = 100
	if pause := reader.pause(top); pause != 2*clock.Second {
		t.Fatalf("100 calls at 100 a second: a pause of %v", pause)
	}
	for range quietReadings {
		reader.Read(top)
	}
	reader.Platform.Calls = 6
	if pause := reader.pause(top); pause != clock.Second {
		t.Fatalf("a long list is read each %v while nothing changes", pause)
	}
	played.down = true
	reader.Read(top)
	if _, again := partOf(t, reader.News, "a"); again != serial {
		t.Fatal("a reading that failed is told")
	}
}

// TestListTooLongForOneReadingIsReadAtOnce has the whole reading run out of time:
// the same reading goes on by zone.
func TestListTooLongForOneReadingIsReadAtOnce(t *testing.T) {
	reader, played, top, machine := newReader(t)
	long := standing
	defer func() { standing = long }()
	standing = []string{"a", "a", "a", "b", "b", "b", "c"}
	played.slow = 150 * clock.Millisecond
	begin := machine.Now()
	reader.Read(top)
	if list, _ := partOf(t, reader.News, "a"); len(list.Runners) != 3 || !reader.Platform.ByZone() {
		t.Fatalf("after %v: %+v", machine.Now().Since(begin), list)
	}
}

func TestOnlyWhatChangedIsNews(t *testing.T) {
	reader, played, top, machine := newReader(t)
	beat := func() ids.Serial { item, _ := reader.News.Get(BeatKey); return item.Version }
	reader.Read(top)
	_, first := partOf(t, reader.News, "a")
	still := beat()
	reader.Read(top)
	if _, again := partOf(t, reader.News, "a"); again != first || beat() != still {
		t.Fatal("the same list is news at once")
	}
	machine.Move(2 * clock.Second)
	reader.Read(top)
	if _, again := partOf(t, reader.News, "a"); again != first || beat() <= still {
		t.Fatal("the beat is not told")
	}
	played.condition = "draining"
	reader.Read(top)
	if _, changed := partOf(t, reader.News, "a"); changed <= first {
		t.Fatal("a runner that leaves is not told at once")
	}
	for range quietReadings {
		if pause := reader.pause(top); pause != clock.Second {
			t.Fatalf("a pause of %v", pause)
		}
		reader.Read(top)
	}
	if pause := reader.pause(top); pause != quietFactor*clock.Second {
		t.Fatalf("a pause of %v while nothing changes", pause)
	}
}

func TestAnothersPartIsOverridden(t *testing.T) {
	reader, _, top, _ := newReader(t)
	reader.News.Put(gossip.Item{Key: PartKey("gone"), Version: SerialOf(2, 7), Body: []byte("another's")})
	reader.Read(top)
	if list, _ := partOf(t, reader.News, "gone"); len(list.Runners) != 0 {
		t.Fatal("a zone that the platform names no more keeps its runners")
	}
	_, first := partOf(t, reader.News, "a")
	reader.News.Put(gossip.Item{Key: PartKey("a"), Version: SerialOf(3, 9), Body: []byte("another's")})
	reader.counter = 20
	reader.Read(top)
	if list, last := partOf(t, reader.News, "a"); last <= first || len(list.Runners) != 2 {
		t.Fatalf("another's part stays: %+v", list)
	}
}

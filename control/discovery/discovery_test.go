package discovery

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/spread"
)

const line = `{"service":"s","address":"10.0.0.%d:80","zone":"a","config_version":"v1","capacity":8,"condition":"%s","cold_left_ms":%d,"id":"i-%d"}`

// platform is a scripted platform: two runners on two pages.
type platform struct {
	condition string
	cold      int
	down      bool
	calls     int
}

func (platform *platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.calls++
	if platform.down {
		writer.WriteHeader(http.StatusTooManyRequests)
		return
	}
	number, next := 1, `"p 2"`
	if request.URL.Query().Get("page_token") == "p 2" {
		number, next = 2, "null"
	}
	fmt.Fprintf(writer, `{"servers":[`+line+`],"next_token":%s}`, number, platform.condition, platform.cold, number, next)
}

func newTaker(t *testing.T) (*Taker, *platform, scope.Scope, *clock.Fake) {
	t.Helper()
	played := &platform{condition: "ready"}
	server := httptest.NewServer(played)
	t.Cleanup(server.Close)
	machine := clock.NewFake()
	settings := &boot.Boot{Platform: boot.Platform{Address: ids.Address(strings.TrimPrefix(server.URL, "http://"))}}
	taker := &Taker{
		Client: server.Client(), News: spread.NewNews(nil), Every: clock.Second, Beat: 2 * clock.Second,
		Held: func(clock.Instant) (int64, bool) { return 3, true },
	}
	return taker, played, scope.New(scope.Options{Clock: machine, Boot: settings}), machine
}

func TestCensusTakesAllPages(t *testing.T) {
	taker, _, top, _ := newTaker(t)
	taker.Take(top)
	item, found := taker.News.Get(Key)
	list, err := courier.Unpack[List](item.Body)
	if !found || err != nil || len(list.Runners) != 2 || list.Runners[1].ID != "i-2" || list.Runners[1].Draining || list.Runners[0].Capacity != 8 {
		t.Fatalf("%+v %v", list, err)
	}
}

func TestOnlyWhatChangedIsNews(t *testing.T) {
	taker, platform, top, machine := newTaker(t)
	serials := func() (ids.Serial, ids.Serial) {
		list, _ := taker.News.Get(Key)
		beat, _ := taker.News.Get(BeatKey)
		return list.Serial, beat.Serial
	}
	taker.Take(top)
	list, beat := serials()
	taker.Take(top)
	if again, still := serials(); again != list || still != beat {
		t.Fatal("the same list is news at once")
	}
	machine.Move(2 * clock.Second)
	taker.Take(top)
	again, still := serials()
	if again != list || still <= beat {
		t.Fatal("the list's beat is not told")
	}
	platform.condition = "draining"
	taker.Take(top)
	if changed, _ := serials(); changed <= still {
		t.Fatal("a runner that leaves is not told at once")
	}
	platform.down = true
	platform.condition = "ready"
	before, _ := serials()
	taker.Take(top)
	if after, _ := serials(); after != before {
		t.Fatal("a platform that refuses changed the list")
	}
}

func TestAnothersListIsOverriddenWhole(t *testing.T) {
	taker, _, top, machine := newTaker(t)
	taker.Take(top)
	taker.News.Put(spread.Item{Key: Key, Serial: SerialOf(2, 1<<31), Body: nil})
	first, _ := taker.News.Get(Key)
	taker.News.Put(spread.Item{Key: Key, Serial: SerialOf(3, 9), Body: []byte("another's")})
	machine.Move(3 * clock.Second)
	taker.counter = 20
	taker.Take(top)
	if last, _ := taker.News.Get(Key); last.Serial <= first.Serial || string(last.Body) == "another's" {
		t.Fatalf("another's list stays: %+v", last)
	}
}

func TestWithoutTheDutyNobodyAsks(t *testing.T) {
	taker, platform, top, _ := newTaker(t)
	taker.Held = func(clock.Instant) (int64, bool) { return 3, false }
	taker.Take(top)
	if platform.calls != 0 {
		t.Fatalf("%d calls", platform.calls)
	}
}

// TestHoldGainedAnewTellsNothingOld has the duty end and come back under a new
// epoch while the platform is asked: what was heard may be older than what
// another told in between.
func TestHoldGainedAnewTellsNothingOld(t *testing.T) {
	taker, platform, top, _ := newTaker(t)
	epoch := int64(2)
	taker.Held = func(clock.Instant) (int64, bool) { epoch++; return epoch, true }
	taker.Take(top)
	if _, told := taker.News.Get(Key); told || platform.calls == 0 {
		t.Fatal("a list from before the hold is told under its epoch")
	}
}

// TestFrozenHolderOverridesNothing has a holder freeze right before it tells its
// list, and wake long after its lease ended: whatever the holder of then has
// told stays, also where it had nothing to say but that its list of before still
// holds.
func TestFrozenHolderOverridesNothing(t *testing.T) {
	taker, platform, top, machine := newTaker(t)
	epoch, held := int64(1), true
	taker.Held = func(clock.Instant) (int64, bool) { return epoch, held }
	taker.Take(top)
	held = false
	looks := 0
	frozen := &Taker{Client: taker.Client, News: taker.News, Every: taker.Every, Beat: taker.Beat}
	frozen.Held = func(clock.Instant) (int64, bool) {
		if looks++; looks == 2 {
			// Its last look was in time; all this goes by before it acts on it.
			epoch, held = 3, true
			platform.condition = "ready"
			machine.Move(10 * clock.Second)
			taker.Take(top)
		}
		return 2, true
	}
	platform.condition = "draining"
	frozen.Take(top)
	item, _ := taker.News.Get(Key)
	list, err := courier.Unpack[List](item.Body)
	if err != nil || item.Serial>>32 != 3 || list.Runners[0].Draining {
		t.Fatalf("a frozen holder's list of epoch %d stands: %+v %v", item.Serial>>32, list, err)
	}
}

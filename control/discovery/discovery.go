// Package discovery asks the platform which runners there are and makes news of
// the answer.
package discovery

import (
	"encoding/json"
	"net/http"
	"net/url"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/courier"
	"onyxwell/control/spread"
)

// Key is the news key of the list, BeatKey that of the word that it still holds.
const (
	Key     = "census"
	BeatKey = "census-beat"
)

// Beat says that the list of that serial was still the platform's lately.
type Beat struct{ List ids.Serial }

// Runner is one runner as the platform lists it.
type Runner struct {
	ID         ids.RunnerID
	Service    ids.Service
	Address    ids.Address
	Zone       ids.Zone
	Version    string
	Capacity   int64
	Draining   bool
	ColdLeftMS int64
	TimeLeftMS int64
}

// List is all runners at one moment.
type List struct{ Runners []Runner }

// PageAsk asks for one page of the list.
type PageAsk struct{ Token string }

// Outgoing makes the call.
func (ask PageAsk) Outgoing() call.Outgoing {
	path := "/servers"
	if ask.Token != "" {
		path += "?page_token=" + url.QueryEscape(ask.Token)
	}
	return call.Outgoing{Method: http.MethodGet, Path: path}
}

// Page is one page of the list.
type Page struct {
	Servers []entry `json:"servers"`
	Next    *string `json:"next_token"`
}

type entry struct {
	ID         ids.RunnerID    `json:"id"`
	Service    ids.Service     `json:"service"`
	Address    ids.Address     `json:"address"`
	Zone       ids.Zone        `json:"zone"`
	Version    json.RawMessage `json:"config_version"`
	Capacity   int64           `json:"capacity"`
	Condition  string          `json:"condition"`
	ColdLeftMS float64         `json:"cold_left_ms"`
	TimeLeftMS float64         `json:"time_left_ms"`
}

// Hear reads the page.
func (page *Page) Hear(heard call.Heard) error {
	if heard.Status != http.StatusOK {
		return failure.Of(failure.Unready, "the platform answered %d", heard.Status)
	}
	return json.Unmarshal(heard.Body, page)
}

// pageLimit ends a list whose pages never end.
const pageLimit = 200

// Fetch reads the whole list.
//
// Example:
//
//	list, err := discovery.Fetch(short, client, platform)
func Fetch(inner scope.Scope, client *http.Client, platform ids.Address) (List, error) {
	list, token := List{}, ""
	for range pageLimit {
		page, err := call.Ask[Page](inner, client, platform, PageAsk{Token: token})
		if err != nil {
			return List{}, err
		}
		for _, read := range page.Servers {
			list.Runners = append(list.Runners, Runner{
				ID: read.ID, Service: read.Service, Address: read.Address, Zone: read.Zone,
				Version: string(read.Version), Capacity: read.Capacity, Draining: read.Condition != "ready",
				ColdLeftMS: int64(read.ColdLeftMS), TimeLeftMS: int64(read.TimeLeftMS),
			})
		}
		if page.Next == nil || *page.Next == "" {
			return list, nil
		}
		token = *page.Next
	}
	return List{}, failure.Of(failure.Internal, "the platform's list has no end")
}

// same tells whether two lists say the same but for times that run down.
func (list List) same(other List) bool {
	if len(list.Runners) != len(other.Runners) {
		return false
	}
	for index, runner := range list.Runners {
		old := other.Runners[index]
		if (runner.ColdLeftMS > 0) != (old.ColdLeftMS > 0) || runner.ColdLeftMS > old.ColdLeftMS {
			return false
		}
		runner.ColdLeftMS, old.ColdLeftMS = 0, 0
		runner.TimeLeftMS, old.TimeLeftMS = 0, 0
		if runner != old {
			return false
		}
	}
	return true
}

// Taker asks the platform while it holds the duty.
type Taker struct {
	Client *http.Client
	News   *spread.News
	Held   func(now clock.Instant) (int64, bool)
	Every  clock.Span
	// Beat is how often the list is told again though nothing changed, so that
	// all know that it is fresh.
	Beat clock.Span

	counter int64
	told    clock.Instant
	last    List
	serial  ids.Serial
	// epoch is the one under which the last list was told.
	epoch int64
}

// Run reads the list until the scope ends.
//
// Example:
//
//	taker.Run(top)
func (taker *Taker) Run(inner scope.Scope) {
	for inner.Wait(taker.Every) {
		taker.Take(inner)
	}
}

// Take asks once and makes news of what changed.
//
// Example:
//
//	taker.Take(top)
func (taker *Taker) Take(inner scope.Scope) {
	before, held := taker.Held(inner.Now())
	if !held {
		return
	}
	short, release := inner.WithLimit(2 * taker.Every)
	defer release()
	list, err := Fetch(short, taker.Client, inner.Boot.Platform.Address)
	if err != nil {
		inner.Log.Warn().Str("part", "census").Err(err).Msg("the platform did not answer")
		return
	}
	now := inner.Now()
	epoch, held := taker.Held(now)
	known, _ := taker.News.Get(Key)
	// Another may have told a newer list between two holds, or asked for one and
	// be frozen since: so a hold begins with a whole list under its own epoch.
	same := list.same(taker.last) && known.Serial == taker.serial && epoch == taker.epoch
	if !held || epoch != before || (same && now.Since(taker.told) < taker.Beat) {
		return
	}
	taker.counter++
	taker.told = now
	serial := SerialOf(epoch, taker.counter)
	if same {
		taker.tell(BeatKey, serial, Beat{List: taker.serial})
		return
	}
	taker.last, taker.serial, taker.epoch = list, serial, epoch
	taker.tell(Key, serial, list)
}

func (taker *Taker) tell(key string, serial ids.Serial, message any) {
	body, err := packers[key](message)
	if err == nil {
		taker.News.Put(spread.Item{Key: key, Serial: serial, Body: body})
	}
}

var packers = map[string]func(any) ([]byte, error){
	Key:     func(message any) ([]byte, error) { return courier.Pack(message.(List)) },
	BeatKey: func(message any) ([]byte, error) { return courier.Pack(message.(Beat)) },
}

// SerialOf joins a duty's epoch and a count of its acts to one rising serial.
//
// Example:
//
//	serial := discovery.SerialOf(epoch, counter)
func SerialOf(epoch int64, counter int64) ids.Serial { return ids.Serial(epoch<<32 | counter) }

package discovery

import (
	"encoding/json"
	"net/http"
	"net/url"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// PageAsk asks for one page of the list; without a zone, of all zones.
type PageAsk struct {
	Zone  ids.Zone
	Token string
}

// Outgoing makes the call.
func (p PageAsk) Outgoing() httpcall.Outgoing {
	query := url.Values{}
	if p.Zone != "" {
		query.Set("zone", string(p.Zone))
	}
	if p.Token != "" {
		query.Set("page_token", p.Token)
	}
	path := "/servers"
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	return httpcall.Outgoing{Method: http.MethodGet, Path: path}
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

func (e entry) runner() Runner {
	return Runner{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Version: string(e.Version), Capacity: e.Capacity, Draining: e.Condition != "ready",
		ColdLeftMS: int64(e.ColdLeftMS), TimeLeftMS: int64(e.TimeLeftMS),
	}
}

// Hear reads the page.
func (p *Page) Hear(heard httpcall.Heard) error {
	if heard.Status != http.StatusOK {
		return errkind.Of(errkind.Unready, "the platform answered %d", heard.Status)
	}
	return json.Unmarshal(heard.Body, p)
}

const (
	// pageLimit ends a list whose pages never end.
	pageLimit = 200
	// ReadersAtOnce is how many zones are read at the same time.
	ReadersAtOnce = 8
	// fewestPages is how many pages a list must have for it to be read by zone:
	// a short one is read with fewer calls as a whole.
	fewestPages = 4
)

// Platform reads the platform's list. A short list is read page after page. One
// whose pages together take too long is read zone by zone, several zones at the
// same time, so that the time for it grows with the largest zone and not with the
// whole.
type Platform struct {
	Client  *http.Client
	Address ids.Address
	// Zones are those that the settings name; zones in which runners were listed
	// are read as well.
	Zones []ids.Zone
	// Every is the time between two readings: a whole reading may take half of it,
	// before the list is read by zone, and one page may take all of it.
	Every clock.Span

	apart bool
	found map[ids.Zone]bool
	// Calls is how many pages the last reading asked for.
	Calls int
}

// Read reads the whole list, by zone. It is not to be called by two at once.
func (p *Platform) Read(ctx scope.Scope) (map[ids.Zone]List, error) {
	if p.apart {
		return p.readApart(ctx)
	}
	begin := ctx.Now()
	short, release := ctx.WithLimit(p.Every)
	defer release()
	list, pages, err := p.chain(short, "")
	p.Calls = pages
	if pages >= fewestPages && ctx.Now().Since(begin) > p.Every/2 {
		p.apart = true
	}
	if err != nil {
		if p.apart {
			return p.readApart(ctx)
		}
		return nil, err
	}
	if p.found == nil {
		p.found = map[ids.Zone]bool{}
	}
	for _, runner := range list.Runners {
		p.found[runner.Zone] = true
	}
	return byZone(list.Runners, p.zones()), nil
}

// ByZone tells whether the list is so long that it is read by zone.
func (p *Platform) ByZone() bool { return p.apart }

// zones are those of the settings and those in which runners were seen.
func (p *Platform) zones() []ids.Zone {
	zones := append([]ids.Zone(nil), p.Zones...)
	named := map[ids.Zone]bool{}
	for _, zone := range zones {
		named[zone] = true
	}
	for zone := range p.found {
		if !named[zone] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// readApart reads each zone's list. A zone that can't be read fails the reading:
// a list with a hole says of the runners in it that they are gone.
func (p *Platform) readApart(ctx scope.Scope) (map[ids.Zone]List, error) {
	short, release := ctx.WithLimit(4 * p.Every)
	defer release()
	var lock sync.Mutex
	var group sync.WaitGroup
	var failed error
	parts, calls := map[ids.Zone]List{}, 0
	places := make(chan struct{}, ReadersAtOnce)
	for _, zone := range p.zones() {
		places <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			list, pages, err := p.chain(short, zone)
			lock.Lock()
			defer lock.Unlock()
			calls += pages
			parts[zone] = list
			if err != nil {
				failed = err
			}
			<-places
		}()
	}
	group.Wait()
	p.Calls = calls
	if failed != nil {
		return nil, failed
	}
	return parts, nil
}

// chain reads one page after another; it tells how many were asked for.
func (p *Platform) chain(ctx scope.Scope, zone ids.Zone) (List, int, error) {
	list, token := List{}, ""
	for pages := 1; pages <= pageLimit; pages++ {
		page, err := p.page(ctx, PageAsk{Zone: zone, Token: token})
		if err != nil {
			return List{}, pages, err
		}
		for _, listed := range page.Servers {
			list.Runners = append(list.Runners, listed.runner())
		}
		if page.Next == nil || *page.Next == "" {
			return list, pages, nil
		}
		token = *page.Next
	}
	return List{}, pageLimit, errkind.Of(errkind.Internal, "the platform's list has no end")
}

func (p *Platform) page(ctx scope.Scope, ask PageAsk) (Page, error) {
	short, release := ctx.WithLimit(p.Every)
	defer release()
	return httpcall.Ask[Page](short, p.Client, p.Address, ask)
}

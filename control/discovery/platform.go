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

// PageRequest asks for one page of the list; without a zone, of all zones.
type PageRequest struct {
	Zone  ids.Zone
	Token string
}

// Outgoing makes the call.
func (p PageRequest) Outgoing() httpcall.Outgoing {
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
	ID           ids.RunnerID    `json:"id"`
	Service      ids.Service     `json:"service"`
	Address      ids.Address     `json:"address"`
	Zone         ids.Zone        `json:"zone"`
	Version      json.RawMessage `json:"config_version"`
	Capacity     int64           `json:"capacity"`
	Condition    string          `json:"condition"`
	WarmupLeftMS float64         `json:"cold_left_ms"`
	TimeLeftMS   float64         `json:"time_left_ms"`
}

func (e entry) runner() Runner {
	return Runner{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Version: string(e.Version), Capacity: e.Capacity, Draining: e.Condition != "ready",
		WarmupLeftMS: int64(e.WarmupLeftMS), TimeLeftMS: int64(e.TimeLeftMS),
	}
}

// Hear reads the page.
func (p *Page) Hear(heard httpcall.RawResponse) error {
	if heard.Status != http.StatusOK {
		return errkind.Errorf(errkind.NotReady, "the platform answered %d", heard.Status)
	}
	return json.Unmarshal(heard.Body, p)
}

const (
	// maxPages ends a list whose pages never end.
	maxPages = 200
	// MaxConcurrentReads is how many zones are read at the same time.
	MaxConcurrentReads = 8
	// minPagesByZone is how many pages a list must have for it to be read by zone:
	// a short one is read with fewer calls as a whole.
	minPagesByZone = 4
)

// PlatformClient reads the platform's list. A short list is read page after page. One
// whose pages together take too long is read zone by zone, several zones at the
// same time, so that the time for it grows with the largest zone and not with the
// whole.
type PlatformClient struct {
	HTTP    *http.Client
	Address ids.Address
	// Zones are those that the settings name; zones in which runners were listed
	// are read as well.
	Zones []ids.Zone
	// Interval is the time between two readings: a whole reading may take half of it,
	// before the list is read by zone, and one page may take all of it.
	Interval clock.Span

	byZone      bool
	listedZones map[ids.Zone]bool
	// LastPages is how many pages the last reading asked for.
	LastPages int
}

// List reads the whole list, by zone. It is not to be called by two at once.
func (p *PlatformClient) List(ctx scope.Scope) (map[ids.Zone]List, error) {
	if p.byZone {
		return p.listByZone(ctx)
	}
	begin := ctx.Now()
	short, release := ctx.WithTimeout(p.Interval)
	defer release()
	list, pages, err := p.listPages(short, "")
	p.LastPages = pages
	if pages >= minPagesByZone && ctx.Now().Since(begin) > p.Interval/2 {
		p.byZone = true
	}
	if err != nil {
		if p.byZone {
			return p.listByZone(ctx)
		}
		return nil, err
	}
	if p.listedZones == nil {
		p.listedZones = map[ids.Zone]bool{}
	}
	for _, runner := range list.Runners {
		p.listedZones[runner.Zone] = true
	}
	return groupByZone(list.Runners, p.zones()), nil
}

// ByZone tells whether the list is so long that it is read by zone.
func (p *PlatformClient) ByZone() bool { return p.byZone }

// zones are those of the settings and those in which runners were seen.
func (p *PlatformClient) zones() []ids.Zone {
	zones := append([]ids.Zone(nil), p.Zones...)
	named := map[ids.Zone]bool{}
	for _, zone := range zones {
		named[zone] = true
	}
	for zone := range p.listedZones {
		if !named[zone] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// listByZone reads each zone's list. A zone that can't be read fails the reading:
// a list with a hole says of the runners in it that they are gone.
func (p *PlatformClient) listByZone(ctx scope.Scope) (map[ids.Zone]List, error) {
	short, release := ctx.WithTimeout(4 * p.Interval)
	defer release()
	var lock sync.Mutex
	var group sync.WaitGroup
	var failed error
	parts, calls := map[ids.Zone]List{}, 0
	places := make(chan struct{}, MaxConcurrentReads)
	for _, zone := range p.zones() {
		places <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			list, pages, err := p.listPages(short, zone)
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
	p.LastPages = calls
	if failed != nil {
		return nil, failed
	}
	return parts, nil
}

// listPages reads one page after another; it tells how many were asked for.
func (p *PlatformClient) listPages(ctx scope.Scope, zone ids.Zone) (List, int, error) {
	list, token := List{}, ""
	for pages := 1; pages <= maxPages; pages++ {
		page, err := p.fetchPage(ctx, PageRequest{Zone: zone, Token: token})
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
	return List{}, maxPages, errkind.Errorf(errkind.Internal, "the platform's list has no end")
}

func (p *PlatformClient) fetchPage(ctx scope.Scope, ask PageRequest) (Page, error) {
	short, release := ctx.WithTimeout(p.Interval)
	defer release()
	return httpcall.Do[Page](short, p.HTTP, p.Address, ask)
}

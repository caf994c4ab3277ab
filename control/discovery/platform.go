package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

const (
	// MaxConcurrentReads is how many zones are read at the same time.
	MaxConcurrentReads = 8
	// maxPages bounds a list whose pages never end.
	maxPages = 200
	// minPagesByZone is how many pages a list must have to be read by zone: a
	// shorter one takes fewer calls as a whole.
	minPagesByZone = 4
	// byZoneTimeoutIntervals is how many intervals a read by zone may take.
	byZoneTimeoutIntervals = 4
	// conditionReady is the platform's word for a runner that takes requests.
	conditionReady = "ready"
)

// PageRequest asks for one page of the list of a zone, or of all zones where
// Zone is empty. Token continues after an earlier page.
type PageRequest struct {
	Zone  ids.Zone
	Token string
}

// Encode implements httpcall.Requester.
func (p PageRequest) Encode() httpcall.OutgoingRequest {
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
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: path}
}

// Page is one page of the list; Next is the token of the next one, if any.
type Page struct {
	Servers []platformRunner `json:"servers"`
	Next    *string          `json:"next_token"`
}

// Decode implements httpcall.ResponseReader. Any status but 200 is an error of
// kind errkind.NotReady.
func (p *Page) Decode(resp httpcall.RawResponse) error {
	if resp.Status != http.StatusOK {
		return errkind.Errorf(errkind.NotReady, "the platform answered %d", resp.Status)
	}
	return json.Unmarshal(resp.Body, p)
}

// platformRunner is a runner as the platform describes it.
type platformRunner struct {
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

func (e platformRunner) runner() Runner {
	return Runner{
		ID: e.ID, Service: e.Service, Address: e.Address, Zone: e.Zone,
		Version: string(e.Version), Capacity: e.Capacity, Draining: e.Condition != conditionReady,
		WarmupLeftMS: int64(e.WarmupLeftMS), TimeLeftMS: int64(e.TimeLeftMS),
	}
}

// PlatformClient reads the platform's list of runners. A short list is read page
// after page. One whose pages together take more than half an interval is read
// by zone from then on, several zones at a time, so that the time grows with the
// largest zone and not with the fleet. It is not safe for concurrent use.
type PlatformClient struct {
	HTTP    *http.Client
	Address ids.Address
	Clock   clock.Clock
	// Zones are the zones to read by; those in which runners were listed before
	// are added to them.
	Zones []ids.Zone
	// Interval is the time between two polls. It is also the timeout of one page,
	// and of a list that is read as a whole.
	Interval time.Duration

	byZone      bool
	listedZones map[ids.Zone]bool
	// LastPages is how many pages the last call of List fetched.
	LastPages int
}

// List reads the complete list, grouped by zone. It gives a complete list or an
// error: a list with a hole would declare the runners in it gone.
func (p *PlatformClient) List(ctx context.Context) (map[ids.Zone]List, error) {
	if p.byZone {
		return p.listByZone(ctx)
	}
	started := p.Clock.Now()
	timeoutCtx, cancel := p.Clock.WithTimeout(ctx, p.Interval)
	defer cancel()
	list, pages, err := p.listPages(timeoutCtx, "")
	p.LastPages = pages
	p.byZone = pages >= minPagesByZone && p.Clock.Now().Since(started) > p.Interval/2
	if err != nil && p.byZone {
		return p.listByZone(ctx)
	}
	if err != nil {
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

// Probe reports whether the platform answers: a page of its list is asked for.
func (p *PlatformClient) Probe(ctx context.Context) bool {
	_, err := p.fetchPage(ctx, PageRequest{})
	return err == nil
}

// ByZone reports whether the list is long enough to be read by zone.
func (p *PlatformClient) ByZone() bool { return p.byZone }

// zones gives the configured zones and those in which runners were listed.
func (p *PlatformClient) zones() []ids.Zone {
	zones := slices.Clone(p.Zones)
	configured := map[ids.Zone]bool{}
	for _, zone := range zones {
		configured[zone] = true
	}
	for zone := range p.listedZones {
		if !configured[zone] {
			zones = append(zones, zone)
		}
	}
	return zones
}

// listByZone reads the zones' lists concurrently. One zone that fails fails all.
func (p *PlatformClient) listByZone(ctx context.Context) (map[ids.Zone]List, error) {
	ctx, cancel := p.Clock.WithTimeout(ctx, byZoneTimeoutIntervals*p.Interval)
	defer cancel()
	var (
		mu      sync.Mutex
		wg      sync.WaitGroup
		lists   = map[ids.Zone]List{}
		fetched int
		listErr error
	)
	slots := make(chan struct{}, MaxConcurrentReads)
	for _, zone := range p.zones() {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			list, pages, err := p.listPages(ctx, zone)
			mu.Lock()
			defer mu.Unlock()
			fetched += pages
			lists[zone] = list
			if err != nil {
				listErr = err
			}
		})
	}
	wg.Wait()
	p.LastPages = fetched
	if listErr != nil {
		return nil, listErr
	}
	return lists, nil
}

// listPages reads one page after another. The number of pages counts those that
// failed, too.
func (p *PlatformClient) listPages(ctx context.Context, zone ids.Zone) (list List, pages int, err error) {
	req := PageRequest{Zone: zone}
	for pages = 1; pages <= maxPages; pages++ {
		page, err := p.fetchPage(ctx, req)
		if err != nil {
			return List{}, pages, err
		}
		for _, server := range page.Servers {
			list.Runners = append(list.Runners, server.runner())
		}
		if page.Next == nil || *page.Next == "" {
			return list, pages, nil
		}
		req.Token = *page.Next
	}
	return List{}, maxPages, errkind.Errorf(errkind.Internal, "the platform's list has no end")
}

func (p *PlatformClient) fetchPage(ctx context.Context, req PageRequest) (Page, error) {
	timeoutCtx, cancel := p.Clock.WithTimeout(ctx, p.Interval)
	defer cancel()
	return httpcall.Do[Page](timeoutCtx, p.HTTP, p.Address, req)
}

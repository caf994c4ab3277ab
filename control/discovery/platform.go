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
	// MaxConcurrentReads is the maximum number of zones whose lists are read
	// concurrently.
	MaxConcurrentReads = 8
	// maxPages is the maximum number of pages of one list. It ends the read of a
	// list in which every page names a next one.
	maxPages = 200
	// minPagesByZone is the minimum number of pages of a list that is read by zone.
	// Reading a shorter list as a whole takes fewer calls.
	minPagesByZone = 4
	// byZoneTimeoutIntervals is the timeout of a read by zone, in Intervals.
	byZoneTimeoutIntervals = 4
	// conditionReady is the platform's condition of a runner that takes requests.
	conditionReady = "ready"
)

// PageRequest asks for one page of the list of a zone, or of all zones if Zone is
// empty. Token is the continuation token of the previous page, empty for the first.
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

// Page is one page of the list. Next is the continuation token of the next page;
// it is nil or empty in the last one.
type Page struct {
	Servers []platformRunner `json:"servers"`
	Next    *string          `json:"next_token"`
}

// Decode implements httpcall.ResponseReader. Any status but 200 is an error of
// kind errkind.NotReady.
func (p *Page) Decode(resp httpcall.RawResponse) error {
	if resp.Status != http.StatusOK {
		return errkind.Errorf(errkind.NotReady, "platform returned status %d, want 200", resp.Status)
	}
	return json.Unmarshal(resp.Body, p)
}

// platformRunner is a runner as the platform encodes it in JSON.
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

// PlatformClient reads the platform's list of runners. It reads a short list as a
// whole, page by page. Once a list of at least minPagesByZone pages takes longer
// than half an Interval, it reads by zone from then on, several zones concurrently,
// so that the time depends on the size of the largest zone, not on that of the
// fleet. It is not safe for concurrent use.
type PlatformClient struct {
	HTTP    *http.Client
	Address ids.Address
	Clock   clock.Clock
	// Zones are the zones that are always read when reading by zone. Other zones are
	// added if a read of the whole list found runners in them.
	Zones []ids.Zone
	// Interval is the time between two polls. It is also the timeout of one page,
	// and of a read of the whole list.
	Interval time.Duration

	byZone      bool
	listedZones map[ids.Zone]bool
	// LastPages is the number of pages that the last call of List requested. If the
	// call first read the whole list and then read by zone, the pages of the first
	// read are not included.
	LastPages int
}

// List reads the complete list, grouped by zone. It returns a complete list or an
// error: runners that an incomplete list omits would be taken for removed.
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

// Probe reports whether the platform answers a request for the list's first page.
func (p *PlatformClient) Probe(ctx context.Context) bool {
	_, err := p.fetchPage(ctx, PageRequest{})
	return err == nil
}

// ByZone reports whether the list is read by zone.
func (p *PlatformClient) ByZone() bool { return p.byZone }

// zones returns the configured zones, followed by the other zones in which runners
// were listed.
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

// listByZone reads the zones' lists concurrently. It returns an error if the read
// of any zone fails.
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

// listPages reads the list of a zone, or of all zones if zone is empty, page by
// page. The returned number of pages includes one that failed.
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
	return List{}, maxPages, errkind.Errorf(errkind.Internal, "platform list exceeds the maximum number of pages: next_token is still set in the last one")
}

// fetchPage requests one page, with Interval as its timeout.
func (p *PlatformClient) fetchPage(ctx context.Context, req PageRequest) (Page, error) {
	timeoutCtx, cancel := p.Clock.WithTimeout(ctx, p.Interval)
	defer cancel()
	return httpcall.Do[Page](timeoutCtx, p.HTTP, p.Address, req)
}

package replay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Options are how a day is played.
type Options struct {
	// Routers are the front addresses that requests go to, drawn by chance.
	Routers []ids.Address
	// Speed plays the day faster (above 1) or slower.
	Speed float64
	// Timeout is how long one request may take.
	Timeout clock.Span
	Client  *http.Client
}

// RouteSummary sums up the requests of one route.
type RouteSummary struct {
	Route    string         `json:"route"`
	Requests int            `json:"count"`
	Statuses map[string]int `json:"statuses"`
	// Incomplete are answers that did not come, or not whole.
	Incomplete     int     `json:"broken"`
	FirstByteP50MS float64 `json:"first_p50_ms"`
	FirstByteP99MS float64 `json:"first_p99_ms"`
	firstByteMS    []float64
}

// Play sends every record at its time and gives the outcomes in the order of
// their routes.
func Play(ctx scope.Scope, records []Record, options Options) []RouteSummary {
	var lock sync.Mutex
	var running sync.WaitGroup
	found := map[string]*RouteSummary{}
	begin := ctx.Now()
	for _, record := range records {
		due := begin.Add(clock.Span(float64(record.Offset()) / options.Speed))
		if pause := due.Since(ctx.Now()); pause > 0 && !ctx.Wait(pause) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			status, first, err := send(ctx, record, options)
			lock.Lock()
			defer lock.Unlock()
			addResult(found, record.routeName(), status, first, err)
		}()
	}
	running.Wait()
	return summarize(found)
}

func addResult(found map[string]*RouteSummary, route string, status int, first clock.Span, err error) {
	outcome := found[route]
	if outcome == nil {
		outcome = &RouteSummary{Route: route, Statuses: map[string]int{}}
		found[route] = outcome
	}
	outcome.Requests++
	if status > 0 {
		outcome.Statuses[fmt.Sprint(status)]++
		outcome.firstByteMS = append(outcome.firstByteMS, float64(first)/float64(clock.Millisecond))
	}
	if err != nil {
		outcome.Incomplete++
	}
}

// send sends one request; the status is 0 where no head came.
func send(ctx scope.Scope, record Record, options Options) (int, clock.Span, error) {
	short, release := ctx.WithTimeout(options.Timeout)
	defer release()
	router := options.Routers[rand.IntN(len(options.Routers))]
	request, err := http.NewRequestWithContext(short, record.Method, "http://"+string(router)+"/", strings.NewReader(record.Body))
	if err != nil {
		return 0, 0, err
	}
	request.URL = &url.URL{Scheme: "http", Host: string(router), Opaque: record.Path}
	request.Host = record.Host
	request.GetBody = nil
	for name, value := range record.Headers {
		request.Header.Set(name, value)
	}
	// A played request is another one than the recorded: it has its own id.
	request.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Onyxwell-Time-Left-Ms", fmt.Sprint(options.Timeout.Milliseconds()))
	begin := ctx.Now()
	response, err := options.Client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	first := ctx.Now().Since(begin)
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, first, err
}

func summarize(found map[string]*RouteSummary) []RouteSummary {
	var outcomes []RouteSummary
	for _, outcome := range found {
		sort.Float64s(outcome.firstByteMS)
		outcome.FirstByteP50MS, outcome.FirstByteP99MS = quantile(outcome.firstByteMS, 0.5), quantile(outcome.firstByteMS, 0.99)
		outcomes = append(outcomes, *outcome)
	}
	sort.Slice(outcomes, func(left, right int) bool { return outcomes[left].Route < outcomes[right].Route })
	return outcomes
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return values[min(len(values)-1, int(part*float64(len(values))))]
}

// NewClient makes the client that a day is played with.
func NewClient(perRouter int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: perRouter, DisableCompression: true, IdleConnTimeout: 10 * clock.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

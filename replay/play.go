package replay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/data/upstream"
)

// Player sends recorded requests to routers.
type Player struct {
	// Routers are front addresses; each request goes to one drawn at random.
	Routers []ids.Address
	// Speed is how many times as fast as recorded requests are sent; above 0.
	Speed float64
	// Timeout limits each request, and is sent with it as its time left.
	Timeout time.Duration
	Client  *http.Client
	Clock   clock.Clock
}

// NewClient returns a client for a Player. It follows no redirects and leaves
// compressed bodies as they are.
func NewClient(maxIdlePerRouter int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdlePerRouter, DisableCompression: true, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Play sends each record at its time, whether or not earlier ones have been
// answered, and returns a summary of every route, ordered by name. When ctx ends,
// no further record is sent.
func (p *Player) Play(ctx context.Context, records []Record) []RouteSummary {
	var results collector
	var requests sync.WaitGroup
	start := p.Clock.Now()
	for _, record := range records {
		due := start.Add(time.Duration(float64(record.Offset()) / p.Speed))
		if wait := due.Since(p.Clock.Now()); wait > 0 && !clock.Wait(ctx, p.Clock, wait) {
			break
		}
		requests.Add(1)
		go func() {
			defer requests.Done()
			results.add(record.routeName(), p.send(ctx, record))
		}()
	}
	requests.Wait()
	return results.summarize()
}

// result is what came of one request.
type result struct {
	// status is 0 where no response head arrived.
	status    int
	firstByte time.Duration
	// err is set where the response did not arrive, or broke off.
	err error
}

// send sends one request and reads its response to the end.
func (p *Player) send(ctx context.Context, record Record) result {
	ctx, cancel := p.Clock.WithTimeout(ctx, p.Timeout)
	defer cancel()
	req, err := p.newRequest(ctx, record)
	if err != nil {
		return result{err: err}
	}
	start := p.Clock.Now()
	resp, err := p.Client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	firstByte := p.Clock.Now().Since(start)
	_, err = io.Copy(io.Discard, resp.Body)
	return result{status: resp.StatusCode, firstByte: firstByte, err: err}
}

// newRequest returns the recorded request with an attempt id of its own, since it
// is another request than the recorded one.
func (p *Player) newRequest(ctx context.Context, record Record) (*http.Request, error) {
	router := string(p.Routers[rand.IntN(len(p.Routers))])
	req, err := http.NewRequestWithContext(ctx, record.Method, "http://"+router+"/", strings.NewReader(record.Body))
	if err != nil {
		return nil, err
	}
	// The path is sent as it was recorded, with its escapes.
	req.URL = &url.URL{Scheme: "http", Host: router, Opaque: record.Path}
	req.Host = record.Host
	// The transport must not send the body again on another connection.
	req.GetBody = nil
	for name, value := range record.Headers {
		req.Header.Set(name, value)
	}
	req.Header.Set(upstream.AttemptIDHeader, fmt.Sprintf("%016x", rand.Uint64()))
	req.Header.Set(upstream.TimeLeftHeader, fmt.Sprint(p.Timeout.Milliseconds()))
	return req, nil
}

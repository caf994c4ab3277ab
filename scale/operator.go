package scale

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/deployment"
)

// operator sends configurations to one controller after another.
type operator struct {
	size    Size
	layout  deployment.Layout
	client  http.Client
	version int
	next    int
}

// sent is a change that was acknowledged.
type sent struct {
	serial ids.Serial
	asked  time.Time
	acked  time.Time
}

func newOperator(size Size, layout deployment.Layout) *operator {
	return &operator{size: size, layout: layout, client: http.Client{Timeout: clock.Second}}
}

func (operator *operator) send(ctx context.Context, method string, body []byte, version int) (sent, error) {
	var last error
	begin := time.Now()
	for range 40 {
		zones := operator.layout.AllZones()
		controller := operator.layout.Machine(zones[operator.next%len(zones)], 0)
		operator.next++
		url := "http://" + controller.Address(deployment.ControlPort) + "/settings"
		request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return sent{}, err
		}
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("If-Match", strconv.Itoa(operator.version))
		response, err := operator.client.Do(request)
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				operator.version = version
				return sent{serial: ids.Serial(version), asked: begin, acked: time.Now()}, nil
			}
			err = fmt.Errorf("%s answered %d: %s", url, response.StatusCode, text)
		}
		last = err
		select {
		case <-ctx.Done():
			return sent{}, ctx.Err()
		case <-time.After(250 * clock.Millisecond):
		}
	}
	return sent{}, last
}

// first sends the first configuration, whole.
func (operator *operator) first(ctx context.Context) (sent, error) {
	body, err := document(operator.size, 1)
	if err != nil {
		return sent{}, err
	}
	return operator.send(ctx, http.MethodPut, body, 1)
}

// changes sends changes at the size's rate until the time is over.
func (operator *operator) changes(ctx context.Context) ([]sent, error) {
	var all []sent
	if operator.size.ChangesPerS <= 0 {
		<-ctx.Done()
		return nil, nil
	}
	ticker := time.NewTicker(clock.Span(float64(clock.Second) / operator.size.ChangesPerS))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return all, nil
		case <-ticker.C:
			body, err := change(operator.size, operator.version+1)
			if err != nil {
				return all, err
			}
			one, err := operator.send(ctx, http.MethodPatch, body, operator.version+1)
			if err != nil && ctx.Err() == nil {
				return all, err
			}
			if err == nil {
				all = append(all, one)
			}
		}
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// patience is how long the operator waits for an answer before it goes on to another
// controller.
const patience = time.Second

// operator keeps one connection to each controller.
type operator struct {
	*record
	client *http.Client
	// addresses are those that the operator reaches the controllers at, by zone.
	addresses []string
}

func newOperator(rec *record, addresses []string) *operator {
	return &operator{record: rec, client: &http.Client{}, addresses: addresses}
}

// call sends an order to the controllers in turn, first to that of the zone, until one
// acknowledges it.
func (o *operator) call(first int, method, path, body string) error {
	for attempt := range 20 {
		zone := (first + attempt) % len(o.addresses)
		status, err := o.send(zone, method, path, body)
		o.printf("operator: %s %s to the controller of %s: status %d %v", method, path, zones[zone].name, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Duration(attempt) * 50 * time.Millisecond)
	}
	return fmt.Errorf("%s %s was not acknowledged", method, path)
}

// send sends an order to one controller and closes the connection if there is no answer
// in time.
func (o *operator) send(zone int, method, path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.addresses[zone]+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if path == "/settings" {
		req.Header.Set("If-Match", "0")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// configure has the first configuration acknowledged and waits until the routers serve it.
func (c *cluster) configure(o *operator) error {
	if err := o.call(0, http.MethodPut, "/settings", c.configuration()); err != nil {
		return err
	}
	return c.awaitReady()
}

// controlAddresses returns the control addresses of all controllers.
func (c *cluster) controlAddresses() []string {
	return []string{c.control(0), c.control(1), c.control(2)}
}

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// route and service are parts of a configuration, with the names of the protocol page.
type route struct {
	Name      string   `json:"name"`
	Host      string   `json:"hostname"`
	Prefix    string   `json:"path_prefix"`
	Type      string   `json:"type"`
	GiveUp    float64  `json:"give_up_ms"`
	Goal      float64  `json:"goal_ms"`
	Urgency   int      `json:"urgency"`
	Service   string   `json:"service"`
	Tries     int      `json:"tries"`
	Sticky    bool     `json:"sticky"`
	Resumable bool     `json:"resumable"`
	GapGoal   float64  `json:"gap_goal_ms"`
	Homes     []string `json:"home_regions"`
}

type service struct {
	Name     string  `json:"name"`
	Health   string  `json:"health_path"`
	MaxConns int     `json:"max_conns"`
	Protocol string  `json:"protocol"`
	TLS      bool    `json:"tls"`
	Warmup   float64 `json:"warmup_s"`
	ColdPerS float64 `json:"cold_per_s"`
}

// Figures of the site lvsl-onyx for its model service.
const (
	modelService = "onyx-readers"
	hostname     = "halls.example"
	coldPerS     = 29.0
	coldExcess   = 1.5
	coldSlack    = 5.0
	warmup       = 3 * time.Second
	capacity     = 128
)

// configuration returns a whole configuration with the given routes.
func configuration(version int, routes []route) []byte {
	body, _ := json.Marshal(map[string]any{
		"config_version": version, "routes": routes,
		"services": []service{{Name: modelService, Health: "/health", MaxConns: 640, Protocol: "h1", Warmup: warmup.Seconds(), ColdPerS: coldPerS}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_wait_ms": 3000, "idle_ms": 15000},
	})
	return body
}

// order sends an order of the operator until it is acknowledged, to one controller after
// another, with a second for each and a pause that grows.
func (c *cluster) order(method string, path string, base string, body []byte) error {
	last, pause := "", 50*time.Millisecond
	for limit := time.Now().Add(15 * time.Second); time.Now().Before(limit); pause += pause / 2 {
		m := c.controllers[rand.IntN(len(c.controllers))]
		status, text, err := call(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), base, body)
		switch {
		case err == nil && status/100 == 2:
			return nil
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return fmt.Errorf("%s %s: %d %s", method, path, status, text)
		}
		last = fmt.Sprint(status, err)
		time.Sleep(min(pause, time.Second))
	}
	return fmt.Errorf("%s %s: no acknowledgement: %s", method, path, last)
}

// call makes one call on a connection of its own.
func call(method string, url string, base string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	if base != "" {
		req.Header.Set("If-Match", base)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

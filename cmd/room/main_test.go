package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

const report = `{"families":[{"service":"readers","enough_seen":true,"load_per_s":58.2,"used":0.23,"room_together":3.6,
 "routes":[{"name":"long","goal_ms":800,"first_ms":191,"load_per_s":9.8,"room_alone":6.7,"room_together":3.6}],
 "regions":[{"region":"north","ready":4,"other":0,"used":0.23},{"region":"south","ready":2,"other":1,"used":0}]},
 {"service":"new","enough_seen":false}],"routers":[{"region":"north","known":4,"ready":3}]}`

// startController returns the address of a controller that answers every request
// with the status and body.
func startController(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path != "/room" {
			t.Errorf("the request is for %s", req.URL.Path)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRun_writesReport(t *testing.T) {
	var stdout, stderr bytes.Buffer
	// No controller listens at the first address; the next one is tried.
	if status := run([]string{"127.0.0.1:1", startController(t, 200, report)}, &stdout, &stderr); status != 0 {
		t.Fatalf("status %d: %s", status, stderr.String())
	}
	for _, want := range []string{"room for 3.6 times", "alone 6.7 times", "in south", "too few answers", "routers in north", "of 4"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("%q is missing in\n%s", want, stdout.String())
		}
	}
}

func TestRun_failureInOneLine(t *testing.T) {
	cases := [][]string{
		{"--no-such-flag"}, {"--boot", "/nowhere/boot.toml"}, {startController(t, 503, `{"error":"unready"}`)}, {startController(t, 200, "not json")}, {"--limit", "soon"},
	}
	for _, arguments := range cases {
		var stdout, stderr bytes.Buffer
		if status := run(arguments, &stdout, &stderr); status == 0 || strings.Count(strings.TrimSpace(stderr.String()), "\n") != 0 || stdout.Len() != 0 {
			t.Errorf("%v: status %d, %q, %q", arguments, status, stdout.String(), stderr.String())
		}
	}
}

func TestRun_jsonUnchanged(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if status := run([]string{"--json", startController(t, 200, report)}, &stdout, &stderr); status != 0 || strings.TrimSpace(stdout.String()) != report {
		t.Fatalf("status %d: %s", status, stdout.String())
	}
}

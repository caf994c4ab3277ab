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

func startController(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path != "/room" {
			t.Errorf("asked %s", request.URL.Path)
		}
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func TestRun_writesReport(t *testing.T) {
	var out, errors bytes.Buffer
	// The first controller is dead; the next one is asked.
	if status := run([]string{"127.0.0.1:1", startController(t, 200, report)}, &out, &errors); status != 0 {
		t.Fatalf("status %d: %s", status, errors.String())
	}
	for _, piece := range []string{"room for 3.6 times", "alone 6.7 times", "in south", "too few answers", "routers in north", "of 4"} {
		if !strings.Contains(out.String(), piece) {
			t.Errorf("%q is missing in\n%s", piece, out.String())
		}
	}
}

func TestRun_failureInOneLine(t *testing.T) {
	cases := [][]string{
		{"--no-such-flag"}, {"--boot", "/nowhere/boot.toml"}, {startController(t, 503, `{"error":"unready"}`)}, {startController(t, 200, "not json")}, {"--limit", "soon"},
	}
	for _, arguments := range cases {
		var out, errors bytes.Buffer
		if status := run(arguments, &out, &errors); status == 0 || strings.Count(strings.TrimSpace(errors.String()), "\n") != 0 || out.Len() != 0 {
			t.Errorf("%v: status %d, %q, %q", arguments, status, out.String(), errors.String())
		}
	}
}

func TestRun_jsonUnchanged(t *testing.T) {
	var out, errors bytes.Buffer
	if status := run([]string{"--json", startController(t, 200, report)}, &out, &errors); status != 0 || strings.TrimSpace(out.String()) != report {
		t.Fatalf("status %d: %s", status, out.String())
	}
}

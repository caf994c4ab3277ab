package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

const day = `{"at_ms":0,"method":"POST","host":"shop.example","path":"/a/1?q=%2F","headers":{"X-Kept":"yes"},"body":"one"}

{"at_ms":0,"method":"POST","host":"shop.example","path":"/a/2","body":"two"}
{"at_ms":0.5,"method":"GET","host":"shop.example","path":"/b/1","route":"named"}
`

// recorder is a router that keeps what it was sent. It breaks responses below
// /b/ off, and answers 200 only where a header of the record arrived.
type recorder struct {
	mu       sync.Mutex
	requests map[string]bool
	attempts map[string]bool
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	r.requests[req.Method+" "+req.Host+req.RequestURI] = true
	r.attempts[req.Header.Get("Onyxwell-Attempt-Id")] = true
	r.mu.Unlock()
	if strings.HasPrefix(req.URL.Path, "/b/") {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusServiceUnavailable
	if req.Header.Get("X-Kept") == "yes" {
		status = http.StatusOK
	}
	w.WriteHeader(status)
}

func TestRun_playsRecordedDay(t *testing.T) {
	router := &recorder{requests: map[string]bool{}, attempts: map[string]bool{}}
	server := httptest.NewServer(router)
	defer server.Close()
	var stdout, stderr bytes.Buffer
	status := run([]string{"-", "--router", strings.TrimPrefix(server.URL, "http://"), "--speed", "100"}, strings.NewReader(day), &stdout, &stderr)
	if status != 0 {
		t.Fatalf("status %d: %s", status, stderr.String())
	}
	router.mu.Lock()
	defer router.mu.Unlock()
	for _, want := range []string{"POST shop.example/a/1?q=%2F", "POST shop.example/a/2", "GET shop.example/b/1"} {
		if !router.requests[want] {
			t.Errorf("%s was not sent: %v", want, router.requests)
		}
	}
	if len(router.attempts) != 3 {
		t.Errorf("%d attempt ids, want 3", len(router.attempts))
	}
	lines := strings.Split(strings.TrimSpace(stdout.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[2], `"200":1,"503":1`) || strings.Fields(lines[1])[0] != "named" || strings.Fields(lines[1])[2] != "1" {
		t.Fatalf("%s", stdout.String())
	}
}

func TestRun_invalidRecordNamedByLine(t *testing.T) {
	cases := map[string]string{
		"line 2: ":                  "{\"at_ms\":0,\"method\":\"GET\",\"host\":\"h\",\"path\":\"/\"}\n{broken\n",
		"line 1: method is missing": `{"at_ms":0,"host":"h","path":"/"}`,
		"line 1: host is missing":   `{"at_ms":0,"method":"GET","path":"/"}`,
		"line 1: path begins":       `{"at_ms":0,"method":"GET","host":"h","path":"x"}`,
		"line 1: at_ms is below":    `{"at_ms":-1,"method":"GET","host":"h","path":"/"}`,
		"unknown field":             `{"at":0}`,
		"line 3: at_ms goes back":   "\n{\"at_ms\":5,\"method\":\"GET\",\"host\":\"h\",\"path\":\"/\"}\n{\"at_ms\":4,\"method\":\"GET\",\"host\":\"h\",\"path\":\"/\"}",
	}
	for want, records := range cases {
		var stdout, stderr bytes.Buffer
		if status := run([]string{"-", "--router", "127.0.0.1:1"}, strings.NewReader(records), &stdout, &stderr); status == 0 || !strings.Contains(stderr.String(), want) || stdout.Len() > 0 {
			t.Errorf("%q: status %d, %q", want, status, stderr.String())
		}
	}
}

func TestRun_invalidArguments(t *testing.T) {
	for _, arguments := range [][]string{{}, {"-"}, {"/nowhere", "--router", "x:1"}, {"-", "--router", "x:1", "--speed", "0"}} {
		var stdout, stderr bytes.Buffer
		if status := run(arguments, strings.NewReader(""), &stdout, &stderr); status == 0 || stderr.Len() == 0 {
			t.Errorf("%v: status %d, %q", arguments, status, stderr.String())
		}
	}
}

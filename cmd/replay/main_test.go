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

func TestRun_playsRecordedDay(t *testing.T) {
	var lock sync.Mutex
	seen := map[string]bool{}
	attempts := map[string]bool{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		lock.Lock()
		seen[request.Method+" "+request.Host+request.RequestURI] = true
		attempts[request.Header.Get("Onyxwell-Attempt-Id")] = true
		lock.Unlock()
		if strings.HasPrefix(request.URL.Path, "/b/") {
			panic(http.ErrAbortHandler)
		}
		writer.WriteHeader(map[bool]int{true: 200, false: 503}[request.Header.Get("X-Kept") == "yes"])
	}))
	defer server.Close()
	var out, errors bytes.Buffer
	status := run([]string{"-", "--router", strings.TrimPrefix(server.URL, "http://"), "--speed", "100"}, strings.NewReader(day), &out, &errors)
	if status != 0 {
		t.Fatalf("status %d: %s", status, errors.String())
	}
	lock.Lock()
	defer lock.Unlock()
	if !seen["POST shop.example/a/1?q=%2F"] || !seen["POST shop.example/a/2"] || !seen["GET shop.example/b/1"] || len(attempts) != 3 {
		t.Fatalf("%v, %d ids", seen, len(attempts))
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || !strings.Contains(lines[2], `"200":1,"503":1`) || strings.Fields(lines[1])[0] != "named" || strings.Fields(lines[1])[2] != "1" {
		t.Fatalf("%s", out.String())
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
	for want, text := range cases {
		var out, errors bytes.Buffer
		if status := run([]string{"-", "--router", "127.0.0.1:1"}, strings.NewReader(text), &out, &errors); status == 0 || !strings.Contains(errors.String(), want) || out.Len() > 0 {
			t.Errorf("%q: status %d, %q", want, status, errors.String())
		}
	}
}

func TestRun_invalidArguments(t *testing.T) {
	for _, arguments := range [][]string{{}, {"-"}, {"/nowhere", "--router", "x:1"}, {"-", "--router", "x:1", "--speed", "0"}} {
		var out, errors bytes.Buffer
		if status := run(arguments, strings.NewReader(""), &out, &errors); status == 0 || errors.Len() == 0 {
			t.Errorf("%v: status %d, %q", arguments, status, errors.String())
		}
	}
}

package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
)

type testRunner struct {
	*Runner
	t    *testing.T
	mu   sync.Mutex
	runs []oracle.Run
}

func startRunner(t *testing.T, change func(settings *Settings)) *testRunner {
	t.Helper()
	settings := Defaults("desk", "i-1")
	settings.Services, settings.MaxSilence = []string{"desk", "shop"}, 10*clock.Millisecond
	change(&settings)
	made := &testRunner{t: t}
	begun, err := Start(Options{Scope: scope.New(scope.Options{}), Settings: settings, Address: "127.0.0.1:0", OnRequest: func(run oracle.Run) {
		made.mu.Lock()
		defer made.mu.Unlock()
		made.runs = append(made.runs, run)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(begun.Close)
	made.Runner = begun
	return made
}

// raw sends bytes on a new connection and gives all that comes back.
func (t *testRunner) raw(text string) string {
	t.t.Helper()
	conn, err := net.Dial("tcp", t.Address())
	if err != nil {
		t.t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	heard, _ := io.ReadAll(conn)
	return string(heard)
}

func postRequest(path string, heads ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n%s\r\nbody", path, strings.Join(append(heads, ""), "\r\n"))
}

func parseResponse(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		t.Fatalf("%v: %q", err, text)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatalf("%v: %q", err, text)
	}
	return response, string(body)
}

func TestRunner_withoutFaults(t *testing.T) {
	runner := startRunner(t, func(settings *Settings) { settings.WeightsVersion = 3 })
	id := "Onyxwell-Attempt-Id: a1"
	source := piece.Source{Attempt: "a1", Service: "desk", Seal: "i-1.1"}
	events := ""
	for number := 2; number <= piece.LineCount("a1"); number++ {
		events += piece.Source{Attempt: "a1", Service: "desk", Seal: "i-1.2"}.Event(number)
	}
	cases := []struct {
		name   string
		text   string
		status int
		body   string
		notRun bool
	}{
		{"plain", postRequest("/safe/1", id, "Onyxwell-Target-Server: i-1", "Onyxwell-Expected-Version: 3"), 200, source.Body(), false},
		{"resumed stream", postRequest("/resumable/1", id, "Last-Event-Id: 1"), 200, events, false},
		{"another's", postRequest("/safe/1", id, "Onyxwell-Target-Server: i-2"), 421, "", true},
		{"another version", postRequest("/safe/1", id, "Onyxwell-Expected-Version: 2"), 421, "", true},
		{"no attempt", postRequest("/safe/1"), 400, "", true},
	}
	for _, example := range cases {
		response, body := parseResponse(t, runner.raw(example.text))
		if response.StatusCode != example.status || body != example.body || (response.Header.Get("Onyxwell-Not-Run") != "") != example.notRun {
			t.Errorf("%s: %d %q", example.name, response.StatusCode, body)
		}
		if response.Header.Get("Onyxwell-Server-Seal") == "" != example.notRun || (example.status != 400 && response.Header.Get("Onyxwell-Attempt-Id") != "a1") {
			t.Errorf("%s: %v", example.name, response.Header)
		}
	}
	if len(runner.runs) != 4 || runner.runs[1].LastEventID != 1 || !runner.runs[2].Rejected || runner.runs[0].Fingerprint != FingerprintOf("POST", "/safe/1", "h", []byte("body")) {
		t.Fatalf("told %+v", runner.runs)
	}
	health, _ := parseResponse(t, runner.raw("GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	if health.StatusCode != 200 || health.Header.Get("Onyxwell-Server-Id") != "i-1" || health.Header.Get("Onyxwell-Server-Load") == "" {
		t.Fatalf("health: %+v", health)
	}
	_, report := parseResponse(t, runner.raw("GET /report HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	if !strings.Contains(report, `"handled":3`) || !strings.Contains(report, `"config_version":3`) {
		t.Fatal(report)
	}
}

func TestRunner_overload(t *testing.T) {
	full := startRunner(t, func(settings *Settings) { settings.Capacity, settings.Queue = 1, 0 })
	if !full.slots.acquire(full.options.Scope, 0) {
		t.Fatal("no place in an empty runner")
	}
	response, _ := parseResponse(t, full.raw(postRequest("/safe/1", "Onyxwell-Attempt-Id: a1")))
	if response.StatusCode != 503 || response.Header.Get("Onyxwell-Not-Run") == "" {
		t.Fatalf("full: %+v", response)
	}
	cold := startRunner(t, func(settings *Settings) { settings.Warmup, settings.WarmupRate = 60*clock.Second, 1 })
	for number := 1; number <= 3; number++ {
		heard := cold.raw(postRequest("/safe/1", fmt.Sprintf("Onyxwell-Attempt-Id: c%d", number)))
		if (heard == "") != (number == 3) || (number < 3 && !strings.Contains(heard, "Onyxwell-Cold-Ms")) {
			t.Fatalf("request %d while cold: %q", number, heard)
		}
	}
	if len(cold.runs) != 2 {
		t.Fatalf("told %+v", cold.runs)
	}
	cold.TakeOver("shop", true)
	heard, _ := parseResponse(t, cold.raw("GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	if heard.Header.Get("Onyxwell-Server-Id") != "i-1.1" || cold.Incarnation().Service != "shop" {
		t.Fatal("the address has no new life")
	}
}

func TestSlotsAndCache(t *testing.T) {
	top := scope.New(scope.Options{})
	places := &slots{capacity: 1, queue: 2}
	places.acquire(top, 5)
	order := make(chan int, 2)
	for count, urgency := range []int{7, 2} {
		go func() {
			places.acquire(top, urgency)
			order <- urgency
			places.release()
		}()
		for _, waiting, _ := places.load(); waiting <= count; _, waiting, _ = places.load() {
			top.Wait(clock.Millisecond / 10)
		}
	}
	places.release()
	if first, second := <-order, <-order; first != 2 || second != 7 {
		t.Fatalf("%d before %d", first, second)
	}
	kept := &cache{limit: 100}
	for index, example := range []struct {
		prompt string
		unread float64
	}{{"a:40,b:10", 50}, {"a:40,c:10", 10}, {"a:40,b:10", 0}, {"d:90", 90}, {"a:40,b:10", 50}} {
		if unread := kept.prefill("m", example.prompt); unread != example.unread || kept.used() > 100 {
			t.Fatalf("prompt %d: %g unread, %g used", index, unread, kept.used())
		}
	}
}

func TestFaults_injectedFromSeed(t *testing.T) {
	first, second := AllFaults(), AllFaults()
	for number := range 200 {
		attempt := fmt.Sprint(number)
		one, other := first.draw(1, "i-1", attempt), second.draw(1, "i-1", attempt)
		if fmt.Sprint(one.names(), one.IntN(1000)) != fmt.Sprint(other.names(), other.IntN(1000)) {
			t.Fatal("the same seed drew something else")
		}
	}
	for _, trouble := range Faults {
		runner := startRunner(t, func(settings *Settings) { settings.Faults = FaultRates{trouble.Name: 1} })
		for number := range 6 {
			path := []string{"/safe/1", "/stream/1"}[number%2]
			runner.raw(postRequest(path, fmt.Sprintf("Onyxwell-Attempt-Id: a%d", number)))
		}
		runner.raw("GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		if runner.FaultCounts()[trouble.Name] == 0 {
			t.Errorf("%s befell nothing", trouble.Name)
		}
	}
}

// The same attempt twice in a row: what is marked as another's is another's.
func TestRunner_wrongAttempt(t *testing.T) {
	runner := startRunner(t, func(settings *Settings) { settings.Faults = FaultRates{OtherAttempt: 1} })
	for number, asked := range []string{"a1", "a1", "a2", "a1", "a1"} {
		response, _ := parseResponse(t, runner.raw(postRequest("/safe/1", "Onyxwell-Attempt-Id: "+asked)))
		wanted := []string{"0000000000000000", "0000000000000000", "a1", "a2", "a2"}[number]
		if told := response.Header.Get("Onyxwell-Attempt-Id"); told != wanted {
			t.Errorf("answer %d, to %s, is marked as that of %s, not %s", number, asked, told, wanted)
		}
	}
}

func TestSettings_invalid(t *testing.T) {
	settings := Defaults("", "two words")
	settings.Capacity, settings.ServiceTime, settings.HealthPath, settings.Faults = 0, -1, "health", FaultRates{"drop": 1, Garbage: -1}
	err := settings.Check()
	for _, part := range []string{"a service", `id "two words"`, "capacity 0", "work -1ns", `health "health"`, `no trouble "drop"`, "garbage: the rate -1"} {
		if err == nil || !strings.Contains(err.Error(), part) || strings.Contains(err.Error(), "\n") {
			t.Fatalf("%s is missing in: %v", part, err)
		}
	}
	mix := FaultRates{}
	for _, text := range []string{"garbage", "garbage=x", "garbage=1.5", "none=1"} {
		if err := mix.Set(text); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
	if err := mix.Set("garbage=0.5"); err != nil || mix[Garbage] != 0.5 {
		t.Fatal(err)
	}
}

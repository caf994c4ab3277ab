package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
)

// testRunner is a runner whose requests are recorded.
type testRunner struct {
	*Runner
	mu   sync.Mutex
	runs []oracle.Run
}

func startRunner(t *testing.T, change func(settings *Settings)) *testRunner {
	t.Helper()
	settings := Defaults("desk", "i-1")
	settings.Services, settings.MaxSilence = []string{"desk", "shop"}, 10*time.Millisecond
	change(&settings)
	recorded := &testRunner{}
	runner, err := Start(Options{Scope: scope.New(scope.Options{}), Settings: settings, Address: "127.0.0.1:0", OnRequest: func(run oracle.Run) {
		recorded.mu.Lock()
		defer recorded.mu.Unlock()
		recorded.runs = append(recorded.runs, run)
	}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(runner.Close)
	recorded.Runner = runner
	return recorded
}

// exchange sends bytes on a new connection and returns all that comes back.
func (tr *testRunner) exchange(t *testing.T, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", tr.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	received, _ := io.ReadAll(conn)
	return string(received)
}

const healthCheck = "GET /health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

func postRequest(path string, headers ...string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 4\r\n%s\r\nbody", path, strings.Join(append(headers, ""), "\r\n"))
}

func parseResponse(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
	if err != nil {
		t.Fatalf("%v: %q", err, text)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("%v: %q", err, text)
	}
	return resp, string(body)
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
		{"resumed stream", postRequest("/resumable/1", id, "Last-Event-Id: "+piece.EventID("a1", 1)), 200, events, false},
		{"another's", postRequest("/safe/1", id, "Onyxwell-Target-Server: i-2"), 421, "", true},
		{"another version", postRequest("/safe/1", id, "Onyxwell-Expected-Version: 2"), 421, "", true},
		{"no attempt", postRequest("/safe/1"), 400, "", true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			resp, body := parseResponse(t, runner.exchange(t, test.text))
			if resp.StatusCode != test.status || body != test.body || (resp.Header.Get("Onyxwell-Not-Run") != "") != test.notRun {
				t.Errorf("%d %q", resp.StatusCode, body)
			}
			if resp.Header.Get("Onyxwell-Server-Seal") == "" != test.notRun || (test.status != 400 && resp.Header.Get("Onyxwell-Attempt-Id") != "a1") {
				t.Errorf("%v", resp.Header)
			}
		})
	}
	if len(runner.runs) != 4 || runner.runs[1].LastEventID != 1 || !runner.runs[2].Rejected || runner.runs[0].Fingerprint != FingerprintOf("POST", "/safe/1", "h", []byte("body")) {
		t.Fatalf("recorded %+v", runner.runs)
	}
	health, _ := parseResponse(t, runner.exchange(t, healthCheck))
	if health.StatusCode != 200 || health.Header.Get("Onyxwell-Server-Id") != "i-1" || health.Header.Get("Onyxwell-Server-Load") == "" {
		t.Fatalf("health: %+v", health)
	}
	_, report := parseResponse(t, runner.exchange(t, "GET /report HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"))
	if !strings.Contains(report, `"handled":3`) || !strings.Contains(report, `"config_version":3`) {
		t.Fatal(report)
	}
}

func TestRunner_overload(t *testing.T) {
	full := startRunner(t, func(settings *Settings) { settings.Capacity, settings.Queue = 1, 0 })
	if !full.slots.acquire(full.options.Scope, 0) {
		t.Fatal("no slot in an empty runner")
	}
	resp, _ := parseResponse(t, full.exchange(t, postRequest("/safe/1", "Onyxwell-Attempt-Id: a1")))
	if resp.StatusCode != 503 || resp.Header.Get("Onyxwell-Not-Run") == "" {
		t.Fatalf("full: %+v", resp)
	}
	cold := startRunner(t, func(settings *Settings) { settings.Warmup, settings.WarmupRate = 60*time.Second, 1 })
	for number := 1; number <= 3; number++ {
		text := cold.exchange(t, postRequest("/safe/1", fmt.Sprintf("Onyxwell-Attempt-Id: c%d", number)))
		if (text == "") != (number == 3) || (number < 3 && !strings.Contains(text, "Onyxwell-Cold-Ms")) {
			t.Fatalf("request %d while cold: %q", number, text)
		}
	}
	if len(cold.runs) != 2 {
		t.Fatalf("recorded %+v", cold.runs)
	}
	cold.TakeOver("shop", true)
	health, _ := parseResponse(t, cold.exchange(t, healthCheck))
	if health.Header.Get("Onyxwell-Server-Id") != "i-1.1" || cold.Incarnation().Service != "shop" {
		t.Fatal("the address has no new incarnation")
	}
}

func TestSlots_urgencyOrder(t *testing.T) {
	ctx := t.Context()
	slots := &slots{capacity: 1, queue: 2}
	slots.acquire(ctx, 5)
	order := make(chan int, 2)
	for count, urgency := range []int{7, 2} {
		go func() {
			slots.acquire(ctx, urgency)
			order <- urgency
			slots.release()
		}()
		for _, queued, _ := slots.load(); queued <= count; _, queued, _ = slots.load() {
			runtime.Gosched()
		}
	}
	slots.release()
	if first, second := <-order, <-order; first != 2 || second != 7 {
		t.Fatalf("%d before %d", first, second)
	}
}

func TestSlots_endedContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	slots := &slots{capacity: 1, queue: 1}
	if !slots.acquire(ctx, 5) {
		t.Fatal("a free slot was not given")
	}
	if slots.acquire(ctx, 5) {
		t.Fatal("a slot was given twice")
	}
	if running, queued, handled := slots.load(); running != 1 || queued != 0 || handled != 0 {
		t.Fatalf("%d running, %d queued, %d handled", running, queued, handled)
	}
}

func TestCache_prefill(t *testing.T) {
	cache := &cache{limit: 100}
	for i, test := range []struct {
		prompt   string
		uncached float64
	}{{"a:40,b:10", 50}, {"a:40,c:10", 10}, {"a:40,b:10", 0}, {"d:90", 90}, {"a:40,b:10", 50}} {
		if uncached := cache.prefill("m", test.prompt); uncached != test.uncached || cache.used() > 100 {
			t.Fatalf("prompt %d: %g prefilled, %g used", i, uncached, cache.used())
		}
	}
}

// TestStopFaults_endsAllFaults checks that a runner whose faults are stopped answers as one without, also on a connection
// with which a fault left something.
func TestStopFaults_endsAllFaults(t *testing.T) {
	for _, fault := range Faults {
		t.Run(fault.Name, func(t *testing.T) {
			runner := startRunner(t, func(settings *Settings) { settings.Faults = FaultRates{fault.Name: 1} })
			conn, err := net.Dial("tcp", runner.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			if fault.Name == ExtraLate || fault.Name == ExtraLateSame {
				// These leave an answer with a connection that goes on.
				_, _ = io.WriteString(conn, strings.Replace(postRequest("/safe/1", "Onyxwell-Attempt-Id: before"), "Connection: close\r\n", "", 1))
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
			runner.StopFaults()
			for _, attempt := range []string{"a1", "a2"} {
				_, _ = io.WriteString(conn, strings.Replace(postRequest("/safe/1", "Onyxwell-Attempt-Id: "+attempt), "Connection: close\r\n", "", 1))
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || response.StatusCode != http.StatusOK || response.Header.Get("Onyxwell-Attempt-Id") != attempt || response.Header.Get("Onyxwell-Server-Seal") == "" {
					t.Errorf("%d %v %q %v", response.StatusCode, response.Header, body, err)
				}
			}
		})
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
	for _, fault := range Faults {
		t.Run(fault.Name, func(t *testing.T) {
			runner := startRunner(t, func(settings *Settings) { settings.Faults = FaultRates{fault.Name: 1} })
			for number := range 6 {
				path := []string{"/safe/1", "/stream/1"}[number%2]
				runner.exchange(t, postRequest(path, fmt.Sprintf("Onyxwell-Attempt-Id: a%d", number)))
			}
			runner.exchange(t, healthCheck)
			if runner.FaultCounts()[fault.Name] == 0 {
				t.Error("was not injected")
			}
		})
	}
}

// The attempt that a response is marked with differs from its own, also where the
// same attempt comes twice in a row.
func TestRunner_wrongAttempt(t *testing.T) {
	runner := startRunner(t, func(settings *Settings) { settings.Faults = FaultRates{OtherAttempt: 1} })
	for number, test := range []struct{ attempt, echoed string }{
		{"a1", "0000000000000000"}, {"a1", "0000000000000000"}, {"a2", "a1"}, {"a1", "a2"}, {"a1", "a2"},
	} {
		resp, _ := parseResponse(t, runner.exchange(t, postRequest("/safe/1", "Onyxwell-Attempt-Id: "+test.attempt)))
		if echoed := resp.Header.Get("Onyxwell-Attempt-Id"); echoed != test.echoed {
			t.Errorf("response %d, to %s, is marked as that of %s, not %s", number, test.attempt, echoed, test.echoed)
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
	rates := FaultRates{}
	for _, text := range []string{"garbage", "garbage=x", "garbage=1.5", "none=1"} {
		if err := rates.Set(text); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
	if err := rates.Set("garbage=0.5"); err != nil || rates[Garbage] != 0.5 {
		t.Fatal(err)
	}
}

package admin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// fakeDisk accepts writes without storing them, and fails them while failing is set.
type fakeDisk struct{ failing bool }

func (f *fakeDisk) Save([]byte) error {
	if f.failing {
		return io.ErrShortWrite
	}
	return nil
}

// loopback is a register.VoterClient that calls the acceptor of a single voter directly.
type loopback struct{ acceptor *register.Acceptor }

func (l loopback) Prepare(_ context.Context, _ ids.Address, req register.PrepareRequest) (register.PrepareResponse, error) {
	return l.acceptor.Prepare(req), nil
}

func (l loopback) Accept(_ context.Context, _ ids.Address, req register.AcceptRequest) (register.AcceptResponse, error) {
	return l.acceptor.Accept(req), nil
}

func (l loopback) Confirm(_ context.Context, _ ids.Address, req register.ConfirmRequest) (register.AcceptResponse, error) {
	return l.acceptor.Confirm(req), nil
}

func (l loopback) Fetch(_ context.Context, _ ids.Address, req register.FetchRequest) (register.FetchResponse, error) {
	return l.acceptor.Fetch(req), nil
}

// testServer serves the API of a controller that is the only voter.
type testServer struct {
	*testing.T
	server  *httptest.Server
	calls   *httpcall.Mux
	updates *gossip.Store
	disk    *fakeDisk
	log     *logtest.Buffer
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{T: t, updates: gossip.NewStore(nil), disk: &fakeDisk{}, log: &logtest.Buffer{}}
	fakeClock := clock.NewFake()
	ctx := scope.New(scope.Options{Clock: fakeClock, Log: scope.NewLogger("warn", s.log)})
	acceptor, err := register.NewAcceptor("a", nil)
	if err != nil {
		t.Fatal(err)
	}
	acceptor.Attach(s.disk)
	if err := acceptor.Bootstrap(register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}}}); err != nil {
		t.Fatal(err)
	}
	var dispatcher *command.Dispatcher
	proposer := register.NewProposer(register.ProposerOptions{
		Clock: fakeClock, Log: ctx.Log,
		Address: "a", Client: loopback{acceptor: acceptor}, Voters: acceptor.Voters, MessageTimeout: time.Second,
		OnCommit: func(key string, committed register.Proposal) { dispatcher.Publish(key, committed) },
	})
	dispatcher = command.New(command.Options{
		Clock: fakeClock, Log: ctx.Log,
		Address: "a", Proposer: proposer, Acceptor: acceptor, Membership: membership.NewTable(fakeClock, membership.Member{Address: "a"}),
		Updates: s.updates, Transport: transport.NewClient(httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}),
		ForwardTimeout: 4, CommandTimeout: time.Second, TakeoverBackoff: func() time.Duration { return 0 },
	})
	s.calls = httpcall.NewMux(fakeClock, 4000)
	Serve(s.calls, Options{Log: ctx.Log, Dispatcher: dispatcher, Zones: map[ids.Zone]ids.Region{"hall": "north"}})
	s.server = httptest.NewServer(s.calls)
	t.Cleanup(s.server.Close)
	return s
}

// do sends a request over HTTP and returns the status and the body of the response. An
// empty match sends no If-Match header.
func (t *testServer) do(method string, path string, match string, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, t.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if match != "" {
		req.Header.Set("If-Match", match)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

const validConfig = `{"config_version":5,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"safe","give_up_ms":9,"service":"s"}],"services":[{"name":"s"}]}`

func TestServe_answersEveryCall(t *testing.T) {
	s := newTestServer(t)
	cases := []struct {
		name, method, path, match, body string
		status                          int
		wantBody                        string
	}{
		{"no configuration yet", "GET", "/settings", "", "", 503, "unready"},
		{"truncated", "PUT", "/settings", "0", validConfig[:50], 400, "not JSON"},
		{"no If-Match", "PUT", "/settings", "", validConfig, 400, "If-Match"},
		{"unknown service", "PUT", "/settings", "0", strings.Replace(validConfig, `"service":"s"`, `"service":"x"`, 1), 400, "routes[0].service"},
		{"first", "PUT", "/settings", "0", validConfig, 200, `"config_version":5`},
		{"repeated", "PUT", "/settings", "0", validConfig, 200, `"config_version":5`},
		{"conflicting", "PUT", "/settings", "0", strings.Replace(validConfig, ":5", ":6", 1), 412, "stale-spec"},
		{"version not increased", "PUT", "/settings", "5", strings.Replace(validConfig, ":9", ":8", 1), 400, "config_version"},
		{"patched", "PATCH", "/settings", "\"5\"", `{"config_version":8,"remove":{"routes":["r"]}}`, 200, `"config_version":8`},
		{"read back", "GET", "/settings", "", "", 200, `"routes":[]`},
		{"body too large", "PUT", "/settings", "8", strings.Repeat(" ", 4001), 413, "body-too-large"},
		{"drained", "POST", "/empty/hall", "", "", 200, ""},
		{"drained again", "POST", "/empty/hall", "", "", 200, ""},
		{"undrained", "DELETE", "/empty/hall", "", "", 200, ""},
		{"unknown zone", "POST", "/empty/nowhere", "", "", 404, "unknown-zone"},
		{"unknown call", "GET", "/nothing", "", "", 404, "unknown-call"},
	}
	// Each case depends on the ones before it.
	for _, test := range cases {
		status, text := s.do(test.method, test.path, test.match, test.body)
		if status != test.status || !strings.Contains(text, test.wantBody) {
			t.Errorf("%s: got status %d, body %s", test.name, status, text)
		}
	}
	configItem, _ := s.updates.Get("spec")
	zoneItem, _ := s.updates.Get("evacuation/hall")
	if configItem.Version != 8 || zoneItem.Version != 2 {
		t.Errorf("gossip has version %d of the configuration, want 8, and version %d of the zone, want 2", configItem.Version, zoneItem.Version)
	}
}

func TestServe_failingDiskIsNotAcknowledged(t *testing.T) {
	s := newTestServer(t)
	s.disk.failing = true
	if status, text := s.do("PUT", "/settings", "0", validConfig); status != 503 {
		t.Fatalf("failing disk: got status %d, want 503; body %s", status, text)
	}
	if _, ok := s.updates.Get("spec"); ok {
		t.Fatal("a configuration that was not stored on disk was published")
	}
	s.disk.failing = false
	if status, text := s.do("PUT", "/settings", "0", validConfig); status != 200 {
		t.Fatalf("working disk: got status %d, want 200; body %s", status, text)
	}
}

// TestServe_reportsUnsupportedFields checks how an operator learns of fields that have no
// effect on routers: each response lists them, and a change that is sent again does not
// log them again.
func TestServe_reportsUnsupportedFields(t *testing.T) {
	s := newTestServer(t)
	first := strings.Replace(validConfig, `"routes"`, `"later":1,"routes"`, 1)
	for range 2 {
		if status, text := s.do("PUT", "/settings", "0", first); status != 200 || !strings.Contains(text, `"unsupported_fields":["later"]`) {
			t.Errorf("full document: got status %d, body %s", status, text)
		}
	}
	patch := `{"config_version":8,"changes":{"services":[{"name":"s","later":1}]}}`
	if status, text := s.do("PATCH", "/settings", "5", patch); status != 200 || !strings.Contains(text, `["services[].later"]`) {
		t.Errorf("patch: got status %d, body %s", status, text)
	}
	misspelt := `{"config_version":10,"change":{},"remove":{"route":["r"]}}`
	if status, text := s.do("PATCH", "/settings", "8", misspelt); status != 200 || !strings.Contains(text, `["change","remove.route"]`) {
		t.Errorf("patch with misspelled keys: got status %d, body %s", status, text)
	}
	if got := strings.Count(s.log.String(), "configuration has unsupported fields"); got != 3 {
		t.Errorf("logged %d times, want 3:\n%s", got, s.log.String())
	}
	if status, text := s.do("PATCH", "/settings", "10", `{"config_version":11}`); status != 200 || strings.Contains(text, "unsupported") {
		t.Errorf("patch without unsupported fields: got status %d, body %s", status, text)
	}
}

package admin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

type fakeDisk struct{ refuses bool }

func (f *fakeDisk) Save([]byte) error {
	if f.refuses {
		return io.ErrShortWrite
	}
	return nil
}

// loopback is a line on which only the own voter answers.
type loopback struct{ acceptor *register.Acceptor }

func (l loopback) Promise(_ scope.Scope, _ ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return l.acceptor.Prepare(asked), nil
}

func (l loopback) Accept(_ scope.Scope, _ ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return l.acceptor.Accept(asked), nil
}

func (l loopback) Confirm(_ scope.Scope, _ ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return l.acceptor.Confirm(asked), nil
}

type testServer struct {
	t       *testing.T
	server  *httptest.Server
	calls   *httpcall.Mux
	updates *gossip.Store
	disk    *fakeDisk
}

func newTestServer(t *testing.T) *testServer {
	t.Helper()
	made := &testServer{t: t, updates: gossip.NewStore(nil), disk: &fakeDisk{}}
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine, Settings: &settings.Settings{Zones: map[ids.Zone]ids.Region{"hall": "north"}}})
	voter, err := register.NewAcceptor("a", nil)
	if err != nil {
		t.Fatal(err)
	}
	voter.Attach(made.disk)
	if err := voter.Bootstrap(register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}}}); err != nil {
		t.Fatal(err)
	}
	var front *command.Dispatcher
	keeper := register.NewProposer(register.ProposerOptions{
		Address: "a", Client: loopback{acceptor: voter}, Voters: voter.Voters, MessageTimeout: clock.Second,
		OnCommit: func(key string, accepted register.Proposal) { front.Publish(key, accepted) },
	})
	front = command.New(command.Options{
		Address: "a", Proposer: keeper, Acceptor: voter, Membership: membership.NewTable(machine, membership.Member{Address: "a"}),
		Updates: made.updates, Transport: transport.NewClient(httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}), ForwardTimeout: 4, CommandTimeout: clock.Second,
		TakeoverBackoff: func() clock.Span { return 0 },
	})
	calls := httpcall.NewMux(top, 4000)
	Serve(calls, front)
	made.calls = calls
	made.server = httptest.NewServer(calls)
	t.Cleanup(made.server.Close)
	return made
}

func (t *testServer) do(method string, path string, match string, body string) (int, string) {
	t.t.Helper()
	request, err := http.NewRequest(method, t.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.t.Fatal(err)
	}
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

const validConfig = `{"config_version":5,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"safe","give_up_ms":9,"service":"s"}],"services":[{"name":"s"}]}`

func TestServe_answersEveryCall(t *testing.T) {
	office := newTestServer(t)
	cases := []struct {
		name, method, path, match, body string
		status                          int
		says                            string
	}{
		{"nothing yet", "GET", "/settings", "", "", 503, "unready"},
		{"cut short", "PUT", "/settings", "0", validConfig[:50], 400, "not JSON"},
		{"no version named", "PUT", "/settings", "", validConfig, 400, "If-Match"},
		{"unknown service", "PUT", "/settings", "0", strings.Replace(validConfig, `"service":"s"`, `"service":"x"`, 1), 400, "routes[0].service"},
		{"taken", "PUT", "/settings", "0", validConfig, 200, `"config_version":5`},
		{"sent again", "PUT", "/settings", "0", validConfig, 200, `"config_version":5`},
		{"a rival", "PUT", "/settings", "0", strings.Replace(validConfig, ":5", ":6", 1), 412, "stale-spec"},
		{"not above", "PUT", "/settings", "5", strings.Replace(validConfig, ":9", ":8", 1), 400, "config_version"},
		{"changed", "PATCH", "/settings", "\"5\"", `{"config_version":8,"remove":{"routes":["r"]}}`, 200, `"config_version":8`},
		{"read back", "GET", "/settings", "", "", 200, `"routes":[]`},
		{"too long", "PUT", "/settings", "8", strings.Repeat(" ", 4001), 413, "body-too-large"},
		{"emptied", "POST", "/empty/hall", "", "", 200, ""},
		{"emptied again", "POST", "/empty/hall", "", "", 200, ""},
		{"refilled", "DELETE", "/empty/hall", "", "", 200, ""},
		{"no such zone", "POST", "/empty/nowhere", "", "", 404, "unknown-zone"},
		{"no such call", "GET", "/nothing", "", "", 404, "unknown-call"},
	}
	for _, example := range cases {
		status, text := office.do(example.method, example.path, example.match, example.body)
		if status != example.status || !strings.Contains(text, example.says) {
			t.Errorf("%s: %d %s", example.name, status, text)
		}
	}
	spec, _ := office.updates.Get("spec")
	emptied, _ := office.updates.Get("evacuation/hall")
	if spec.Version != 8 || emptied.Version != 2 {
		t.Errorf("the news are at %d and %d", spec.Version, emptied.Version)
	}
}

func TestServe_failingDiskIsNotAcknowledged(t *testing.T) {
	office := newTestServer(t)
	office.disk.refuses = true
	if status, text := office.do("PUT", "/settings", "0", validConfig); status != 503 {
		t.Fatalf("%d %s", status, text)
	}
	if _, told := office.updates.Get("spec"); told {
		t.Fatal("a spec that no disk holds is news")
	}
	office.disk.refuses = false
	if status, text := office.do("PUT", "/settings", "0", validConfig); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
}

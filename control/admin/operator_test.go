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

// alone is a line on which only the own voter answers.
type alone struct{ voter *register.Acceptor }

func (a alone) Promise(_ scope.Scope, _ ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return a.voter.Prepare(asked), nil
}

func (a alone) Accept(_ scope.Scope, _ ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return a.voter.Accept(asked), nil
}

func (a alone) Confirm(_ scope.Scope, _ ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return a.voter.Confirm(asked), nil
}

type office struct {
	t      *testing.T
	server *httptest.Server
	calls  *httpcall.Table
	news   *gossip.News
	disk   *fakeDisk
}

func newOffice(t *testing.T) *office {
	t.Helper()
	made := &office{t: t, news: gossip.NewNews(nil), disk: &fakeDisk{}}
	machine := clock.NewFake()
	top := scope.New(scope.Options{Clock: machine, Boot: &settings.Boot{Zones: map[ids.Zone]ids.Region{"hall": "north"}}})
	voter, err := register.NewAcceptor("a", nil)
	if err != nil {
		t.Fatal(err)
	}
	voter.Attach(made.disk)
	if err := voter.Bootstrap(register.VoterSet{Generation: 1, Members: []register.Member{{Address: "a"}}}); err != nil {
		t.Fatal(err)
	}
	var front *command.Desk
	keeper := register.NewProposer(register.ProposerOptions{
		Address: "a", Client: alone{voter: voter}, Voters: voter.Voters, MessageTimeout: clock.Second,
		OnCommit: func(key string, accepted register.Proposal) { front.Chosen(key, accepted) },
	})
	front = command.New(command.Options{
		Address: "a", Keeper: keeper, Acceptor: voter, Table: membership.NewTable(machine, membership.Member{Address: "a"}),
		News: made.news, Messenger: transport.New(httpcall.Dialing{Limit: clock.Second, Silence: clock.Second}), Pass: 4, Limit: clock.Second,
		Pause: func() clock.Span { return 0 },
	})
	calls := httpcall.NewTable(top, 4000)
	Serve(calls, front)
	made.calls = calls
	made.server = httptest.NewServer(calls)
	t.Cleanup(made.server.Close)
	return made
}

func (o *office) ask(method string, path string, match string, body string) (int, string) {
	o.t.Helper()
	request, err := http.NewRequest(method, o.server.URL+path, strings.NewReader(body))
	if err != nil {
		o.t.Fatal(err)
	}
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		o.t.Fatal(err)
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

const good = `{"config_version":5,"routes":[{"name":"r","hostname":"h","path_prefix":"/a/","type":"safe","give_up_ms":9,"service":"s"}],"services":[{"name":"s"}]}`

func TestOperatorsCalls(t *testing.T) {
	office := newOffice(t)
	cases := []struct {
		name, method, path, match, body string
		status                          int
		says                            string
	}{
		{"nothing yet", "GET", "/settings", "", "", 503, "unready"},
		{"cut short", "PUT", "/settings", "0", good[:50], 400, "not JSON"},
		{"no version named", "PUT", "/settings", "", good, 400, "If-Match"},
		{"unknown service", "PUT", "/settings", "0", strings.Replace(good, `"service":"s"`, `"service":"x"`, 1), 400, "routes[0].service"},
		{"taken", "PUT", "/settings", "0", good, 200, `"config_version":5`},
		{"sent again", "PUT", "/settings", "0", good, 200, `"config_version":5`},
		{"a rival", "PUT", "/settings", "0", strings.Replace(good, ":5", ":6", 1), 412, "stale-spec"},
		{"not above", "PUT", "/settings", "5", strings.Replace(good, ":9", ":8", 1), 400, "config_version"},
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
		status, text := office.ask(example.method, example.path, example.match, example.body)
		if status != example.status || !strings.Contains(text, example.says) {
			t.Errorf("%s: %d %s", example.name, status, text)
		}
	}
	spec, _ := office.news.Get("spec")
	emptied, _ := office.news.Get("evacuation/hall")
	if spec.Serial != 8 || emptied.Serial != 2 {
		t.Errorf("the news are at %d and %d", spec.Serial, emptied.Serial)
	}
}

func TestDiskThatRefusesIsNoAcknowledgement(t *testing.T) {
	office := newOffice(t)
	office.disk.refuses = true
	if status, text := office.ask("PUT", "/settings", "0", good); status != 503 {
		t.Fatalf("%d %s", status, text)
	}
	if _, told := office.news.Get("spec"); told {
		t.Fatal("a spec that no disk holds is news")
	}
	office.disk.refuses = false
	if status, text := office.ask("PUT", "/settings", "0", good); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
}

package transport

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/scope"
)

type item struct {
	Name  string `avro:"Name"`
	Bytes []byte `avro:"Bytes"`
}

// SchemaName names the stored and sent form; it must never change.
func (item) SchemaName() string { return "item_24" }

type question struct {
	Number int64  `avro:"Number"`
	Items  []item `avro:"Items"`
}

// SchemaName names the stored and sent form; it must never change.
func (question) SchemaName() string { return "question_24" }

// older is the question as another build may know it.
type older struct {
	Number int64    `avro:"Number"`
	Items  []string `avro:"Items"`
}

// SchemaName names the stored and sent form; it must never change.
func (older) SchemaName() string { return "older_24" }

type answer struct {
	Sum int64 `avro:"Sum"`
}

// SchemaName names the stored and sent form; it must never change.
func (answer) SchemaName() string { return "answer_24" }

var asking = question{Number: 700, Items: []item{{Name: "a", Bytes: []byte("xyz")}, {Name: "b"}}}

func here() *Gate { return NewGate(map[ids.Zone]ids.Region{"hall": "north", "yard": "south"}) }

func TestMarkIsOfTheDeploymentAlone(t *testing.T) {
	again := NewGate(map[ids.Zone]ids.Region{"yard": "south", "hall": "north"})
	other := NewGate(map[ids.Zone]ids.Region{"yard": "north", "hall": "south"})
	if string(again.mark) != string(here().mark) || string(other.mark) == string(here().mark) {
		t.Fatalf("%x, %x and %x", here().mark, again.mark, other.mark)
	}
}

func TestEveryTornMessageIsRefused(t *testing.T) {
	whole, err := Pack(asking)
	if err != nil {
		t.Fatal(err)
	}
	if read, err := Unpack[question](whole); err != nil || read.Number != 700 || len(read.Items) != 2 || string(read.Items[0].Bytes) != "xyz" {
		t.Fatalf("%+v, %v", read, err)
	}
	for length := range whole {
		if _, err := Unpack[question](whole[:length]); err == nil || FlawOf(err) != Torn {
			t.Errorf("cut to %d of %d bytes: %v", length, len(whole), err)
		}
	}
	if _, err := Unpack[question](append(bytes.Clone(whole), 0)); err == nil || FlawOf(err) != Torn {
		t.Errorf("a byte too many: %v", err)
	}
	// Whatever single byte is turned over, the reader ends with a word on it or
	// with a message; it claims no memory that the bytes can't fill.
	for index := range whole {
		for bit := range 8 {
			odd := bytes.Clone(whole)
			odd[index] ^= 1 << bit
			_, _ = Unpack[question](odd)
		}
	}
	if _, err := Unpack[older](whole); err == nil || FlawOf(err) != Version {
		t.Errorf("read as another type: %v", err)
	}
}

// post sends bytes to a table and gives the status and the kind told.
func post(calls *httpcall.Table, name string, body []byte) (int, errkind.Kind) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/"+name, bytes.NewReader(body))
	request.RemoteAddr = "10.0.0.7:4444"
	calls.ServeHTTP(recorder, request)
	kind, _ := strconv.Atoi(recorder.Header().Get(response.KindHeader))
	return recorder.Code, errkind.Kind(kind)
}

func TestBadMessagesAreCountedLoggedOnceAndDropped(t *testing.T) {
	written := &bytes.Buffer{}
	top := scope.New(scope.Options{Log: scope.Logger("warn", written)})
	calls, served := httpcall.NewTable(top, 100), 0
	gate := here()
	calls.Gate = gate
	Handle(calls, "sum", func(scope.Scope, question) (answer, error) { served++; return answer{Sum: 1}, nil })
	good, _ := Enclose(gate, asking)
	foreign, _ := Enclose(NewGate(nil), asking)
	version, _ := Enclose(gate, older{Number: 7})
	cases := []struct {
		name, call string
		body       []byte
		status     int
		kind       errkind.Kind
		flaw       Flaw
	}{
		{"torn", "sum", good[:len(good)-2], 400, errkind.BadRequest, Torn},
		{"empty", "sum", nil, 400, errkind.BadRequest, Torn},
		{"another version", "sum", version, 400, errkind.BadRequest, Version},
		{"another deployment", "sum", foreign, 400, errkind.BadRequest, Foreign},
		{"oversized", "sum", append(bytes.Clone(good), make([]byte, 100)...), 413, errkind.BodyTooLarge, Oversized},
		{"unknown", "product", good, 404, errkind.UnknownCall, Unknown},
	}
	for _, example := range cases {
		for range 3 {
			before := gate.Counts[example.flaw].Load()
			status, kind := post(calls, example.call, example.body)
			if status != example.status || kind != example.kind || gate.Counts[example.flaw].Load() != before+1 {
				t.Errorf("%s: %d %v, counted %v", example.name, status, kind, gate.Totals())
			}
		}
	}
	if status, _ := post(calls, "sum", good); status != 200 || served != 1 {
		t.Fatalf("%d for a good one, %d were served", status, served)
	}
	// Torn and empty are one flaw of one sender.
	if lines := strings.Count(written.String(), "\n"); lines != int(flaws) {
		t.Errorf("%d lines:\n%s", lines, written)
	}
	for sender := range 2 * toldLimit {
		gate.Refused(top, fmt.Sprint(sender), errkind.Of(errkind.BadRequest, "odd"))
	}
	if lines := strings.Count(written.String(), "\n"); lines != toldLimit {
		t.Errorf("%d lines after many senders", lines)
	}
}

func TestAnswerOfAnotherVersionIsCounted(t *testing.T) {
	top := scope.New(scope.Options{})
	calls := httpcall.NewTable(top, 100)
	calls.Gate = here()
	Handle(calls, "sum", func(scope.Scope, question) (older, error) { return older{Number: 9}, nil })
	server := httptest.NewServer(calls)
	defer server.Close()
	messenger := New(httpcall.Dialing{Limit: clock.Second, Silence: clock.Second})
	messenger.Gate = here()
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	if told, err := Send[answer](top, messenger, address, "sum", asking); err == nil || FlawOf(err) != Version {
		t.Fatalf("%+v, %v", told, err)
	}
	if told, err := Send[older](top, messenger, address, "sum", asking); err != nil || told.Number != 9 {
		t.Fatalf("%+v, %v", told, err)
	}
	if totals := messenger.Gate.Totals(); totals["version"] != 1 || totals["torn"] != 0 {
		t.Fatalf("%v", totals)
	}
	stranger := New(httpcall.Dialing{Limit: clock.Second, Silence: clock.Second})
	stranger.Gate = NewGate(nil)
	if _, err := Send[older](top, stranger, address, "sum", asking); errkind.KindOf(err) != errkind.BadRequest {
		t.Fatalf("a foreign message: %v", err)
	}
}

func BenchmarkPack(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		body, _ := Pack(asking)
		_, _ = Unpack[question](body)
	}
}

type unnamed struct {
	Number int64 `avro:"Number"`
}

type untagged struct{ Number int64 }

func (untagged) SchemaName() string { return "untagged" }

// TestPack_refusesFormsThatFollowGoNames keeps a form from hanging on the names
// of Go types and fields, which may change while stored values stay.
func TestPack_refusesFormsThatFollowGoNames(t *testing.T) {
	if _, err := Pack(unnamed{}); err == nil || !strings.Contains(err.Error(), "SchemaName") {
		t.Errorf("no SchemaName: %v", err)
	}
	if _, err := Pack(untagged{}); err == nil || !strings.Contains(err.Error(), "avro tag") {
		t.Errorf("no avro tag: %v", err)
	}
}

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

type sampleItem struct {
	Name  string `avro:"Name"`
	Bytes []byte `avro:"Bytes"`
}

// SchemaName names the stored and sent form; it must never change.
func (sampleItem) SchemaName() string { return "item_24" }

type sampleMessage struct {
	Number int64        `avro:"Number"`
	Items  []sampleItem `avro:"Items"`
}

// SchemaName names the stored and sent form; it must never change.
func (sampleMessage) SchemaName() string { return "question_24" }

// olderMessage is the question as another build may know it.
type olderMessage struct {
	Number int64    `avro:"Number"`
	Items  []string `avro:"Items"`
}

// SchemaName names the stored and sent form; it must never change.
func (olderMessage) SchemaName() string { return "older_24" }

type sampleReply struct {
	Sum int64 `avro:"Sum"`
}

// SchemaName names the stored and sent form; it must never change.
func (sampleReply) SchemaName() string { return "answer_24" }

var sampleRequest = sampleMessage{Number: 700, Items: []sampleItem{{Name: "a", Bytes: []byte("xyz")}, {Name: "b"}}}

func newTestGuard() *Guard {
	return NewGuard(map[ids.Zone]ids.Region{"hall": "north", "yard": "south"})
}

func TestNewGuard_tagDependsOnDeploymentOnly(t *testing.T) {
	again := NewGuard(map[ids.Zone]ids.Region{"yard": "south", "hall": "north"})
	other := NewGuard(map[ids.Zone]ids.Region{"yard": "north", "hall": "south"})
	if string(again.deploymentTag) != string(newTestGuard().deploymentTag) || string(other.deploymentTag) == string(newTestGuard().deploymentTag) {
		t.Fatalf("%x, %x and %x", newTestGuard().deploymentTag, again.deploymentTag, other.deploymentTag)
	}
}

func TestUnmarshal_rejectsDamagedMessages(t *testing.T) {
	whole, err := Marshal(sampleRequest)
	if err != nil {
		t.Fatal(err)
	}
	if read, err := Unmarshal[sampleMessage](whole); err != nil || read.Number != 700 || len(read.Items) != 2 || string(read.Items[0].Bytes) != "xyz" {
		t.Fatalf("%+v, %v", read, err)
	}
	for length := range whole {
		if _, err := Unmarshal[sampleMessage](whole[:length]); err == nil || RejectReasonOf(err) != Malformed {
			t.Errorf("cut to %d of %d bytes: %v", length, len(whole), err)
		}
	}
	if _, err := Unmarshal[sampleMessage](append(bytes.Clone(whole), 0)); err == nil || RejectReasonOf(err) != Malformed {
		t.Errorf("a byte too many: %v", err)
	}
	// Whatever single byte is turned over, the reader ends with a word on it or
	// with a message; it claims no memory that the bytes can't fill.
	for index := range whole {
		for bit := range 8 {
			odd := bytes.Clone(whole)
			odd[index] ^= 1 << bit
			_, _ = Unmarshal[sampleMessage](odd)
		}
	}
	if _, err := Unmarshal[olderMessage](whole); err == nil || RejectReasonOf(err) != SchemaMismatch {
		t.Errorf("read as another type: %v", err)
	}
}

// postMessage sends bytes to a table and gives the status and the kind told.
func postMessage(calls *httpcall.Mux, name string, body []byte) (int, errkind.Kind) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/"+name, bytes.NewReader(body))
	request.RemoteAddr = "10.0.0.7:4444"
	calls.ServeHTTP(recorder, request)
	kind, _ := strconv.Atoi(recorder.Header().Get(response.KindHeader))
	return recorder.Code, errkind.Kind(kind)
}

func TestGuard_countsRejectionsAndLogsOnce(t *testing.T) {
	written := &bytes.Buffer{}
	top := scope.New(scope.Options{Log: scope.NewLogger("warn", written)})
	calls, served := httpcall.NewMux(top, 100), 0
	gate := newTestGuard()
	calls.Gate = gate
	Handle(calls, "sum", func(scope.Scope, sampleMessage) (sampleReply, error) { served++; return sampleReply{Sum: 1}, nil })
	good, _ := Seal(gate, sampleRequest)
	foreign, _ := Seal(NewGuard(nil), sampleRequest)
	version, _ := Seal(gate, olderMessage{Number: 7})
	cases := []struct {
		name, call string
		body       []byte
		status     int
		kind       errkind.Kind
		flaw       RejectReason
	}{
		{"torn", "sum", good[:len(good)-2], 400, errkind.BadRequest, Malformed},
		{"empty", "sum", nil, 400, errkind.BadRequest, Malformed},
		{"another version", "sum", version, 400, errkind.BadRequest, SchemaMismatch},
		{"another deployment", "sum", foreign, 400, errkind.BadRequest, ForeignDeployment},
		{"oversized", "sum", append(bytes.Clone(good), make([]byte, 100)...), 413, errkind.BodyTooLarge, TooLarge},
		{"unknown", "product", good, 404, errkind.UnknownCall, UnknownMessage},
	}
	for _, example := range cases {
		for range 3 {
			before := gate.Counts[example.flaw].Load()
			status, kind := postMessage(calls, example.call, example.body)
			if status != example.status || kind != example.kind || gate.Counts[example.flaw].Load() != before+1 {
				t.Errorf("%s: %d %v, counted %v", example.name, status, kind, gate.Totals())
			}
		}
	}
	if status, _ := postMessage(calls, "sum", good); status != 200 || served != 1 {
		t.Fatalf("%d for a good one, %d were served", status, served)
	}
	// Torn and empty are one flaw of one sender.
	if lines := strings.Count(written.String(), "\n"); lines != int(rejectReasonCount) {
		t.Errorf("%d lines:\n%s", lines, written)
	}
	for sender := range 2 * maxLoggedRejections {
		gate.Rejected(top, fmt.Sprint(sender), errkind.Errorf(errkind.BadRequest, "odd"))
	}
	if lines := strings.Count(written.String(), "\n"); lines != maxLoggedRejections {
		t.Errorf("%d lines after many senders", lines)
	}
}

func TestSend_countsResponseOfOtherSchema(t *testing.T) {
	top := scope.New(scope.Options{})
	calls := httpcall.NewMux(top, 100)
	calls.Gate = newTestGuard()
	Handle(calls, "sum", func(scope.Scope, sampleMessage) (olderMessage, error) { return olderMessage{Number: 9}, nil })
	server := httptest.NewServer(calls)
	defer server.Close()
	messenger := NewClient(httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second})
	messenger.Guard = newTestGuard()
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	if told, err := Send[sampleReply](top, messenger, address, "sum", sampleRequest); err == nil || RejectReasonOf(err) != SchemaMismatch {
		t.Fatalf("%+v, %v", told, err)
	}
	if told, err := Send[olderMessage](top, messenger, address, "sum", sampleRequest); err != nil || told.Number != 9 {
		t.Fatalf("%+v, %v", told, err)
	}
	if totals := messenger.Guard.Totals(); totals["version"] != 1 || totals["torn"] != 0 {
		t.Fatalf("%v", totals)
	}
	stranger := NewClient(httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second})
	stranger.Guard = NewGuard(nil)
	if _, err := Send[olderMessage](top, stranger, address, "sum", sampleRequest); errkind.KindOf(err) != errkind.BadRequest {
		t.Fatalf("a foreign message: %v", err)
	}
}

func BenchmarkMarshal(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		body, _ := Marshal(sampleRequest)
		_, _ = Unmarshal[sampleMessage](body)
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
	if _, err := Marshal(unnamed{}); err == nil || !strings.Contains(err.Error(), "SchemaName") {
		t.Errorf("no SchemaName: %v", err)
	}
	if _, err := Marshal(untagged{}); err == nil || !strings.Contains(err.Error(), "avro tag") {
		t.Errorf("no avro tag: %v", err)
	}
}

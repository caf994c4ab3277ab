package transport

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

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

// olderMessage is sampleMessage in the form of another build.
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
	return NewGuard(map[ids.Zone]ids.Region{"hall": "north", "yard": "south"}, nil)
}

func TestNewGuard_tagDependsOnDeploymentOnly(t *testing.T) {
	again := NewGuard(map[ids.Zone]ids.Region{"yard": "south", "hall": "north"}, nil)
	other := NewGuard(map[ids.Zone]ids.Region{"yard": "north", "hall": "south"}, nil)
	if string(again.deploymentTag) != string(newTestGuard().deploymentTag) || string(other.deploymentTag) == string(newTestGuard().deploymentTag) {
		t.Fatalf("%x, %x and %x", newTestGuard().deploymentTag, again.deploymentTag, other.deploymentTag)
	}
}

func TestUnmarshal_rejectsDamagedMessages(t *testing.T) {
	whole, err := Marshal(sampleRequest)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Unmarshal[sampleMessage](whole); err != nil || decoded.Number != 700 || len(decoded.Items) != 2 || string(decoded.Items[0].Bytes) != "xyz" {
		t.Fatalf("%+v, %v", decoded, err)
	}
	for length := range whole {
		if _, err := Unmarshal[sampleMessage](whole[:length]); err == nil || RejectReasonOf(err) != Malformed {
			t.Errorf("cut to %d of %d bytes: %v", length, len(whole), err)
		}
	}
	if _, err := Unmarshal[sampleMessage](append(bytes.Clone(whole), 0)); err == nil || RejectReasonOf(err) != Malformed {
		t.Errorf("a byte too many: %v", err)
	}
	// Whatever single bit is flipped, decoding ends with an error or a message, and
	// claims no memory that the bytes can't fill.
	for index := range whole {
		for bit := range 8 {
			damaged := bytes.Clone(whole)
			damaged[index] ^= 1 << bit
			_, _ = Unmarshal[sampleMessage](damaged)
		}
	}
	if _, err := Unmarshal[olderMessage](whole); err == nil || RejectReasonOf(err) != SchemaMismatch {
		t.Errorf("read as another type: %v", err)
	}
}

// postMessage posts a body to a mux and returns the status and the kind answered.
func postMessage(mux *httpcall.Mux, name string, body []byte) (int, errkind.Kind) {
	recorder := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/"+name, bytes.NewReader(body))
	req.RemoteAddr = "10.0.0.7:4444"
	mux.ServeHTTP(recorder, req)
	kind, _ := strconv.Atoi(recorder.Header().Get(response.KindHeader))
	return recorder.Code, errkind.Kind(kind)
}

func TestGuard_countsRejectionsAndLogsOnce(t *testing.T) {
	logged := &bytes.Buffer{}
	top := scope.New(scope.Options{})
	mux, handled := httpcall.NewMux(top.Clock, 100), 0
	guard := newTestGuard()
	guard.log = scope.NewLogger("warn", logged)
	mux.Gate = guard
	Handle(mux, "sum", func(context.Context, sampleMessage) (sampleReply, error) { handled++; return sampleReply{Sum: 1}, nil })
	good, _ := Seal(guard, sampleRequest)
	foreign, _ := Seal(NewGuard(nil, nil), sampleRequest)
	otherSchema, _ := Seal(guard, olderMessage{Number: 7})
	tests := []struct {
		name, call string
		body       []byte
		status     int
		kind       errkind.Kind
		reason     RejectReason
	}{
		{"torn", "sum", good[:len(good)-2], 400, errkind.BadRequest, Malformed},
		{"empty", "sum", nil, 400, errkind.BadRequest, Malformed},
		{"another version", "sum", otherSchema, 400, errkind.BadRequest, SchemaMismatch},
		{"another deployment", "sum", foreign, 400, errkind.BadRequest, ForeignDeployment},
		{"oversized", "sum", append(bytes.Clone(good), make([]byte, 100)...), 413, errkind.BodyTooLarge, TooLarge},
		{"unknown", "product", good, 404, errkind.UnknownCall, UnknownMessage},
	}
	for _, test := range tests {
		for range 3 {
			before := guard.Counts[test.reason].Load()
			status, kind := postMessage(mux, test.call, test.body)
			if status != test.status || kind != test.kind || guard.Counts[test.reason].Load() != before+1 {
				t.Errorf("%s: %d %v, counted %v", test.name, status, kind, guard.Totals())
			}
		}
	}
	if status, _ := postMessage(mux, "sum", good); status != 200 || handled != 1 {
		t.Fatalf("%d for a good one, %d were handled", status, handled)
	}
	// Torn and empty are one reason of one sender.
	if lines := strings.Count(logged.String(), "\n"); lines != int(rejectReasonCount) {
		t.Errorf("%d lines:\n%s", lines, logged)
	}
	for sender := range 2 * maxLoggedRejections {
		guard.Rejected(fmt.Sprint(sender), errkind.Errorf(errkind.BadRequest, "odd"))
	}
	if lines := strings.Count(logged.String(), "\n"); lines != maxLoggedRejections {
		t.Errorf("%d lines after many senders", lines)
	}
}

func TestSend_countsResponseOfOtherSchema(t *testing.T) {
	top := scope.New(scope.Options{})
	mux := httpcall.NewMux(top.Clock, 100)
	mux.Gate = newTestGuard()
	Handle(mux, "sum", func(context.Context, sampleMessage) (olderMessage, error) { return olderMessage{Number: 9}, nil })
	server := httptest.NewServer(mux)
	defer server.Close()
	client := NewClient(httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second})
	client.Guard = newTestGuard()
	address := ids.Address(strings.TrimPrefix(server.URL, "http://"))
	if resp, err := Send[sampleReply](top, client, address, "sum", sampleRequest); err == nil || RejectReasonOf(err) != SchemaMismatch {
		t.Fatalf("%+v, %v", resp, err)
	}
	if resp, err := Send[olderMessage](top, client, address, "sum", sampleRequest); err != nil || resp.Number != 9 {
		t.Fatalf("%+v, %v", resp, err)
	}
	if totals := client.Guard.Totals(); totals["version"] != 1 || totals["torn"] != 0 {
		t.Fatalf("%v", totals)
	}
	foreign := NewClient(httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second})
	foreign.Guard = NewGuard(nil, nil)
	if _, err := Send[olderMessage](top, foreign, address, "sum", sampleRequest); errkind.KindOf(err) != errkind.BadRequest {
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

// TestMarshal_rejectsTypesWithoutExplicitNames keeps a form from hanging on the names
// of Go types and fields, which may change while stored values stay.
func TestMarshal_rejectsTypesWithoutExplicitNames(t *testing.T) {
	if _, err := Marshal(unnamed{}); err == nil || !strings.Contains(err.Error(), "SchemaName") {
		t.Errorf("no SchemaName: %v", err)
	}
	if _, err := Marshal(untagged{}); err == nil || !strings.Contains(err.Error(), "avro tag") {
		t.Errorf("no avro tag: %v", err)
	}
}

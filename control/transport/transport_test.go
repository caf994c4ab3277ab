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

// SchemaName returns the name in the schema. It must never change.
func (sampleItem) SchemaName() string { return "item_24" }

type sampleMessage struct {
	Number int64        `avro:"Number"`
	Items  []sampleItem `avro:"Items"`
}

// SchemaName returns the name in the schema. It must never change.
func (sampleMessage) SchemaName() string { return "question_24" }

// olderMessage stands for sampleMessage as another build defines it.
type olderMessage struct {
	Number int64    `avro:"Number"`
	Items  []string `avro:"Items"`
}

// SchemaName returns the name in the schema. It must never change.
func (olderMessage) SchemaName() string { return "older_24" }

type sampleReply struct {
	Sum int64 `avro:"Sum"`
}

// SchemaName returns the name in the schema. It must never change.
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
	encoded, err := Marshal(sampleRequest)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Unmarshal[sampleMessage](encoded); err != nil || decoded.Number != 700 || len(decoded.Items) != 2 || string(decoded.Items[0].Bytes) != "xyz" {
		t.Fatalf("%+v, %v", decoded, err)
	}
	for length := range encoded {
		if _, err := Unmarshal[sampleMessage](encoded[:length]); err == nil || RejectReasonOf(err) != Malformed {
			t.Errorf("truncated to %d of %d bytes: %v", length, len(encoded), err)
		}
	}
	if _, err := Unmarshal[sampleMessage](append(bytes.Clone(encoded), 0)); err == nil || RejectReasonOf(err) != Malformed {
		t.Errorf("with one trailing byte: %v", err)
	}
	// With any single bit flipped, decoding must return a message or an error, without
	// a panic and without allocating more memory than the message can fill.
	for index := range encoded {
		for bit := range 8 {
			damaged := bytes.Clone(encoded)
			damaged[index] ^= 1 << bit
			_, _ = Unmarshal[sampleMessage](damaged)
		}
	}
	if _, err := Unmarshal[olderMessage](encoded); err == nil || RejectReasonOf(err) != SchemaMismatch {
		t.Errorf("decoded as another type: %v", err)
	}
}

// postMessage posts a body to a mux and returns the status and the error kind of the
// response.
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
	valid, _ := Seal(guard, sampleRequest)
	foreign, _ := Seal(NewGuard(nil, nil), sampleRequest)
	otherSchema, _ := Seal(guard, olderMessage{Number: 7})
	tests := []struct {
		name, call string
		body       []byte
		status     int
		kind       errkind.Kind
		reason     RejectReason
	}{
		{"truncated", "sum", valid[:len(valid)-2], 400, errkind.BadRequest, Malformed},
		{"empty", "sum", nil, 400, errkind.BadRequest, Malformed},
		{"other schema", "sum", otherSchema, 400, errkind.BadRequest, SchemaMismatch},
		{"other deployment", "sum", foreign, 400, errkind.BadRequest, ForeignDeployment},
		{"too large", "sum", append(bytes.Clone(valid), make([]byte, 100)...), 413, errkind.BodyTooLarge, TooLarge},
		{"unknown message", "product", valid, 404, errkind.UnknownCall, UnknownMessage},
	}
	for _, test := range tests {
		for range 3 {
			before := guard.Counts[test.reason].Load()
			status, kind := postMessage(mux, test.call, test.body)
			if status != test.status || kind != test.kind || guard.Counts[test.reason].Load() != before+1 {
				t.Errorf("%s: status %d, kind %v, rejections %v", test.name, status, kind, guard.Totals())
			}
		}
	}
	if status, _ := postMessage(mux, "sum", valid); status != 200 || handled != 1 {
		t.Fatalf("status %d for a valid message, %d messages handled", status, handled)
	}
	// The truncated and the empty message have the same reason and sender, so they are
	// logged once.
	if lines := strings.Count(logged.String(), "\n"); lines != int(rejectReasonCount) {
		t.Errorf("%d log lines:\n%s", lines, logged)
	}
	for sender := range 2 * maxLoggedRejections {
		guard.Rejected(fmt.Sprint(sender), errkind.Errorf(errkind.BadRequest, "odd"))
	}
	if lines := strings.Count(logged.String(), "\n"); lines != maxLoggedRejections {
		t.Errorf("%d log lines after many senders", lines)
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
		t.Fatalf("message from another deployment: %v", err)
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

// TestMarshal_rejectsTypesWithoutExplicitNames guards against schemas that depend on
// the names of Go types and fields: renaming these would make stored values unreadable.
func TestMarshal_rejectsTypesWithoutExplicitNames(t *testing.T) {
	if _, err := Marshal(unnamed{}); err == nil || !strings.Contains(err.Error(), "SchemaName") {
		t.Errorf("no SchemaName: %v", err)
	}
	if _, err := Marshal(untagged{}); err == nil || !strings.Contains(err.Error(), "avro tag") {
		t.Errorf("no avro tag: %v", err)
	}
}

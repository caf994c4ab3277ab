package response

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"onyxwell/base/errkind"
)

// The response for an error kind, as it is sent.
func TestSend_errorKind(t *testing.T) {
	recorder := httptest.NewRecorder()
	FromError(errkind.Errorf(errkind.Overloaded, "queue of %d", 9)).WithRetryAfter(400 * time.Millisecond).WithClose().Send(recorder)
	if want := `{"error":"crowded","text":"the runners can't serve the request in time","detail":"queue of 9"}`; recorder.Body.String() != want {
		t.Errorf("body %s, want %s", recorder.Body, want)
	}
	for name, want := range map[string]string{
		KindHeader: "10", "Retry-After": "0.400", "Connection": "close", "Content-Type": "application/json", "Content-Length": "94",
	} {
		if got := recorder.Header().Get(name); got != want {
			t.Errorf("%s is %q, want %q", name, got, want)
		}
	}
	if recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("status %d", recorder.Code)
	}
}

// What the library would add of its own is suppressed: the type of a body always,
// the date where a response is forwarded.
func TestHeader_nothingIsAdded(t *testing.T) {
	added := func(handle http.HandlerFunc) http.Header {
		server := httptest.NewServer(handle)
		defer server.Close()
		resp, err := http.Get(server.URL)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.Header
	}
	sent := added(func(writer http.ResponseWriter, _ *http.Request) { Raw(200, "", []byte("text")).Send(writer) })
	if sent.Get("Content-Type") != "" || sent.Get("Date") == "" {
		t.Errorf("sent: %v", sent)
	}
	forwarded := added(func(writer http.ResponseWriter, _ *http.Request) {
		WriteHeader(writer, 200, http.Header{"X-Runner": {"a"}}, 2, false)
		_, _ = writer.Write([]byte("ok"))
	})
	if len(forwarded) != 2 || forwarded.Get("X-Runner") != "a" || forwarded.Get("Content-Length") != "2" {
		t.Errorf("forwarded: %v", forwarded)
	}
}

package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/errkind"
	"onyxwell/base/response"
)

// truncatedBody is a request body that ends before its Content-Length is reached.
type truncatedBody struct{ io.Reader }

func (t truncatedBody) Read(buffer []byte) (int, error) {
	n, err := t.Reader.Read(buffer)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// TestServe_rejectsInvalidRequests sends invalid requests. Each must be answered with a 4xx
// status and a text that names the invalid part, and must not change anything.
func TestServe_rejectsInvalidRequests(t *testing.T) {
	s := newTestServer(t)
	if status, text := s.do("PUT", "/settings", "0", validConfig); status != 200 {
		t.Fatalf("initial configuration: got status %d, body %s", status, text)
	}
	before, _ := s.updates.Get("spec")
	next := strings.Replace(validConfig, ":5", ":6", 1)
	patch := `{"config_version":6,"remove":{"routes":["r"]}}`
	cases := []struct {
		name, method, path string
		match, types       []string
		body               string
		status             int
		wantBody           string
	}{
		{"no If-Match", "PUT", "/settings", nil, nil, next, 400, "If-Match"},
		{"no If-Match", "PATCH", "/settings", nil, nil, patch, 400, "If-Match"},
		{"duplicate If-Match", "PUT", "/settings", []string{"5", "5"}, nil, next, 400, "If-Match: header is present 2 times"},
		{"duplicate Content-Type", "PUT", "/settings", []string{"5"}, []string{"application/json", "application/json"}, next, 400, "Content-Type: header is present 2 times"},
		{"over the limit", "PUT", "/settings", []string{"5"}, nil, strings.Repeat(" ", 4001), 413, "body: over 4000 bytes"},
		{"over the limit", "PATCH", "/settings", []string{"5"}, nil, strings.Repeat(" ", 4001), 413, "body: over 4000 bytes"},
		{"truncated", "PUT", "/settings", []string{"5"}, nil, next[:60], 400, "not JSON"},
		{"truncated", "PATCH", "/settings", []string{"5"}, nil, patch[:30], 400, "not a change"},
		{"empty", "PUT", "/settings", []string{"5"}, nil, "", 400, "not JSON"},
		{"empty", "PATCH", "/settings", []string{"5"}, nil, "", 400, "not a change"},
		{"null", "PATCH", "/settings", []string{"5"}, nil, "null", 400, "config_version"},
		{"list instead of an object", "PUT", "/settings", []string{"5"}, nil, "[]", 400, "array"},
		{"trailing", "PUT", "/settings", []string{"5"}, nil, next + "{}", 400, "not JSON"},
		{"trailing", "PATCH", "/settings", []string{"5"}, nil, patch + "x", 400, "not a change"},
		{"string for a number", "PUT", "/settings", []string{"5"}, nil, strings.Replace(next, ":6", `:"6"`, 1), 400, "config_version"},
		{"string for a number", "PATCH", "/settings", []string{"5"}, nil, `{"config_version":"6"}`, 400, "config_version"},
		{"number out of range", "PATCH", "/settings", []string{"5"}, nil, `{"config_version":9223372036854775808}`, 400, "config_version"},
		{"number missing", "PATCH", "/settings", []string{"5"}, nil, `{"changes":{}}`, 400, "config_version"},
		{"object instead of a list", "PATCH", "/settings", []string{"5"}, nil, `{"config_version":6,"changes":{"routes":{}}}`, 400, "routes"},
		{"item without a name", "PATCH", "/settings", []string{"5"}, nil, `{"config_version":6,"changes":{"routes":[{}]}}`, 400, "changes.routes[0].name"},
		{"number instead of a name to remove", "PATCH", "/settings", []string{"5"}, nil, `{"config_version":6,"remove":{"routes":[7]}}`, 400, "remove"},
		{"unknown zone", "POST", "/empty/nowhere", nil, nil, "", 404, "nowhere"},
		{"unknown zone", "DELETE", "/empty/HALL", nil, nil, "", 404, "HALL"},
		{"no zone", "POST", "/empty/", nil, nil, "", 404, "unknown-zone"},
		{"path below a zone", "POST", "/empty/hall/x", nil, nil, "", 404, "/empty/hall/x"},
		{"escaped slash", "POST", "/empty/hall%2F", nil, nil, "", 404, "/empty/hall/"},
		{"dot segments", "POST", "/empty/../empty/hall", nil, nil, "", 404, "/empty/../empty/hall"},
		{"path below the settings", "PUT", "/settings/", []string{"5"}, nil, next, 404, "/settings/"},
		{"path with capitals", "PUT", "/Settings", []string{"5"}, nil, next, 404, "/Settings"},
		{"another method", "DELETE", "/settings", []string{"5"}, nil, "", 404, "DELETE /settings"},
		{"another method", "PUT", "/empty/hall", nil, nil, "", 404, "PUT /empty/hall"},
	}
	for _, match := range []string{"abc", "-1", "+5", "05", "5,6", "5 6", "0x5", "5.0", "*", `W/"5"`, `"5`, `5"`, `""5""`, `"5","6"`, `""`, "", "5\u00a0", "9223372036854775808"} {
		cases = append(cases, cases[0], cases[1])
		for index := len(cases) - 2; index < len(cases); index++ {
			cases[index].name, cases[index].match, cases[index].wantBody = "If-Match "+match, []string{match}, "If-Match: "
		}
	}
	for _, test := range cases {
		status, text := s.serveDirect(test.method, test.path, http.Header{"If-Match": test.match, "Content-Type": test.types}, strings.NewReader(test.body))
		if status != test.status || !strings.Contains(text, test.wantBody) {
			t.Errorf("%s, %s: got status %d, body %s", test.method, test.name, status, text)
		}
	}
	if status, text := s.serveDirect("PUT", "/settings", http.Header{"If-Match": {"5"}}, truncatedBody{strings.NewReader(next)}); status != 400 || !strings.Contains(text, "body") {
		t.Errorf("truncated body: got status %d, body %s", status, text)
	}
	after, _ := s.updates.Get("spec")
	_, drained := s.updates.Get("evacuation/hall")
	if status, text := s.do("GET", "/settings", "", ""); status != 200 || text != validConfig || after.Version != before.Version || drained {
		t.Fatalf("an invalid request had an effect: got status %d, body %s, version %d, drained %v", status, text, after.Version, drained)
	}
	if status, text := s.do("PUT", "/settings", `"5"`, next); status != 200 {
		t.Fatalf("valid request after the invalid ones: got status %d, body %s", status, text)
	}
}

// TestServe_rejectsInvalidZones requests zones that do not exist, with names similar to an
// existing one, and sends bodies that are too large or truncated. The content of a body
// within the limit is ignored.
func TestServe_rejectsInvalidZones(t *testing.T) {
	s := newTestServer(t)
	names := []string{
		"hal", "halll", "Hall", "hall%20", "%20hall", "hall%00", "%00", "hall%0A", "hall%0D%0Ax", "hall.", ".", "%2e%2e", "*", "%25", "h%C3%A4ll",
		"%EF%BD%88all", "hall%2Fhall", "hall;x=1", "hall,hall", "%22hall%22", "evacuation%2Fhall", strings.Repeat("hall", 500),
	}
	for _, name := range names {
		for _, method := range []string{"POST", "DELETE"} {
			if status, text := s.serveDirect(method, "/empty/"+name, nil, nil); status != 404 || len(text) > 5000 {
				t.Errorf("%s %s: got status %d, body %s", method, name, status, text)
			}
		}
	}
	for _, method := range []string{"POST", "DELETE"} {
		if status, text := s.serveDirect(method, "/empty/hall", nil, strings.NewReader(strings.Repeat(" ", 4001))); status != 413 || !strings.Contains(text, "body: over 4000 bytes") {
			t.Errorf("%s, body over the limit: got status %d, body %s", method, status, text)
		}
		if status, text := s.serveDirect(method, "/empty/hall", nil, truncatedBody{strings.NewReader("{}")}); status != 400 || !strings.Contains(text, "body: it is not whole") {
			t.Errorf("%s, truncated body: got status %d, body %s", method, status, text)
		}
	}
	for _, method := range []string{"GET", "PUT", "PATCH", "HEAD", "post"} {
		if status, text := s.serveDirect(method, "/empty/hall", nil, nil); status != 404 {
			t.Errorf("%s: got status %d, body %s", method, status, text)
		}
	}
	if item, ok := s.updates.Get("evacuation/hall"); ok {
		t.Fatalf("an invalid request had an effect: %+v", item)
	}
	for _, body := range []string{"", "{}", "x", `{"zone":"other"}`} {
		before, _ := s.updates.Get("evacuation/hall")
		for _, method := range []string{"POST", "DELETE"} {
			if status, text := s.serveDirect(method, "/empty/hall", nil, strings.NewReader(body)); status != 200 {
				t.Errorf("%s with body %q: got status %d, body %s", method, body, status, text)
			}
		}
		if after, _ := s.updates.Get("evacuation/hall"); after.Version != before.Version+2 {
			t.Errorf("drain and undrain with body %q: version changed from %d to %d, want an increase by 2", body, before.Version, after.Version)
		}
	}
}

// TestServe_rejectsContradictoryHeaders sends contradictory and malformed headers over a
// raw TCP connection. None may have an effect.
func TestServe_rejectsContradictoryHeaders(t *testing.T) {
	s := newTestServer(t)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(validConfig))
	headers := map[string]string{
		"two lengths":                 length + "Content-Length: 7\r\nIf-Match: 0\r\n",
		"length that is not a number": "Content-Length: x\r\nIf-Match: 0\r\n",
		"unknown transfer coding":     "Transfer-Encoding: odd\r\nIf-Match: 0\r\n",
		"two versions":                length + "If-Match: 0\r\nif-match: 5\r\n",
		"duplicate version":           length + "If-Match: 0\r\nIF-MATCH: 0\r\n",
		"two types":                   length + "If-Match: 0\r\nContent-Type: application/json\r\nContent-Type: text/plain\r\n",
		"space in a header name":      length + "If-Match : 0\r\n",
		"folded header line":          length + "If-Match: 0\r\n 1\r\n",
	}
	for name, header := range headers {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = fmt.Fprintf(conn, "PUT /settings HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%s\r\n%s", header, validConfig)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode/100 != 4 && resp.StatusCode != http.StatusNotImplemented {
			t.Errorf("%s: got response %+v, error %v", name, resp, err)
		}
		_ = conn.Close()
	}
	if item, ok := s.updates.Get("spec"); ok {
		t.Fatalf("an invalid request had an effect: %+v", item)
	}
	if status, text := s.do("PUT", "/settings", "0", validConfig); status != 200 {
		t.Fatalf("valid request after the invalid ones: got status %d, body %s", status, text)
	}
}

// serveDirect passes a request to the handlers without a network connection, so the path
// is not normalized, and returns the status and the body of the response.
func (t *testServer) serveDirect(method string, path string, header http.Header, body io.Reader) (int, string) {
	recorder := httptest.NewRecorder()
	req := httptest.NewRequest(method, path, body)
	for name, values := range header {
		if values != nil {
			req.Header[name] = values
		}
	}
	t.calls.ServeHTTP(recorder, req)
	return recorder.Code, recorder.Body.String()
}

// TestServe_repeatsReturnOwnVersion sends changes again after later ones were applied. As
// new changes they would be invalid by then, but each must be acknowledged with its own
// version.
func TestServe_repeatsReturnOwnVersion(t *testing.T) {
	s := newTestServer(t)
	changes := []struct{ method, match, body, wantBody string }{
		{"PUT", "0", validConfig, `{"config_version":5}`},
		{"PATCH", "5", `{"config_version":8,"remove":{"routes":["r"]}}`, `{"config_version":8}`},
		{"PUT", "8", strings.Replace(validConfig, ":5", ":9", 1), `{"config_version":9}`},
	}
	for round := range 2 {
		for _, change := range changes {
			status, text := s.do(change.method, "/settings", change.match, change.body)
			if status != 200 || text != change.wantBody {
				t.Errorf("round %d, %s on version %s: got status %d, body %s", round, change.method, change.match, status, text)
			}
		}
	}
	if item, _ := s.updates.Get("spec"); item.Version != 9 {
		t.Errorf("gossip has version %d, want 9", item.Version)
	}
	recorder := httptest.NewRecorder()
	response.FromKind(errkind.OutcomeExpired, "").Send(recorder)
	if recorder.Code != 503 {
		t.Errorf("expired outcome: got status %d, want 503", recorder.Code)
	}
}

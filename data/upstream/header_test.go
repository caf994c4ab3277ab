package upstream

import (
	"net/http"
	"slices"
	"testing"
)

// TestEndToEndHeader_keepsRequestMetadata passes on, as the client sent it, what a runner
// tells a request by, and drops what concerns one connection.
func TestEndToEndHeader_keepsRequestMetadata(t *testing.T) {
	sent := http.Header{
		"Onyxwell-Model": {"m"}, "Onyxwell-Token-Count": {"1460,80"}, "Onyxwell-Prompt-Prefix": {"5c1e07a2:800,91bd3f06:410"},
		"Onyxwell-Expected-Version": {"3"}, "Onyxwell-Urgency": {"2"}, "Last-Event-Id": {"12"},
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"},
	}
	kept := EndToEndHeader(sent.Clone())
	for _, name := range []string{"Onyxwell-Model", "Onyxwell-Token-Count", "Onyxwell-Prompt-Prefix", "Onyxwell-Expected-Version"} {
		if !slices.Equal(kept[name], sent[name]) {
			t.Errorf("%s: %q", name, kept[name])
		}
	}
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive"} {
		if len(kept[name]) > 0 {
			t.Errorf("%s is passed on: %q", name, kept[name])
		}
	}
}

package upstream

import (
	"net/http"
	"slices"
	"testing"
)

// TestEndToEndHeader_keepsRequestMetadata checks that the headers by which runners
// handle a request are forwarded unchanged, and that hop-by-hop headers are not.
func TestEndToEndHeader_keepsRequestMetadata(t *testing.T) {
	sent := http.Header{
		"Onyxwell-Model": {"m"}, "Onyxwell-Token-Count": {"1460,80"}, "Onyxwell-Prompt-Prefix": {"5c1e07a2:800,91bd3f06:410"},
		"Onyxwell-Expected-Version": {"3"}, "Onyxwell-Urgency": {"2"}, "Last-Event-Id": {"12"},
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Te": {"trailers"},
	}
	kept := EndToEndHeader(sent.Clone())
	for _, name := range []string{"Onyxwell-Model", "Onyxwell-Token-Count", "Onyxwell-Prompt-Prefix", "Onyxwell-Expected-Version"} {
		if !slices.Equal(kept[name], sent[name]) {
			t.Errorf("%s is forwarded as %q", name, kept[name])
		}
	}
	for _, name := range []string{"Connection", "X-Hop", "Keep-Alive"} {
		if len(kept[name]) > 0 {
			t.Errorf("%s is forwarded: %q", name, kept[name])
		}
	}
}

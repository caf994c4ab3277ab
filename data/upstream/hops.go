package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// hops are the heads that concern one connection only.
var hops = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ours begins the heads that go from end to end, whatever Connection names.
const ours = "Onyxwell-"

// PassedOn gives the heads that are passed on, in either direction.
func PassedOn(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if !strings.HasPrefix(name, ours) {
				kept.Del(name)
			}
		}
	}
	for _, name := range hops {
		kept.Del(name)
	}
	return kept
}

// Discard ends a response that is not needed; a short rest is read, so that
// the connection can be kept.
func Discard(response *http.Response) {
	if response == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, response.Body, 4096)
	_ = response.Body.Close()
}

package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHopHeaders are the heads that concern one connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaderPrefix begins the heads that go from end to end, whatever Connection names.
const ownHeaderPrefix = "Onyxwell-"

// EndToEndHeader gives the heads that are passed on, in either direction.
func EndToEndHeader(header http.Header) http.Header {
	kept := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if !strings.HasPrefix(name, ownHeaderPrefix) {
				kept.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		kept.Del(name)
	}
	return kept
}

// DrainAndClose ends a response that is not needed; a short rest is read, so that
// the connection can be kept.
func DrainAndClose(response *http.Response) {
	if response == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, response.Body, 4096)
	_ = response.Body.Close()
}

package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// Header names between router and runner; they are part of the wire format.
const (
	// AttemptIDHeader carries the id of an attempt; a response repeats it.
	AttemptIDHeader = "Onyxwell-Attempt-Id"
	// SealHeader marks a success as the runner's own.
	SealHeader = "Onyxwell-Server-Seal"
	// TargetRunnerHeader names the runner that a request is meant for.
	TargetRunnerHeader = "Onyxwell-Target-Server"
	// TimeLeftHeader is the time to the request's deadline, in milliseconds.
	TimeLeftHeader = "Onyxwell-Time-Left-Ms"
	// PriorityHeader is a request's priority, 0 to 9, the lower first.
	PriorityHeader = "Onyxwell-Urgency"
	// LoadHeader is a runner's load: running, waiting, slots.
	LoadHeader = "Onyxwell-Server-Load"
	// RunnerIDHeader names the runner that a response comes from.
	RunnerIDHeader = "Onyxwell-Server-Id"
	// WarmupHeader is how long a runner is still warming up, in milliseconds.
	WarmupHeader = "Onyxwell-Cold-Ms"
	// PromptPrefixHeader lists a prompt's parts, as id:tokens.
	PromptPrefixHeader = "Onyxwell-Prompt-Prefix"
	// TokenCountHeader is a prompt's tokens and the most that may be generated.
	TokenCountHeader = "Onyxwell-Token-Count"
	// APIKeyHeader has a client's key; it is not sent to runners where there are tenants.
	APIKeyHeader = "Api-Key"
	// TenantHeader names the tenant that holds the key; it is never the client's own.
	TenantHeader = "Onyxwell-Customer"
	// LastEventIDHeader is the id of the event after which a stream continues.
	LastEventIDHeader = "Last-Event-Id"
)

// hopByHopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaderPrefix begins the headers that are end-to-end even where a
// Connection header names them.
const ownHeaderPrefix = "Onyxwell-"

// EndToEndHeader returns a copy of a header without its hop-by-hop fields, to be
// forwarded in either direction.
func EndToEndHeader(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if !strings.HasPrefix(name, ownHeaderPrefix) {
				forwarded.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// maxDrainBytes is how much of an unwanted body is read to keep its connection.
const maxDrainBytes = 4096

// DrainAndClose closes a response that is not needed. It reads a short rest of
// the body first, so that the connection can be reused. A nil response is
// allowed.
func DrainAndClose(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

package upstream

import (
	"io"
	"net/http"
	"net/textproto"
	"strings"
)

// Names of headers, which are part of the wire format between clients, routers and
// runners.
const (
	// AttemptIDHeader is the id of an attempt. A response repeats it.
	AttemptIDHeader = "Onyxwell-Attempt-Id"
	// SealHeader is set by a runner on each successful response to mark it as its own.
	SealHeader = "Onyxwell-Server-Seal"
	// TargetRunnerHeader is the id of the runner that a request is intended for.
	TargetRunnerHeader = "Onyxwell-Target-Server"
	// TimeLeftHeader is the time until the request's deadline, in milliseconds.
	TimeLeftHeader = "Onyxwell-Time-Left-Ms"
	// PriorityHeader is the priority of a request, from 0 to 9; the lowest is served
	// first.
	PriorityHeader = "Onyxwell-Urgency"
	// LoadHeader is the load of a runner: the numbers of running requests, of waiting
	// requests and of slots, separated by commas.
	LoadHeader = "Onyxwell-Server-Load"
	// RunnerIDHeader is the id of the runner that sent a response.
	RunnerIDHeader = "Onyxwell-Server-Id"
	// WarmupHeader is the time for which a runner will still be warming up, in
	// milliseconds.
	WarmupHeader = "Onyxwell-Cold-Ms"
	// PromptPrefixHeader lists the parts of a prompt as id:tokens, separated by
	// commas.
	PromptPrefixHeader = "Onyxwell-Prompt-Prefix"
	// TokenCountHeader is the number of tokens in a prompt and the maximum number to
	// generate, separated by a comma.
	TokenCountHeader = "Onyxwell-Token-Count"
	// APIKeyHeader is the API key of a client. It is not forwarded to runners if tenants
	// are configured.
	APIKeyHeader = "Api-Key"
	// TenantHeader is the name of the tenant that holds the API key. The router sets
	// it; a value that a client sends is never forwarded.
	TenantHeader = "Onyxwell-Customer"
	// LastEventIDHeader is the id of the event after which a stream is to continue.
	LastEventIDHeader = "Last-Event-Id"
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaderPrefix is the prefix of the headers that are forwarded even if a
// Connection header lists them as hop-by-hop.
const ownHeaderPrefix = "Onyxwell-"

// EndToEndHeader returns a copy of a header without hop-by-hop fields, for forwarding
// in either direction.
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

// maxDrainBytes is the maximum number of bytes of an unneeded body that are read to
// keep its connection reusable.
const maxDrainBytes = 4096

// DrainAndClose closes the body of a response that is not needed. It reads up to
// maxDrainBytes of the body first, so that the connection can be reused if the body
// ends there. A nil response is allowed.
func DrainAndClose(resp *http.Response) {
	if resp == nil {
		return
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

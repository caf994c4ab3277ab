package client

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
	"onyxwell/emulator/runner"
)

// Host is the Host header of all requests.
const Host = "emulator.example"

// Generator generates requests. Each is drawn from the seed and its number alone.
type Generator struct {
	Seed uint64
	// Routers is how many routers there are to choose from.
	Routers  int
	Services []string
	// Timeout is the time-out that most requests carry; one in ten carries a tenth.
	Timeout time.Duration
	// MalformedRate is the share of malformed requests, from 0 to 1.
	// MalformedKinds are those that are drawn; empty is all.
	MalformedRate  float64
	MalformedKinds []string
	// MayBeCutOff says that routers may be cut off from the controllers.
	MayBeCutOff bool
}

// Request is a request to a router.
type Request struct {
	// Record is what the checker has to know of the request.
	Record oracle.Request
	// Abandons has the client close its connection before the response.
	Abandons bool
	// Router is the number of the router that the request goes to.
	Router int

	body           string
	chunked        bool
	newConn        bool
	expectContinue bool
	timeout        time.Duration
	promptPrefix   string
	identity       identity
	// raw are the bytes of a malformed request; closeWrite closes the client's side
	// behind them.
	raw        string
	closeWrite bool
}

// kinds are drawn with equal probability.
var kinds = []oracle.Kind{oracle.Safe, oracle.Unsafe, oracle.Unsafe, oracle.Stream, oracle.Resumable}

// Request returns the request with a number. The order of the draws must not
// change: a seed stands for the same requests in every version.
func (g Generator) Request(number int) Request {
	draw := rand.New(rand.NewPCG(g.Seed, uint64(number)))
	kind, service := kinds[draw.IntN(len(kinds))], g.Services[draw.IntN(len(g.Services))]
	id := fmt.Sprintf("%016x", piece.Hash("attempt", fmt.Sprint(g.Seed), fmt.Sprint(number)))
	req := Request{
		chunked: draw.IntN(4) == 0, newConn: draw.IntN(5) == 0, Abandons: draw.IntN(100) == 0, expectContinue: draw.IntN(50) == 0,
		timeout: g.Timeout, Router: draw.IntN(g.Routers),
		promptPrefix: fmt.Sprintf("%x:%d,%x:%d", draw.IntN(20), 100, number, 50),
	}
	if draw.IntN(10) == 0 {
		req.timeout /= 10
	}
	size := draw.IntN(200)
	if draw.IntN(50) == 0 {
		size = 100000 + draw.IntN(200000)
	}
	req.body = strings.Repeat(id+" ", size/len(id)+1)[:size]
	method := http.MethodPost
	if draw.IntN(5) == 0 {
		method, req.body = http.MethodGet, ""
	}
	target := fmt.Sprintf("/%s/%s/%d?of=%s", service, kind, number, id)
	req.Record = oracle.Request{Attempt: id, Kind: kind, Service: service, Fingerprint: runner.FingerprintOf(method, target, Host, []byte(req.body))}
	req.identify()
	if total := piece.LineCount(id); kind == oracle.Resumable && total > 1 && draw.IntN(4) == 0 {
		req.Record.LastEventID = 1 + draw.IntN(total-1)
	}
	if draw.Float64() < g.MalformedRate {
		req.makeMalformed(draw, g.MalformedKinds, g.MayBeCutOff)
	}
	return req
}

// Text returns the request as its bytes go over the wire.
func (r Request) Text() string {
	if r.raw != "" {
		return r.raw
	}
	var text strings.Builder
	text.WriteString(r.head(r.Record.Fingerprint.Method, r.target()))
	fmt.Fprintf(&text, "Onyxwell-Model: m\r\n%s: 150,20\r\n%s: %s\r\n", upstream.TokenCountHeader, upstream.PromptPrefixHeader, r.promptPrefix)
	if r.Record.LastEventID > 0 {
		fmt.Fprintf(&text, "%s: %s\r\n", upstream.LastEventIDHeader, piece.EventID(r.Record.Attempt, r.Record.LastEventID))
	}
	if r.expectContinue && r.body != "" {
		text.WriteString("Expect: 100-continue\r\n")
	}
	if !r.chunked || r.body == "" {
		fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return text.String()
	}
	half := len(r.body) / 2
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for _, chunk := range []string{r.body[:half], r.body[half:]} {
		if chunk != "" {
			fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
		}
	}
	text.WriteString("0\r\n\r\n")
	return text.String()
}

func (r Request) target() string { return r.Record.Fingerprint.Target }

// head returns the request line and the headers that every request has.
func (r Request) head(method string, target string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, target, Host,
		upstream.AttemptIDHeader, r.Record.Attempt, upstream.TimeLeftHeader, r.timeout.Milliseconds(), r.identity.header())
}

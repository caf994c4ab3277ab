package usage

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// maxForwardFailures is the number of consecutive failures to forward counts to a known holder
// after which a relay asks routers to report to another relay too. The holder may be
// unreachable from this relay only.
const maxForwardFailures = 2

// Term is the period in which one controller holds the usage part under one fence. The zero
// value means that no holder is known.
type Term struct {
	Holder ids.Address
	Fence  int64
}

// RelayOptions configure a Relay. All are required but Log.
type RelayOptions struct {
	Zone ids.Zone
	// Routers returns the running routers of the zone.
	Routers func() []ids.Address
	// Now returns the synchronized time in nanoseconds since the Unix epoch, or 0 if it is not
	// known.
	Now func() int64
	// Term returns the last known holder of the usage part and its fence.
	Term func() Term
	// SendSums sends sums to the holder. It returns an error of kind UnknownCall if the holder
	// runs an older build; SendReports then sends the reports of all routers instead.
	SendSums    func(ctx context.Context, holder ids.Address, req SumsRequest) (CollectResponse, error)
	SendReports func(ctx context.Context, holder ids.Address, req CollectRequest) (CollectResponse, error)
	// SendCopy sends the zone's sums to a controller that keeps a copy, if one is needed.
	SendCopy func(ctx context.Context, zone ZoneCounts)
	// Log receives a message when the holder no longer accepts counts from this relay, and when
	// it accepts them again. It may be nil.
	Log *log.Logger
}

// Relay forwards the counts of a zone's routers to the holder of the usage part. Every daemon
// runs one, which is active while routers report to it. It is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu    sync.Mutex
	tally *tally
	// forwardDue and copyDue report that a router has reported since the last message to the
	// holder, and since the last copy. A failed message leaves forwardDue set.
	forwardDue, copyDue bool
	// sent holds the counts that the holder of term has accepted. failures is the number of
	// consecutive messages that were not accepted.
	term     Term
	sent     counts
	failures int
}

// NewRelay returns a Relay without counts.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, tally: newTally(), sent: counts{}}
}

// ReceiveReport merges a router's report. An error of kind NotReady means that the router
// should report to another relay too; the report is merged nevertheless.
func (r *Relay) ReceiveReport(_ context.Context, report RouterReport) (ReportResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.merge(report)
	r.forwardDue, r.copyDue = true, true
	if r.failures >= maxForwardFailures {
		return ReportResponse{}, errkind.Errorf(errkind.NotReady, "holder of the usage part does not accept counts from this relay")
	}
	return ReportResponse{UnixNanos: r.options.Now(), Decided: r.tally.decided}, nil
}

// Forward sends the counts that have changed to the holder, or all counts if the holder is new
// or the last message failed.
func (r *Relay) Forward(ctx context.Context) {
	term := r.options.Term()
	if term.Holder == "" {
		return
	}
	req, ok := r.request(term)
	if !ok {
		return
	}
	resp, err := r.options.SendSums(ctx, term.Holder, req)
	if errkind.KindOf(err) == errkind.UnknownCall {
		resp, err = r.options.SendReports(ctx, term.Holder, r.reports(req))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || !resp.Holding {
		r.forwardDue, r.term, r.sent = true, Term{}, counts{}
		r.failures++
		if r.failures == maxForwardFailures {
			r.log(term, "usage counts not accepted by holder", err)
		}
		return
	}
	if r.failures >= maxForwardFailures {
		r.log(term, "usage counts accepted by holder again", nil)
	}
	r.term, r.failures = term, 0
	r.sent.merge(req.Windows, resp.Decided)
	r.sent.dropThrough(resp.Decided)
	r.tally.dropThrough(resp.Decided)
}

// log logs a change in whether the holder accepts counts.
func (r *Relay) log(term Term, message string, err error) {
	if r.options.Log != nil {
		r.options.Log.Info().Str("part", "usage").Str("holder", string(term.Holder)).Int64("fence", term.Fence).Int("failures", r.failures).Err(err).Msg(message)
	}
}

// request returns the counts that the holder lacks. ok is false if no router has reported
// since the last accepted message.
func (r *Relay) request(term Term) (req SumsRequest, ok bool) {
	routers := r.options.Routers()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.forwardDue {
		return SumsRequest{}, false
	}
	r.forwardDue = false
	if term != r.term {
		r.sent = counts{}
	}
	up := map[ids.Address]bool{}
	req = SumsRequest{Zone: r.options.Zone, Through: AllWindows}
	for _, router := range routers {
		up[router] = true
		through, _ := r.tally.closedThrough(router)
		req.Through = min(req.Through, through)
	}
	r.tally.dropRouters(func(router ids.Address) bool { return !up[router] })
	req.Windows = r.tally.sums().increasesOver(r.sent).toMessage()
	return req, true
}

// reports returns the request for a holder of an older build, which contains the reports of
// all routers instead of their sums.
func (r *Relay) reports(req SumsRequest) CollectRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return CollectRequest{Zone: req.Zone, Through: req.Through, Routers: r.tally.reports()}
}

// SendCopy sends the zone's sums to a controller that keeps a copy, if any router has reported
// since the last copy.
func (r *Relay) SendCopy(ctx context.Context) {
	r.mu.Lock()
	due := r.copyDue
	r.copyDue = false
	zone := ZoneCounts{Zone: r.options.Zone}
	if due {
		zone.Windows = r.tally.sums().toMessage()
	}
	r.mu.Unlock()
	if len(zone.Windows) > 0 {
		r.options.SendCopy(ctx, zone)
	}
}

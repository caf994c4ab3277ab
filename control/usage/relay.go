package usage

import (
	"context"
	"sync"

	"github.com/phuslu/log"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// maxForwardFailures is after how many failures in a row, with a holder that is known, a
// relay has routers report to another relay as well: the holder may be out of reach from
// here alone.
const maxForwardFailures = 2

// Term is the holder of the part of usage under one fence; its zero value is that none is
// known.
type Term struct {
	Holder ids.Address
	Fence  int64
}

// RelayOptions configure a Relay. All but Log are required.
type RelayOptions struct {
	Zone ids.Zone
	// Routers returns the routers of the zone that are up.
	Routers func() []ids.Address
	// Now returns the agreed time in nanoseconds, 0 where it is not known.
	Now func() int64
	// Term returns who holds the part of usage, as was heard last.
	Term func() Term
	// SendSums sends sums to the holder. Its error is of kind UnknownCall where the holder is
	// of an older build; Collect then sends the reports of all routers.
	SendSums    func(ctx context.Context, holder ids.Address, req SumsRequest) (CollectResponse, error)
	SendReports func(ctx context.Context, holder ids.Address, req CollectRequest) (CollectResponse, error)
	// SendCopy sends the zone's sums to a controller that keeps a copy, where one is needed.
	SendCopy func(ctx context.Context, zone ZoneCounts)
	// Log is told when the holder takes no counts from here, and when it does again. It may be
	// nil.
	Log *log.Logger
}

// Relay passes the counts of a zone's routers on. Every daemon has one; it works while
// routers report to it. It is safe for concurrent use.
type Relay struct {
	options RelayOptions

	mu    sync.Mutex
	tally *tally
	// forwardDue and copyDue say that a router has reported since the last message to the
	// holder, and since the last copy.
	forwardDue, copyDue bool
	// term is the one whose holder has taken sent; failures counts the messages in a row that
	// were not taken.
	term     Term
	sent     counts
	failures int
}

// NewRelay returns a Relay without counts.
func NewRelay(options RelayOptions) *Relay {
	return &Relay{options: options, tally: newTally(), sent: counts{}}
}

// ReceiveReport takes a router's report over. Its error says that the router should report to
// another relay, too.
func (r *Relay) ReceiveReport(_ context.Context, report RouterReport) (ReportResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tally.merge(report)
	r.forwardDue, r.copyDue = true, true
	if r.failures >= maxForwardFailures {
		return ReportResponse{}, errkind.Errorf(errkind.NotReady, "the holder of the part of usage is out of reach")
	}
	return ReportResponse{UnixNanos: r.options.Now(), Decided: r.tally.decided}, nil
}

// Forward sends what changed to the holder, and everything to a new one or after a failure.
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
			r.log(term, "holder takes no counts", err)
		}
		return
	}
	if r.failures >= maxForwardFailures {
		r.log(term, "holder takes counts again", nil)
	}
	r.term, r.failures = term, 0
	r.sent.merge(req.Windows, resp.Decided)
	r.sent.dropThrough(resp.Decided)
	r.tally.dropThrough(resp.Decided)
}

// log logs how the holder answers.
func (r *Relay) log(term Term, message string, err error) {
	if r.options.Log != nil {
		r.options.Log.Info().Str("part", "usage").Str("holder", string(term.Holder)).Int64("fence", term.Fence).Int("failures", r.failures).Err(err).Msg(message)
	}
}

// request returns what the holder lacks; ok is false where no router has reported since.
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

// reports returns the reports of all routers in place of their sums.
func (r *Relay) reports(req SumsRequest) CollectRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return CollectRequest{Zone: req.Zone, Through: req.Through, Routers: r.tally.reports()}
}

// SendCopy sends the zone's sums to a controller that keeps a copy, if any router reported
// since the last one.
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

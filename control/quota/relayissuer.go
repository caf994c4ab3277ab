package quota

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// errNoIssuer says that no issuer answered.
var errNoIssuer = errkind.Errorf(errkind.NotReady, "no issuer of quotas")

// issuerContact is what came of a relay's last request to the issuer; 0 is that there was
// none.
type issuerContact int

const (
	// issuerAnswers: it was answered.
	issuerAnswers issuerContact = iota + 1
	// issuerSilent: it was not. No router's need is passed on until FillUp has an answer:
	// a router would wait no longer than this relay, and be granted nothing.
	issuerSilent
)

// issueUnlessSilent is issue, but while the issuer is silent.
func (r *Relay) issueUnlessSilent(ctx context.Context, needs []Need) ([]float64, error) {
	r.mu.Lock()
	isSilent := r.contact == issuerSilent
	r.mu.Unlock()
	if isSilent {
		return nil, errNoIssuer
	}
	return r.issue(ctx, needs)
}

// issue asks the issuer and returns what it granted of each need. That the caller waited no
// longer says nothing of the issuer.
func (r *Relay) issue(ctx context.Context, needs []Need) ([]float64, error) {
	req := AcquireRequest{From: r.options.Address, Needs: needs}
	r.mu.Lock()
	if r.contact == issuerAnswers {
		req.Routers = r.routersInContact(r.options.Clock.Now())
	}
	r.mu.Unlock()
	started := r.options.Clock.Now()
	resp, err := r.options.Issue(ctx, req)
	if err == nil && (!resp.Issuer || len(resp.Amounts) != len(needs)) {
		err = errNoIssuer
	}
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	return resp.Amounts, r.noteContact(err, started)
}

// noteContact takes over what came of a request to the issuer, and returns its error. The
// first that fails sets when the zone's part begins.
func (r *Relay) noteContact(err error, askedAt clock.Instant) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.contact, r.contactAt = issuerAnswers, max(r.contactAt, askedAt)
		return nil
	}
	if r.contact == issuerAnswers {
		r.ownSince = r.options.Clock.Now().Add(r.options.Policy.DetachTimeout(false))
	}
	r.contact = issuerSilent
	return err
}

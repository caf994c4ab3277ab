package quota

import "onyxwell/base/ids"

// Names of the messages. They are sent; they never change.
const (
	// RelayMessage goes from a router to its zone's relay, IssueMessage from a relay
	// to the issuer.
	RelayMessage = "quota-relay"
	IssueMessage = "quota-issue"
	// IssuerKey is the key of the gossiped item that names the issuer.
	IssuerKey = "quota"
	// LeaseName is that of the lease which the issuer holds. It is stored.
	LeaseName = "quota"
)

// Need is the credit that is asked for a tenant.
type Need struct {
	Tenant ids.Tenant `avro:"Tenant"`
	// Amount is in the unit of the tenant's quota; below 0 it gives credit back.
	Amount float64 `avro:"Amount"`
	// Immediate says that a request waits for all of it. Other credit is kept for
	// requests to come, and may be given in part.
	Immediate bool `avro:"Immediate"`
}

// SchemaName names the sent form; it must never change.
func (Need) SchemaName() string { return "QuotaNeed" }

// AcquireRequest asks for credit, and tells that its sender is in contact.
type AcquireRequest struct {
	From ids.Address `avro:"From"`
	// Routers is how many routers the sender speaks for: those that got the answer to
	// their last request, if it got that to its own. Others go on with their own part, or,
	// with Delegating, have left it to the relay that is asked.
	Routers int64  `avro:"Routers"`
	Needs   []Need `avro:"Needs"`
}

// Delegating is the value of Routers of a router that got its last answer from the relay
// which it asks, out of contact with the issuer: it does not use its own part. Relays that
// do not know it take it for a router that goes on with its part, and grant nothing.
const Delegating = -1

// SchemaName names the sent form; it must never change.
func (AcquireRequest) SchemaName() string { return "QuotaAcquireRequest" }

// AcquireResponse grants credit.
type AcquireResponse struct {
	// Issuer is false where the receiver does not issue credit now, or is a relay out
	// of contact with who does.
	Issuer bool `avro:"Issuer"`
	// Routers is how many routers there may be; 0 is not known.
	Routers int64 `avro:"Routers"`
	// Amounts has what is granted of each need, in their order. A relay out of contact with
	// the issuer grants from what it holds, and from its zone's part.
	Amounts []float64 `avro:"Amounts"`
}

// SchemaName names the sent form; it must never change.
func (AcquireResponse) SchemaName() string { return "QuotaAcquireResponse" }

// IssuerItem is the body of the gossiped item under IssuerKey.
type IssuerItem struct {
	Address ids.Address `avro:"Address"`
}

// SchemaName names the sent form; it must never change.
func (IssuerItem) SchemaName() string { return "QuotaIssuer" }

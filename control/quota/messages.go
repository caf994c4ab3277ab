package quota

import "onyxwell/base/ids"

// Names of messages, keys and leases. They are sent or stored and must never change.
const (
	// RelayMessage goes from a router to a relay of its zone, IssueMessage from a relay
	// to the issuer.
	RelayMessage = "quota-relay"
	IssueMessage = "quota-issue"
	// AllowanceMessage goes from a relay to the issuer. Older issuers may not know it.
	AllowanceMessage = "quota-allowance"
	// IssuerKey is the key of the gossip item that announces the issuer.
	IssuerKey = "quota"
	// LeaseName is the name of the lease that the issuer holds.
	LeaseName = "quota"
)

// Need is the amount of credit requested for one tenant.
type Need struct {
	Tenant ids.Tenant `avro:"Tenant"`
	// Amount is in the unit of the tenant's quota. A negative amount returns credit.
	Amount float64 `avro:"Amount"`
	// Immediate says that a request is waiting for the full amount. Other credit is
	// prefetched for later requests and may be granted in part.
	Immediate bool `avro:"Immediate"`
}

// SchemaName names the schema of the encoded message; it must never change.
func (Need) SchemaName() string { return "QuotaNeed" }

// AcquireRequest requests credit and reports that its sender is in contact.
type AcquireRequest struct {
	From ids.Address `avro:"From"`
	// Routers is the number of routers that the sender represents: those that received
	// the response to their last request, provided that the sender received the response
	// to its own. Other routers use their own share, or have delegated it to the relay
	// that receives the request (Delegating).
	Routers int64  `avro:"Routers"`
	Needs   []Need `avro:"Needs"`
}

// Delegating is the value of Routers sent by a router whose last response came from the
// receiving relay while that relay was out of contact with the issuer: the router does
// not use its own share. Relays that do not know the value treat the sender as a router
// that uses its own share, and grant nothing.
const Delegating = -1

// Withheld is sent in place of Delegating by a router that started at least DetachTimeout
// ago and since then has neither used its own share nor delegated it to another relay.
// Relays that do not know the value treat the sender as a router that uses its own share.
const Withheld = -2

// SchemaName names the schema of the encoded message; it must never change.
func (AcquireRequest) SchemaName() string { return "QuotaAcquireRequest" }

// AcquireResponse grants credit.
type AcquireResponse struct {
	// Issuer is false if the request reached a controller that is not the issuer, or a
	// relay that is out of contact with the issuer.
	Issuer bool `avro:"Issuer"`
	// Routers is the largest number of routers that may exist; 0 means unknown.
	Routers int64 `avro:"Routers"`
	// Amounts has the amount granted for each need, in the order of the needs. A relay
	// out of contact with the issuer grants from the credit it holds, its allowances and
	// its zone's share.
	Amounts []float64 `avro:"Amounts"`
}

// SchemaName names the schema of the encoded message; it must never change.
func (AcquireResponse) SchemaName() string { return "QuotaAcquireResponse" }

// IssuerItem is the body of the gossip item under IssuerKey.
type IssuerItem struct {
	Address ids.Address `avro:"Address"`
}

// SchemaName names the schema of the encoded item; it must never change.
func (IssuerItem) SchemaName() string { return "QuotaIssuer" }

// Allowance is the rate at which a relay may grant a tenant's credit while the issuer is
// unavailable.
type Allowance struct {
	Tenant ids.Tenant `avro:"Tenant"`
	// Wanted is the rate that the relay requests, based on its zone's recent use of
	// credit. Held is the rate that the relay may use according to the last response it
	// received. Both are per second.
	Wanted float64 `avro:"Wanted"`
	Held   float64 `avro:"Held"`
}

// SchemaName names the schema of the encoded message; it must never change.
func (Allowance) SchemaName() string { return "QuotaAllowance" }

// AllowanceRequest renews a relay's allowances.
type AllowanceRequest struct {
	From ids.Address `avro:"From"`
	// IsWhole says that the request lists all allowances of the relay. Otherwise those
	// that are not listed stay unchanged.
	IsWhole    bool        `avro:"IsWhole"`
	Allowances []Allowance `avro:"Allowances"`
}

// SchemaName names the schema of the encoded message; it must never change.
func (AllowanceRequest) SchemaName() string { return "QuotaAllowanceRequest" }

// AllowanceResponse grants allowances.
type AllowanceResponse struct {
	// Issuer is false if the request reached a controller that is not the issuer.
	Issuer bool `avro:"Issuer"`
	// Epoch is the epoch of the issuer's lease. A relay lists all of its allowances to a
	// new issuer.
	Epoch int64 `avro:"Epoch"`
	// TTLMS is how long all allowances of the relay are valid, in milliseconds from the
	// time at which the request was sent.
	TTLMS int64 `avro:"TTLMS"`
	// Rates has the rate granted for each allowance, in the order of the request.
	Rates []float64 `avro:"Rates"`
}

// SchemaName names the schema of the encoded message; it must never change.
func (AllowanceResponse) SchemaName() string { return "QuotaAllowanceResponse" }

package gossip

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Item is one version of one key; of one key the highest version counts.
// Compressed says that the body is, as it is on the wire.
type Item struct {
	Key        string      `avro:"Key"`
	Version    ids.Version `avro:"Serial"`
	Body       []byte      `avro:"Body"`
	Compressed bool        `avro:"Packed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Item) SchemaName() string { return "Item_23" }

// ItemVersion is an item without its body.
type ItemVersion struct {
	Key     string      `avro:"Key"`
	Version ids.Version `avro:"Serial"`
}

// SchemaName names the stored and sent form; it must never change.
func (ItemVersion) SchemaName() string { return "Mark_23" }

// ExchangeRequest opens an exchange: by the digest of the items that both should
// hold, or with HasVersions, once the digests were found to differ, by the
// versions of all of them.
type ExchangeRequest struct {
	From             membership.Member `avro:"From"`
	MembershipDigest membership.Digest `avro:"Sums"`
	ItemDigest       int64             `avro:"Digest"`
	HasVersions      bool              `avro:"Listed"`
	Versions         []ItemVersion     `avro:"Marks"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeRequest) SchemaName() string { return "ExchangeAsk_23" }

// ExchangeResponse has the items that are newer on the responder's side and the
// keys that are newer on the requester's; for a request without versions it only
// says whether the digests differ. Members are there where the tables differ.
type ExchangeResponse struct {
	From             membership.Member   `avro:"From"`
	MembershipDigest membership.Digest   `avro:"Sums"`
	Members          []membership.Member `avro:"Members"`
	Differs          bool                `avro:"Differs"`
	Items            []Item              `avro:"Items"`
	WantedKeys       []string            `avro:"Wanted"`
}

// SchemaName names the stored and sent form; it must never change.
func (ExchangeResponse) SchemaName() string { return "ExchangeTold_23" }

// GiveRequest closes an exchange: the items that the responder wanted, and the
// members where the tables still differ.
type GiveRequest struct {
	Items   []Item              `avro:"Items"`
	Members []membership.Member `avro:"Members"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveRequest) SchemaName() string { return "GiveAsk_23" }

// GiveResponse says how many of the items were new.
type GiveResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (GiveResponse) SchemaName() string { return "GiveTold_23" }

// Targets is what a daemon is asked to reach with the items that are pushed to
// it: regions through one daemon in each, zones likewise, and members itself.
type Targets struct {
	Regions []ids.Region  `avro:"Regions"`
	Zones   []ids.Zone    `avro:"Zones"`
	Members []ids.Address `avro:"Members"`
	// BackboneOnly says that of a zone's members only the backbone gets the items.
	BackboneOnly bool `avro:"Backbone"`
}

// SchemaName names the stored and sent form; it must never change.
func (Targets) SchemaName() string { return "Duty_23" }

func (t Targets) empty() bool { return len(t.Regions)+len(t.Zones)+len(t.Members) == 0 }

// PushRequest hands items down the tree of relays.
type PushRequest struct {
	From    ids.Address `avro:"From"`
	Items   []Item      `avro:"Items"`
	Targets Targets     `avro:"Duty"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushRequest) SchemaName() string { return "PushAsk_23" }

// PushResponse says how many of the items were new.
type PushResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (PushResponse) SchemaName() string { return "PushTold_23" }

package gossip

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Item is one version of a key; the highest version wins. Compressed reports whether the
// body is compressed, which it may be in the wire form.
type Item struct {
	Key        string      `avro:"Key"`
	Version    ids.Version `avro:"Serial"`
	Body       []byte      `avro:"Body"`
	Compressed bool        `avro:"Packed"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Item) SchemaName() string { return "Item_23" }

// ItemVersion is an item without its body.
type ItemVersion struct {
	Key     string      `avro:"Key"`
	Version ids.Version `avro:"Serial"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (ItemVersion) SchemaName() string { return "Mark_23" }

// ExchangeRequest opens an exchange. It carries the digest of the items that both sides
// should hold or, with HasVersions, once the digests were found to differ, the versions
// of all of them.
type ExchangeRequest struct {
	From             membership.Member `avro:"From"`
	MembershipDigest membership.Digest `avro:"Sums"`
	ItemDigest       int64             `avro:"Digest"`
	HasVersions      bool              `avro:"Listed"`
	Versions         []ItemVersion     `avro:"Marks"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (ExchangeRequest) SchemaName() string { return "ExchangeAsk_23" }

// ExchangeResponse carries the items that are newer at the responder and the keys of
// those that are newer at the requester. For a request without versions it only reports
// whether the digests differ. Members is set if the membership tables differ.
type ExchangeResponse struct {
	From             membership.Member   `avro:"From"`
	MembershipDigest membership.Digest   `avro:"Sums"`
	Members          []membership.Member `avro:"Members"`
	Differs          bool                `avro:"Differs"`
	Items            []Item              `avro:"Items"`
	WantedKeys       []string            `avro:"Wanted"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (ExchangeResponse) SchemaName() string { return "ExchangeTold_23" }

// GiveRequest completes an exchange with the items that the responder lacks, and with the
// requester's members if the membership tables still differ.
type GiveRequest struct {
	Items   []Item              `avro:"Items"`
	Members []membership.Member `avro:"Members"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (GiveRequest) SchemaName() string { return "GiveAsk_23" }

// GiveResponse reports how many of the items were new to the receiver.
type GiveResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (GiveResponse) SchemaName() string { return "GiveTold_23" }

// Targets lists what the daemon that sends or receives a push still has to reach: whole
// regions and zones, each through one daemon there, and single members.
type Targets struct {
	Regions []ids.Region  `avro:"Regions"`
	Zones   []ids.Zone    `avro:"Zones"`
	Members []ids.Address `avro:"Members"`
	// BackboneOnly restricts the members of each zone to its backbone.
	BackboneOnly bool `avro:"Backbone"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Targets) SchemaName() string { return "Duty_23" }

func (t Targets) empty() bool { return len(t.Regions)+len(t.Zones)+len(t.Members) == 0 }

// PushRequest sends items down the tree of relays.
type PushRequest struct {
	From    ids.Address `avro:"From"`
	Items   []Item      `avro:"Items"`
	Targets Targets     `avro:"Duty"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (PushRequest) SchemaName() string { return "PushAsk_23" }

// PushResponse reports how many of the items were new to the receiver.
type PushResponse struct {
	Accepted int64 `avro:"Taken"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (PushResponse) SchemaName() string { return "PushTold_23" }

package counter

import (
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// exchangeMessage is the name of the only message of this package. It is sent to other
// controllers and must never change.
const exchangeMessage = "counter-exchange"

// Batch holds consecutive records of one origin in columns.
type Batch struct {
	Origin int64 `avro:"Origin"`
	// First is the sequence number of the first record. Sequence numbers start at 1.
	First int64 `avro:"First"`
	// Names are the names of the counters that the records add to.
	Names []string `avro:"Names"`
	// Keys has keySize bytes for each record, Counters the index of its counter in Names,
	// and Amounts the amount that it adds.
	Keys     []byte  `avro:"Keys"`
	Counters []int64 `avro:"Counters"`
	Amounts  []int64 `avro:"Amounts"`
}

// SchemaName returns the Avro record name, which is stored and sent; it must never change.
func (Batch) SchemaName() string { return "CounterBatch" }

// Len returns the number of records.
func (b Batch) Len() int { return len(b.Amounts) }

// lastSequence returns the sequence number of the last record.
func (b Batch) lastSequence() int64 { return b.First + int64(b.Len()) - 1 }

// key returns the key of a record.
func (b Batch) key(index int) Key { return Key(b.Keys[index*keySize:]) }

// validate returns an error if First is not positive, if the columns differ in length or
// if a counter is not an index into Names.
func (b Batch) validate() error {
	valid := b.First > 0 && len(b.Keys) == keySize*b.Len() && len(b.Counters) == b.Len()
	for index := 0; valid && index < b.Len(); index++ {
		valid = b.Counters[index] >= 0 && b.Counters[index] < int64(len(b.Names))
	}
	if !valid {
		return errkind.Errorf(errkind.BadRequest, "batch of counter records: First below 1, or Keys and Counters do not match Amounts and Names")
	}
	return nil
}

// Position is an entry of a version vector: the controller holds the records 1 to Count of
// an origin.
type Position struct {
	Origin int64 `avro:"Origin"`
	Count  int64 `avro:"Count"`
}

// SchemaName returns the Avro record name, which is sent; it must never change.
func (Position) SchemaName() string { return "CounterPosition" }

// ExchangeRequest has the version vector of the sender, and records that the receiver
// lacks.
type ExchangeRequest struct {
	From    ids.Address `avro:"From"`
	Vector  []Position  `avro:"Vector"`
	Batches []Batch     `avro:"Batches"`
	// Peers are the sender and the controllers that answer it. They are not sent with every
	// request, only with those of a tick.
	Peers []ids.Address `avro:"Peers"`
}

// SchemaName returns the Avro record name, which is sent; it must never change.
func (ExchangeRequest) SchemaName() string { return "CounterExchangeRequest" }

// isFull reports whether the request has maxExchangeRecords records.
func (e ExchangeRequest) isFull() bool {
	records := 0
	for _, batch := range e.Batches {
		records += batch.Len()
	}
	return records >= maxExchangeRecords
}

// ExchangeResponse has the version vector of the receiver's disk, after the records of the
// request were stored.
type ExchangeResponse struct {
	Vector []Position `avro:"Vector"`
	// Peers are the receiver and the controllers that answer it, if the request had Peers
	// as well.
	Peers []ids.Address `avro:"Peers"`
}

// SchemaName returns the Avro record name, which is sent; it must never change.
func (ExchangeResponse) SchemaName() string { return "CounterExchangeResponse" }

// storedRecord is an entry of the write-ahead log: the origin of the disk, and the batches
// of one commit or a part of a snapshot.
type storedRecord struct {
	Origin  int64   `avro:"Origin"`
	Batches []Batch `avro:"Batches"`
}

// SchemaName returns the Avro record name, which is stored; it must never change.
func (storedRecord) SchemaName() string { return "CounterStoredRecord" }

// vector is a version vector: the number of records held of each origin.
type vector map[int64]int64

func vectorOf(positions []Position) vector {
	held := make(vector, len(positions))
	for _, position := range positions {
		held[position.Origin] = position.Count
	}
	return held
}

// covers reports whether v has at least as many records of each origin as the other vector.
func (v vector) covers(other vector) bool {
	for origin, count := range other {
		if v[origin] < count {
			return false
		}
	}
	return true
}

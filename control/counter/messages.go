package counter

import (
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// exchangeMessage is the name of the only message. It is sent; it never changes.
const exchangeMessage = "counter-exchange"

// Batch is a run of consecutive records of one origin, column by column.
type Batch struct {
	Origin int64 `avro:"Origin"`
	// First is the sequence number of the first record; they begin at 1.
	First int64 `avro:"First"`
	// Names are the counters that the records add to.
	Names []string `avro:"Names"`
	// Keys has keySize bytes for each record, Counters its index in Names, and Amounts
	// what it adds.
	Keys     []byte  `avro:"Keys"`
	Counters []int64 `avro:"Counters"`
	Amounts  []int64 `avro:"Amounts"`
}

// SchemaName names the stored and sent form; it must never change.
func (Batch) SchemaName() string { return "CounterBatch" }

// Len returns the number of records.
func (b Batch) Len() int { return len(b.Amounts) }

// lastSequence returns the sequence number of the lastSequence record.
func (b Batch) lastSequence() int64 { return b.First + int64(b.Len()) - 1 }

// key returns the key of a record.
func (b Batch) key(index int) Key { return Key(b.Keys[index*keySize:]) }

// validate returns an error for a batch whose columns don't fit each other.
func (b Batch) validate() error {
	valid := b.First > 0 && len(b.Keys) == keySize*b.Len() && len(b.Counters) == b.Len()
	for index := 0; valid && index < b.Len(); index++ {
		valid = b.Counters[index] >= 0 && b.Counters[index] < int64(len(b.Names))
	}
	if !valid {
		return errkind.Errorf(errkind.BadRequest, "the columns of a batch of counter records do not fit")
	}
	return nil
}

// Position says how many records of an origin a controller holds: all up to that
// sequence number.
type Position struct {
	Origin int64 `avro:"Origin"`
	Count  int64 `avro:"Count"`
}

// SchemaName names the sent form; it must never change.
func (Position) SchemaName() string { return "CounterPosition" }

// ExchangeRequest tells what its sender holds, and brings records that the receiver
// lacks.
type ExchangeRequest struct {
	From    ids.Address `avro:"From"`
	Vector  []Position  `avro:"Vector"`
	Batches []Batch     `avro:"Batches"`
	// Peers are other controllers that answer the sender; it tells them at ticks.
	Peers []ids.Address `avro:"Peers"`
}

// SchemaName names the sent form; it must never change.
func (ExchangeRequest) SchemaName() string { return "CounterExchangeRequest" }

// isFull reports whether the request has as many records as fit.
func (e ExchangeRequest) isFull() bool {
	records := 0
	for _, batch := range e.Batches {
		records += batch.Len()
	}
	return records >= maxExchangeRecords
}

// ExchangeResponse tells what the receiver holds on its disk, those records included.
type ExchangeResponse struct {
	Vector []Position `avro:"Vector"`
	// Peers are other controllers that answer the receiver, where the sender told its own.
	Peers []ids.Address `avro:"Peers"`
}

// SchemaName names the sent form; it must never change.
func (ExchangeResponse) SchemaName() string { return "CounterExchangeResponse" }

// storedRecord is a record of the write-ahead log: the origin of the disk, and what
// one commit added to the state.
type storedRecord struct {
	Origin  int64   `avro:"Origin"`
	Batches []Batch `avro:"Batches"`
}

// SchemaName names the stored form; it must never change.
func (storedRecord) SchemaName() string { return "CounterStoredRecord" }

// vector holds how many records of each origin a controller holds.
type vector map[int64]int64

func vectorOf(positions []Position) vector {
	held := make(vector, len(positions))
	for _, position := range positions {
		held[position.Origin] = position.Count
	}
	return held
}

// covers reports whether nothing of the other vector is missing in this one.
func (v vector) covers(other vector) bool {
	for origin, count := range other {
		if v[origin] < count {
			return false
		}
	}
	return true
}

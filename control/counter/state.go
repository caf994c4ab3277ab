package counter

import (
	"cmp"
	"math/big"
	"slices"
	"strings"
)

// State holds the records and totals of all counters on a controller. Merging is a union
// of records, so neither their order nor duplicates affect the totals. It is not safe for
// concurrent use.
type State struct {
	names       []string
	nameIndex   map[string]int32
	origins     []originRecords
	originIndex map[int64]int32
	// index maps each key to the record that counts towards the total.
	index  map[Key]location
	totals []big.Int
	count  int
	// conflicts counts the records that were added while another record of their key
	// counted with a different amount.
	conflicts int
}

// originRecords holds the records of an origin. The record at index i has the sequence
// number i+1.
type originRecords struct {
	origin  int64
	records []record
}

// record is one add.
type record struct {
	key     Key
	counter int32
	amount  int64
}

// location identifies a record by the index of its origin in State.origins and its sequence
// number.
type location struct {
	origin   int32
	sequence int32
}

// NewState returns a state without records.
func NewState() *State {
	return &State{nameIndex: map[string]int32{}, originIndex: map[int64]int32{}, index: map[Key]location{}}
}

// Len returns the number of records.
func (s *State) Len() int { return s.count }

// Total returns the sum of a counter, 0 for an unknown one.
func (s *State) Total(counter string) *big.Int {
	total := new(big.Int)
	if index, ok := s.nameIndex[counter]; ok {
		total.Set(&s.totals[index])
	}
	return total
}

// held returns how many records of an origin are held.
func (s *State) held(origin int64) int64 {
	index, ok := s.originIndex[origin]
	if !ok {
		return 0
	}
	return int64(len(s.origins[index].records))
}

// Vector returns the version vector, sorted by origin.
func (s *State) Vector() []Position {
	positions := make([]Position, 0, len(s.origins))
	for _, origin := range s.origins {
		positions = append(positions, Position{Origin: origin.origin, Count: int64(len(origin.records))})
	}
	slices.SortFunc(positions, func(left, right Position) int { return cmp.Compare(left.Origin, right.Origin) })
	return positions
}

// find returns the origin and sequence number of the record that counts for a key.
func (s *State) find(key Key) (origin int64, sequence int64, ok bool) {
	at, ok := s.index[key]
	if !ok {
		return 0, 0, false
	}
	return s.origins[at.origin].origin, int64(at.sequence), true
}

// Apply adds the records of a batch that are not held yet. It adds nothing if there is a
// gap between the records held and the batch. The batch must be valid.
func (s *State) Apply(batch Batch) {
	held := s.held(batch.Origin)
	if batch.First > held+1 || batch.Len() == 0 {
		return
	}
	for index := int(held + 1 - batch.First); index < batch.Len(); index++ {
		s.add(batch.Origin, record{
			key: batch.key(index), counter: s.counterIndex(batch.Names[batch.Counters[index]]), amount: batch.Amounts[index],
		})
	}
}

// add appends the next record of an origin. It adds the amount to the total if the key is
// new; otherwise resolve decides.
func (s *State) add(origin int64, added record) {
	index, ok := s.originIndex[origin]
	if !ok {
		index = int32(len(s.origins))
		s.origins = append(s.origins, originRecords{origin: origin})
		s.originIndex[origin] = index
	}
	records := append(s.origins[index].records, added)
	s.origins[index].records = records
	s.count++
	at := location{origin: index, sequence: int32(len(records))}
	known, ok := s.index[added.key]
	if !ok {
		s.index[added.key] = at
		s.addToTotal(added.counter, added.amount)
		return
	}
	s.resolve(known, at, added)
}

// resolve decides which of two records of one key counts: the one with the lower amount,
// so that all controllers choose the same one, in whatever order they receive them.
func (s *State) resolve(known location, at location, added record) {
	counted := s.origins[known.origin].records[known.sequence-1]
	if counted.amount == added.amount {
		return
	}
	s.conflicts++
	if added.amount > counted.amount {
		return
	}
	s.index[added.key] = at
	s.addToTotal(counted.counter, -counted.amount)
	s.addToTotal(added.counter, added.amount)
}

func (s *State) addToTotal(counter int32, amount int64) {
	total := &s.totals[counter]
	total.Add(total, big.NewInt(amount))
}

// counterIndex returns the index of a counter by its name, and assigns one to a new counter.
// It keeps a copy of the name, which may be a part of a whole request.
func (s *State) counterIndex(name string) int32 {
	index, ok := s.nameIndex[name]
	if !ok {
		name = strings.Clone(name)
		index = int32(len(s.names))
		s.names, s.totals = append(s.names, name), append(s.totals, big.Int{})
		s.nameIndex[name] = index
	}
	return index
}

// Batch returns at most limit records of an origin, starting after the first skip ones.
func (s *State) Batch(origin int64, skip int64, limit int) Batch {
	index, ok := s.originIndex[origin]
	if !ok || skip >= int64(len(s.origins[index].records)) {
		return Batch{}
	}
	records := s.origins[index].records[skip:]
	builder := batchBuilder{batch: Batch{Origin: origin, First: skip + 1}}
	for _, added := range records[:min(limit, len(records))] {
		builder.add(added.key, s.names[added.counter], added.amount)
	}
	return builder.batch
}

// batchBuilder builds a batch record by record.
type batchBuilder struct {
	batch     Batch
	nameIndex map[string]int64
}

func (b *batchBuilder) add(key Key, counter string, amount int64) {
	index, ok := b.nameIndex[counter]
	if !ok {
		if b.nameIndex == nil {
			b.nameIndex = map[string]int64{}
		}
		index = int64(len(b.batch.Names))
		b.batch.Names = append(b.batch.Names, counter)
		b.nameIndex[counter] = index
	}
	b.batch.Keys = append(b.batch.Keys, key[:]...)
	b.batch.Counters = append(b.batch.Counters, index)
	b.batch.Amounts = append(b.batch.Amounts, amount)
}

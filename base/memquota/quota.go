// Package memquota bounds what bodies take of a daemon's memory together: each
// body reserves room before it is read, and what does not fit is refused at
// once, before it is there.
package memquota

import (
	"errors"
	"io"
	"sync/atomic"

	"onyxwell/base/invariant"
)

// ErrFull is told where no room is left.
var ErrFull = errors.New("quota: no room is left for the body")

const (
	// first is how many bytes a body gets before it has sent any: a caller that
	// only says that it will send much reserves no more.
	first = 64 << 10
	// smallShare is the part of the room, one in so many, that only the first
	// bytes of bodies may take: small bodies pass beside large ones that are slow.
	smallShare = 4
)

// Quota is room for bodies, in bytes. A nil one has room for everything.
type Quota struct {
	monitor *invariant.Monitor
	small   room
	large   room
}

type room struct {
	limit int64
	taken atomic.Int64
}

func (r *room) take(size int64) bool {
	if r.taken.Add(size) <= r.limit {
		return true
	}
	r.taken.Add(-size)
	return false
}

// New makes a quota of so many bytes; the monitor may be nil.
func New(limit int64, monitor *invariant.Monitor) *Quota {
	made := &Quota{monitor: monitor}
	made.small.limit = max(first, limit/smallShare)
	made.large.limit = max(0, limit-made.small.limit)
	return made
}

// Taken is how many bytes are reserved now.
func (q *Quota) Taken() int64 {
	if q == nil {
		return 0
	}
	return q.small.taken.Load() + q.large.taken.Load()
}

// give gives reserved bytes back.
func (q *Quota) give(room *room, size int64) {
	if left := room.taken.Add(-size); left < 0 {
		q.monitor.Violated(invariant.MemoryReserved, "%d bytes are given back, %d more than were taken", size, -left)
	}
}

// Body is a body that is held in memory, in part or whole.
type Body struct {
	// Bytes are those that were read.
	Bytes []byte
	quota *Quota
	room  *room
	taken int64
}

// Hold makes an empty body that is to be read.
func (q *Quota) Hold() *Body { return &Body{quota: q} }

// Release gives the body's room back; it may be called more than once.
func (b *Body) Release() {
	if b.quota != nil && b.room != nil {
		b.quota.give(b.room, b.taken)
	}
	b.room, b.taken = nil, 0
}

// grow makes room for so many bytes in all.
func (b *Body) grow(size int64) error {
	if b.quota != nil && !b.reserve(size) {
		return ErrFull
	}
	grown := make([]byte, len(b.Bytes), size)
	copy(grown, b.Bytes)
	b.Bytes = grown
	return nil
}

// reserve takes room for so many bytes in place of what the body has. What it
// had is the collector's.
func (b *Body) reserve(size int64) bool {
	room, already := &b.quota.large, int64(0)
	if size <= first {
		room = &b.quota.small
	}
	if room == b.room {
		already = b.taken
	}
	if !room.take(size - already) {
		return false
	}
	if room != b.room {
		b.Release()
	}
	b.room, b.taken = room, size
	return true
}

// next is the room that a body wants which fills what it has: all that was told
// once the first bytes have come, else twice as much, but no more than the most.
func (b *Body) next(told int64, most int64) int64 { return min(b.wanted(told)-1, most) + 1 }

func (b *Body) wanted(told int64) int64 {
	have := int64(cap(b.Bytes))
	if have == 0 {
		if told >= 0 {
			// One byte more shows the end without another step.
			return min(told+1, first)
		}
		return 512
	}
	return max(2*have, told+1)
}

// Read reads to the end, which comes after most bytes at the latest; told is the
// length that was told, below 0 for none. With ErrFull the bytes so far are
// there, and the rest can still be read.
func (b *Body) Read(from io.Reader, told int64, most int64) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(b.next(told, most)); err != nil {
				return err
			}
		}
		size, err := from.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+size]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

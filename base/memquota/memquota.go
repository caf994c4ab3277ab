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
	// initialSize is how many bytes a body gets before it has sent any: a caller that
	// only says that it will send much reserves no more.
	initialSize = 64 << 10
	// smallPoolFraction is the part of the room, one in so many, that only the first
	// bytes of bodies may take: small bodies pass beside large ones that are slow.
	smallPoolFraction = 4
)

// Quota is room for bodies, in bytes. A nil one has room for everything.
type Quota struct {
	monitor *invariant.Monitor
	small   pool
	large   pool
}

type pool struct {
	limit    int64
	reserved atomic.Int64
}

func (p *pool) reserve(size int64) bool {
	if p.reserved.Add(size) <= p.limit {
		return true
	}
	p.reserved.Add(-size)
	return false
}

// New makes a quota of so many bytes; the monitor may be nil.
func New(limit int64, monitor *invariant.Monitor) *Quota {
	made := &Quota{monitor: monitor}
	made.small.limit = max(initialSize, limit/smallPoolFraction)
	made.large.limit = max(0, limit-made.small.limit)
	return made
}

// Reserved is how many bytes are reserved now.
func (q *Quota) Reserved() int64 {
	if q == nil {
		return 0
	}
	return q.small.reserved.Load() + q.large.reserved.Load()
}

// release gives reserved bytes back.
func (q *Quota) release(room *pool, size int64) {
	if left := room.reserved.Add(-size); left < 0 {
		q.monitor.Violated(invariant.MemoryReserved, "%d bytes are given back, %d more than were taken", size, -left)
	}
}

// Body is a body that is held in memory, in part or whole.
type Body struct {
	// Bytes are those that were read.
	Bytes    []byte
	quota    *Quota
	pool     *pool
	reserved int64
}

// NewBody makes an empty body that is to be read.
func (q *Quota) NewBody() *Body { return &Body{quota: q} }

// Release gives the body's room back; it may be called more than once.
func (b *Body) Release() {
	if b.quota != nil && b.pool != nil {
		b.quota.release(b.pool, b.reserved)
	}
	b.pool, b.reserved = nil, 0
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
	if size <= initialSize {
		room = &b.quota.small
	}
	if room == b.pool {
		already = b.reserved
	}
	if !room.reserve(size - already) {
		return false
	}
	if room != b.pool {
		b.Release()
	}
	b.pool, b.reserved = room, size
	return true
}

// nextSize is the room that a body wants which fills what it has: all that was told
// once the first bytes have come, else twice as much, but no more than the most.
func (b *Body) nextSize(told int64, most int64) int64 { return min(b.growTarget(told)-1, most) + 1 }

func (b *Body) growTarget(told int64) int64 {
	have := int64(cap(b.Bytes))
	if have == 0 {
		if told >= 0 {
			// One byte more shows the end without another step.
			return min(told+1, initialSize)
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
			if err := b.grow(b.nextSize(told, most)); err != nil {
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

// Package memquota bounds the memory of all bodies that a daemon holds at the
// same time. A body reserves memory before it is read; one that doesn't fit is
// rejected at once, without waiting.
//
// Invariants: the bytes that bodies hold never exceed what they have reserved,
// and reservations never exceed the quota; every reservation is released once.
package memquota

import (
	"errors"
	"sync/atomic"

	"onyxwell/base/invariant"
)

// ErrFull is returned where the quota has no room for the next bytes of a body.
var ErrFull = errors.New("quota: no room is left for the body")

const (
	// initialSize is the most that a body reserves before it has sent that much:
	// a Content-Length alone reserves no more. It is also the largest body in the
	// small pool.
	initialSize = 64 << 10
	// smallPoolDivisor is the fraction of the quota, one in so many, for bodies of
	// at most initialSize: large bodies that are slow can't block small ones.
	smallPoolDivisor = 4
)

// Quota is the memory for bodies, in bytes. It is safe for concurrent use. A nil
// Quota is unlimited.
type Quota struct {
	monitor *invariant.Monitor
	small   pool
	large   pool
}

// pool counts reservations against a limit.
type pool struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves size bytes, or none and returns false.
func (p *pool) reserve(size int64) bool {
	if p.reserved.Add(size) <= p.limit {
		return true
	}
	p.reserved.Add(-size)
	return false
}

// New returns a quota of limit bytes, and of one small body at the least. The
// monitor is told of a release of more than was reserved; it may be nil.
func New(limit int64, monitor *invariant.Monitor) *Quota {
	quota := &Quota{monitor: monitor}
	quota.small.limit = max(initialSize, limit/smallPoolDivisor)
	quota.large.limit = max(0, limit-quota.small.limit)
	return quota
}

// Reserved returns the bytes that are reserved now.
func (q *Quota) Reserved() int64 {
	if q == nil {
		return 0
	}
	return q.small.reserved.Load() + q.large.reserved.Load()
}

// release returns size bytes to the pool.
func (q *Quota) release(pool *pool, size int64) {
	if left := pool.reserved.Add(-size); left < 0 {
		q.monitor.Violated(invariant.MemoryReserved, "%d bytes are given back, %d more than were taken", size, -left)
	}
}

// Reservation is memory that grows, taken from the pool for small bodies. It is not safe
// for concurrent use. A nil one holds nothing.
type Reservation struct {
	quota *Quota
	size  int64
}

// NewReservation returns a reservation of nothing. That of a nil Quota never fails.
func (q *Quota) NewReservation() *Reservation { return &Reservation{quota: q} }

// Grow has the reservation be of at least so many bytes, and reports whether there was
// room for them.
func (r *Reservation) Grow(size int64) bool {
	if r.quota == nil || size <= r.size {
		return true
	}
	if !r.quota.small.reserve(size - r.size) {
		return false
	}
	r.size = size
	return true
}

// Release gives all of it back.
func (r *Reservation) Release() {
	if r == nil || r.quota == nil || r.size == 0 {
		return
	}
	r.quota.release(&r.quota.small, r.size)
	r.size = 0
}

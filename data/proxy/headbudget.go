package proxy

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
)

const (
	// unreservedHeadBytes is the size up to which a head is not reserved from the quota,
	// because the connection's buffers hold it.
	unreservedHeadBytes = 4 << 10
	// maxHeadLines bounds the lines of a head. Each takes some 200 bytes beside its text once
	// it is parsed, which the memory quota does not count.
	maxHeadLines = 1024
	// headSlack is how many bytes a head may exceed the configured limit by before it is
	// truncated, for white space that the limit does not count.
	headSlack = 4 << 10
	// maxHeadBytes bounds a head if the configuration sets no limit or a larger one. It
	// is the limit of net/http.
	maxHeadBytes = 1 << 20
)

// headTerminator ends a truncated head for net/http, so that the request is passed to the
// proxy, which rejects it.
const headTerminator = "\r\n\r\n"

// headBudget bounds a request head while it is read: its size by the limit of the current
// configuration and, together with all other heads and bodies, by the memory quota, and its
// lines by maxHeadLines. A head that exceeds either is truncated and read no further. Only the
// connection's reader may call beginHead, grow and readTerminator.
type headBudget struct {
	quota *memquota.Quota

	// size and lines are the numbers of bytes and lines of the head read so far.
	size  int64
	lines int64
	// truncated reports whether a head exceeded a bound.
	truncated bool
	// terminatorRead reports whether headTerminator was passed to the reader.
	terminatorRead bool

	mu       sync.Mutex
	reserved *memquota.Reservation
	// kind is the error kind with which requests are rejected once a head is truncated.
	kind   errkind.Kind
	closed bool
}

// beginHead resets the size and the reservation for the next head.
func (h *headBudget) beginHead() {
	h.size, h.lines = 0, 0
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved.Release()
	h.reserved = nil
}

// grow adds n bytes and lines to a head. If it exceeds the limits or the quota, it is
// truncated, or its request is rejected if it has ended.
func (h *headBudget) grow(n int, lines int, limit int64) {
	h.size += int64(n)
	h.lines += int64(lines)
	if limit <= 0 || limit > maxHeadBytes {
		limit = maxHeadBytes
	}
	switch {
	case h.size > limit+headSlack || h.lines > maxHeadLines:
		h.truncate(errkind.HeaderTooLarge)
	case h.size > unreservedHeadBytes && !h.reserve(h.size):
		h.truncate(errkind.OutOfMemory)
	}
}

// reserve raises the reservation to size bytes. It reports whether the quota has room.
func (h *headBudget) reserve(size int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return false
	}
	if h.reserved == nil {
		h.reserved = h.quota.NewReservation()
	}
	return h.reserved.Grow(size)
}

// truncate ends the reading of the head. The request is rejected with kind.
func (h *headBudget) truncate(kind errkind.Kind) {
	h.truncated = true
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kind = kind
}

// readTerminator copies headTerminator into p after a head was truncated, and returns its
// length. It does so once per connection, and returns 0 otherwise.
func (h *headBudget) readTerminator(p []byte) int {
	if !h.truncated || h.terminatorRead {
		return 0
	}
	h.terminatorRead = true
	return copy(p, headTerminator)
}

// rejectionKind returns the error kind for which a head of the connection was truncated, or
// errkind.None. After a truncation no request of the connection is served.
func (h *headBudget) rejectionKind() errkind.Kind {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kind
}

// release returns the reservation to the quota when the connection is closed. Nothing can
// be reserved afterwards.
func (h *headBudget) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.reserved.Release()
	h.reserved = nil
}

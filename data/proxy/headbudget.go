package proxy

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
)

const (
	// unreservedHeadBytes of a head are not reserved: the connection's buffers hold them.
	unreservedHeadBytes = 4 << 10
	// headSlack is by how much more than the limit of the configuration a head may have
	// before it is cut: white space that the limit does not count.
	headSlack = 4 << 10
	// maxHeadBytes bounds a head where the configuration sets no limit or a larger one; it
	// is what net/http reads.
	maxHeadBytes = 1 << 20
)

// headTerminator ends a head that is cut. What is read then is a request that the proxy rejects.
const headTerminator = "\r\n\r\n"

// headBudget bounds the bytes of a head while it is read: by the limit of the
// configuration in force, and, together with all other heads and bodies, by the memory
// quota. A head that exceeds either is read no further. begin, grow and endTruncated are
// called by the reader alone.
type headBudget struct {
	quota *memquota.Quota

	// size is what was read of the head.
	size           int64
	truncated      bool
	terminatorRead bool

	mu       sync.Mutex
	reserved *memquota.Reservation
	kind     errkind.Kind
	closed   bool
}

// beginHead starts with another head.
func (h *headBudget) beginHead() {
	h.size = 0
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reserved.Release()
	h.reserved = nil
}

// grow counts bytes of a head that has not ended.
func (h *headBudget) grow(n int, limit int64) {
	h.size += int64(n)
	if limit <= 0 || limit > maxHeadBytes {
		limit = maxHeadBytes
	}
	switch {
	case h.size > limit+headSlack:
		h.truncate(errkind.HeaderTooLarge)
	case h.size > unreservedHeadBytes && !h.reserve(h.size):
		h.truncate(errkind.OutOfMemory)
	}
}

// reserve has so many bytes be reserved.
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

func (h *headBudget) truncate(kind errkind.Kind) {
	h.truncated = true
	h.mu.Lock()
	defer h.mu.Unlock()
	h.kind = kind
}

// readTerminator puts the end of a head that was cut into p, once, and returns its length.
func (h *headBudget) readTerminator(p []byte) int {
	if !h.truncated || h.terminatorRead {
		return 0
	}
	h.terminatorRead = true
	return copy(p, headTerminator)
}

// rejectionKind returns why a head of the connection was cut, errkind.None if none was: no
// further request is taken from it.
func (h *headBudget) rejectionKind() errkind.Kind {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.kind
}

// release gives back what is reserved; the connection is closed.
func (h *headBudget) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.reserved.Release()
	h.reserved = nil
}

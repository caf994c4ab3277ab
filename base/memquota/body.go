package memquota

import (
	"errors"
	"io"
)

// unknownSize is the first buffer of a body whose length is unknown, in bytes.
const unknownSize = 512

// Body is a buffer whose memory is reserved from a quota. It is for one
// goroutine, which must call Release.
type Body struct {
	// Bytes are those read so far.
	Bytes    []byte
	quota    *Quota
	pool     *pool
	reserved int64
}

// NewBody returns an empty body that has reserved nothing yet.
func (q *Quota) NewBody() *Body { return &Body{quota: q} }

// Release returns the body's reservation; further calls have no effect. Bytes
// may be used no more.
func (b *Body) Release() {
	if b.quota != nil && b.pool != nil {
		b.quota.release(b.pool, b.reserved)
	}
	b.pool, b.reserved = nil, 0
}

// grow reserves size bytes in all and moves the body to a buffer of that size.
func (b *Body) grow(size int64) error {
	if b.quota != nil && !b.reserve(size) {
		return ErrFull
	}
	buffer := make([]byte, len(b.Bytes), size)
	copy(buffer, b.Bytes)
	b.Bytes = buffer
	return nil
}

// reserve raises the body's reservation to size bytes, and moves it to the large
// pool beyond initialSize. The former buffer is not counted: the collector has it.
func (b *Body) reserve(size int64) bool {
	target, already := &b.quota.large, int64(0)
	if size <= initialSize {
		target = &b.quota.small
	}
	if target == b.pool {
		already = b.reserved
	}
	if !target.reserve(size - already) {
		return false
	}
	if target != b.pool {
		b.Release()
	}
	b.pool, b.reserved = target, size
	return true
}

// nextSize returns the size of the next buffer for a body that has filled its
// own: at most one byte over limit, so that a body at the limit shows its end.
func (b *Body) nextSize(length int64, limit int64) int64 {
	return min(b.growTarget(length)-1, limit) + 1
}

// growTarget returns the length that was announced once the first bytes have
// come, else twice the buffer.
func (b *Body) growTarget(length int64) int64 {
	size := int64(cap(b.Bytes))
	if size == 0 {
		if length >= 0 {
			// With one byte more the end shows without another step.
			return min(length+1, initialSize)
		}
		return unknownSize
	}
	return max(2*size, length+1)
}

// Read reads to the end of reader, which must come after limit bytes at the
// latest. length is the length that was announced, below 0 if none was. After
// ErrFull, Bytes holds what was read, and the rest can still be read from reader.
func (b *Body) Read(reader io.Reader, length int64, limit int64) error {
	for {
		if len(b.Bytes) == cap(b.Bytes) {
			if err := b.grow(b.nextSize(length, limit)); err != nil {
				return err
			}
		}
		n, err := reader.Read(b.Bytes[len(b.Bytes):cap(b.Bytes)])
		b.Bytes = b.Bytes[:len(b.Bytes)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

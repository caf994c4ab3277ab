package memquota

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"

	"onyxwell/base/invariant"
	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestBody_readCompleteOrRejected reads bodies of all sizes, told or not, in
// pieces or not, beside what others hold: what is read is what was sent, room
// is never overdrawn, and all of it comes back.
func TestBody_readCompleteOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(initialSize, 20*initialSize).Draw(t, "limit"))
		bodies := New(limit, nil)
		var held []*Body
		for range rapid.IntRange(1, 12).Draw(t, "bodies") {
			text := bytes.Repeat([]byte("abc"), rapid.IntRange(0, 2*initialSize/3).Draw(t, "size"))
			from := io.Reader(bytes.NewReader(text))
			if rapid.Bool().Draw(t, "in pieces") {
				from = iotest.HalfReader(from)
			}
			told := int64(len(text))
			if rapid.Bool().Draw(t, "not told") {
				told = -1
			}
			body := bodies.NewBody()
			err := body.Read(from, told, 2*initialSize+3)
			if err != nil && !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			if errors.Is(err, ErrFull) {
				rest, _ := io.ReadAll(from)
				body.Bytes = append(body.Bytes, rest...)
			}
			if !bytes.Equal(body.Bytes, text) {
				t.Fatalf("%d bytes of %d", len(body.Bytes), len(text))
			}
			if bodies.Reserved() > max(limit, initialSize) {
				t.Fatalf("%d bytes are taken of %d", bodies.Reserved(), limit)
			}
			held = append(held, body)
		}
		for _, body := range held {
			body.Release()
			body.Release()
		}
		if bodies.Reserved() != 0 {
			t.Fatalf("%d bytes are still taken", bodies.Reserved())
		}
	})
}

// TestQuota_smallBodiesNotBlockedByLarge fills the room with a large body.
func TestQuota_smallBodiesNotBlockedByLarge(t *testing.T) {
	bodies := New(8*initialSize, nil)
	large, small := bodies.NewBody(), bodies.NewBody()
	if err := large.Read(bytes.NewReader(make([]byte, 5*initialSize)), 5*initialSize, 5*initialSize); err != nil {
		t.Fatal(err)
	}
	if err := bodies.NewBody().Read(bytes.NewReader(make([]byte, 5*initialSize)), 5*initialSize, 5*initialSize); !errors.Is(err, ErrFull) {
		t.Errorf("a second large body: %v", err)
	}
	if err := small.Read(bytes.NewReader(make([]byte, 100)), 100, 5*initialSize); err != nil {
		t.Errorf("a small body: %v", err)
	}
	var none *Quota
	if err := none.NewBody().Read(bytes.NewReader(make([]byte, 100)), -1, 5*initialSize); err != nil || none.Reserved() != 0 {
		t.Errorf("without a quota: %v", err)
	}
}

func TestQuota_overReleaseIsCounted(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	bodies := New(initialSize, monitor)
	bodies.release(&bodies.small, 1)
	if got := monitor.Count(invariant.MemoryReserved); got != 1 {
		t.Errorf("counted %d", got)
	}
}

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

func TestMain(m *testing.M) { proptest.Run(m) }

// Bodies of all sizes are read, with or without a length, in pieces or not,
// while others are held: what is read is what was sent, the quota is never
// exceeded, and everything is released.
func TestBody_readCompleteOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(initialSize, 20*initialSize).Draw(t, "limit"))
		quota := New(limit, nil)
		var bodies []*Body
		for range rapid.IntRange(1, 12).Draw(t, "bodies") {
			sent := bytes.Repeat([]byte("abc"), rapid.IntRange(0, 2*initialSize/3).Draw(t, "size"))
			reader := io.Reader(bytes.NewReader(sent))
			if rapid.Bool().Draw(t, "in pieces") {
				reader = iotest.HalfReader(reader)
			}
			length := int64(len(sent))
			if rapid.Bool().Draw(t, "length unknown") {
				length = -1
			}
			body := quota.NewBody()
			err := body.Read(reader, length, 2*initialSize+3)
			if err != nil && !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
			if errors.Is(err, ErrFull) {
				rest, _ := io.ReadAll(reader)
				body.Bytes = append(body.Bytes, rest...)
			}
			if !bytes.Equal(body.Bytes, sent) {
				t.Fatalf("read %d bytes of %d", len(body.Bytes), len(sent))
			}
			if quota.Reserved() > max(limit, initialSize) {
				t.Fatalf("%d bytes are reserved of %d", quota.Reserved(), limit)
			}
			bodies = append(bodies, body)
		}
		for _, body := range bodies {
			body.Release()
			body.Release()
		}
		if quota.Reserved() != 0 {
			t.Fatalf("%d bytes are still reserved", quota.Reserved())
		}
	})
}

func TestQuota_smallBodiesNotBlockedByLarge(t *testing.T) {
	const largeSize = 5 * initialSize
	quota := New(8*initialSize, nil)
	if err := quota.NewBody().Read(bytes.NewReader(make([]byte, largeSize)), largeSize, largeSize); err != nil {
		t.Fatal(err)
	}
	if err := quota.NewBody().Read(bytes.NewReader(make([]byte, largeSize)), largeSize, largeSize); !errors.Is(err, ErrFull) {
		t.Errorf("second large body: %v", err)
	}
	if err := quota.NewBody().Read(bytes.NewReader(make([]byte, 100)), 100, largeSize); err != nil {
		t.Errorf("small body: %v", err)
	}
}

func TestQuota_nilIsUnlimited(t *testing.T) {
	var quota *Quota
	if err := quota.NewBody().Read(bytes.NewReader(make([]byte, 100)), -1, 5*initialSize); err != nil || quota.Reserved() != 0 {
		t.Errorf("error %v with %d bytes reserved", err, quota.Reserved())
	}
}

func TestQuota_overReleaseIsCounted(t *testing.T) {
	monitor := &invariant.Monitor{Tolerant: true}
	quota := New(initialSize, monitor)
	quota.release(&quota.small, 1)
	if got := monitor.Count(invariant.MemoryReserved); got != 1 {
		t.Errorf("%d violations counted", got)
	}
}

package compress

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

func TestEncode_roundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "piece"), rapid.IntRange(0, 100).Draw(t, "times"))
		small, packed := Encode(body)
		if len(small) > len(body) {
			t.Fatalf("%d bytes became %d", len(body), len(small))
		}
		if back, err := Decode(small, packed); err != nil || !bytes.Equal(back, body) {
			t.Fatalf("%v", err)
		}
	})
}

func TestDecode_corruptBody(t *testing.T) {
	small, packed := Encode(bytes.Repeat([]byte("a long body "), 500))
	if !packed || len(small) > 600 {
		t.Fatalf("%d bytes", len(small))
	}
	if _, err := Decode(small[:len(small)/2], true); err == nil {
		t.Fatal("half a body is a whole one")
	}
	if _, err := Decode([]byte("no deflate at all"), true); err == nil {
		t.Fatal("any bytes are a body")
	}
}

package compress

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/proptest"
)

func TestMain(m *testing.M) { proptest.Run(m) }

func TestEncode_roundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 200).Draw(t, "pattern"), rapid.IntRange(0, 100).Draw(t, "repeats"))
		encoded, compressed := Encode(body)
		if len(encoded) > len(body) {
			t.Fatalf("%d bytes grew to %d", len(body), len(encoded))
		}
		if decoded, err := Decode(encoded, compressed); err != nil || !bytes.Equal(decoded, body) {
			t.Fatalf("decoded another body, error %v", err)
		}
	})
}

func TestDecode_corruptBody(t *testing.T) {
	encoded, compressed := Encode(bytes.Repeat([]byte("a long body "), 500))
	if !compressed || len(encoded) > 600 {
		t.Fatalf("compressed %v to %d bytes", compressed, len(encoded))
	}
	cases := map[string][]byte{
		"truncated":   encoded[:len(encoded)/2],
		"not DEFLATE": []byte("no deflate at all"),
	}
	for name, body := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(body, true); err == nil {
				t.Fatal("no error")
			}
		})
	}
}

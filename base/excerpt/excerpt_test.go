package excerpt

import (
	"strings"
	"testing"
	"unsafe"
)

func TestOf(t *testing.T) {
	for _, c := range []struct {
		text  string
		limit int
		want  string
	}{
		{"", 4, ""},
		{"hall", 4, "hall"},
		{"halls", 4, "hall..."},
		{"häll", 2, "h..."},
		{"häll", 3, "hä..."},
		{"\x80\x80\x80", 2, "..."},
	} {
		if got := Of(c.text, c.limit); got != c.want {
			t.Errorf("Of(%q, %d) = %q, want %q", c.text, c.limit, got, c.want)
		}
	}
}

// TestOf_sharesNoMemory guards against short names that keep whole requests in memory.
func TestOf_sharesNoMemory(t *testing.T) {
	request := "POST /tallies/t3?" + strings.Repeat("x", 100)
	name := request[len("POST /tallies/"):len("POST /tallies/t3")]
	for _, limit := range []int{1, len(name)} {
		if got := Of(name, limit); unsafe.StringData(got) == unsafe.StringData(name) {
			t.Errorf("limit %d: %q is a part of the request", limit, got)
		}
	}
}

package lengthstats

import (
	"math"
	"testing"
)

func TestTable_class(t *testing.T) {
	estimator := newMixedEstimator(100, 25)
	split, _ := estimator.UpdateSplit("s")
	table := NewTable(estimator.Expectations(), []Split{split})
	cases := []struct {
		route  string
		tokens float64
		want   Class
	}{
		{"check", 1800, Short},
		{"manifest", 6600, Long},
		{"never seen", 6600, Long},
		{"never seen", 900, Short},
		{"check", 0, Unknown},
		{"check", math.NaN(), Unknown},
		{"check", 1 << 40, Unknown},
	}
	for _, c := range cases {
		if got := table.Class(newKey(c.route, c.tokens)); got != c.want {
			t.Errorf("route %s with %v tokens: class %d, want %d", c.route, c.tokens, got, c.want)
		}
	}
}

func TestTable_nilClassifiesAsUnknown(t *testing.T) {
	var table *Table
	if got := table.Class(newKey("check", 1800)); got != Unknown {
		t.Errorf("a nil table returned class %d", got)
	}
}

package store

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/transport"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestEveryChangeIsRemembered goes over pages, some sealed late: each repeat is
// known, each rival on the same version and each order on a version that never
// was is refused.
func TestEveryChangeIsRemembered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chain := newChain(t)
		for range rapid.IntRange(1, 6).Draw(t, "stretches") {
			chain.grow(rapid.IntRange(1, 400).Draw(t, "changes"))
			if rapid.Bool().Draw(t, "sealing") {
				chain.seal()
			}
		}
		for range 40 {
			index := rapid.IntRange(0, len(chain.taken)-1).Draw(t, "repeat")
			change := chain.taken[index]
			if kind := chain.ask(change); kind != errkind.None {
				t.Fatalf("the repeat of change %d of %d on version %d: %v", index, len(chain.taken), change.Match, kind)
			}
			rival := patchOn(change.Match, change.Serial(), 1)
			if kind := chain.ask(rival); kind != errkind.StaleSpec {
				t.Fatalf("a rival of change %d of %d: %v", index, len(chain.taken), kind)
			}
			if between := change.Match + 1; between < change.Serial() {
				if kind := chain.ask(patchOn(between, between+1, 0)); kind != errkind.StaleSpec {
					t.Fatalf("version %d never was: %v", between, kind)
				}
			}
		}
		kept, _ := Travelling(chain.value)
		if kind := chain.ask(patchOn(kept.Serial+1, kept.Serial+2, 0)); kind != errkind.StaleSpec {
			t.Fatalf("a version that is yet to come: %v", kind)
		}
	})
}

// TestMemoryEndsWithoutAClearAnswer goes once round the ring of pages.
func TestMemoryEndsWithoutAClearAnswer(t *testing.T) {
	chain := newChain(t)
	for range pageCount + 3 {
		chain.grow(pageLength)
		chain.seal()
	}
	counts := map[errkind.Kind]int{}
	first := -1
	for index, change := range chain.taken {
		kind := chain.ask(change)
		if kind == errkind.None && first < 0 {
			first = index
		}
		if first >= 0 && kind != errkind.None {
			t.Fatalf("change %d of %d: %v, though an older one was known", index, len(chain.taken), kind)
		}
		counts[kind]++
	}
	if counts[errkind.None] < (pageCount-1)*pageLength+recentLeast || counts[errkind.Forgotten] != first {
		t.Fatalf("%v", counts)
	}
	size, beside := 0, 0
	for range pageLength {
		chain.grow(1)
		chain.seal()
		kept, _ := Travelling(chain.value)
		beside += len(kept.Memory.Recent) + len(kept.Memory.Spans)
	}
	for _, page := range chain.pages {
		size += len(page)
	}
	t.Logf("%d changes known of %d; %d bytes a write on the average; %d pages of %d bytes in all",
		counts[errkind.None], counts[errkind.None]+counts[errkind.Forgotten], beside/pageLength, len(chain.pages), size)
}

// TestPageThatIsGoneIsNoClearAnswer has pages missing, and overtaken.
func TestPageThatIsGoneIsNoClearAnswer(t *testing.T) {
	chain := newChain(t)
	chain.grow(2 * pageLength)
	chain.seal()
	chain.grow(1)
	page := chain.pages[pageKey(0)]
	next, err := Page{Index: pageCount}.Step(page)
	if err != nil || next == nil {
		t.Fatal(err)
	}
	if back, err := (Page{Index: 0}).Step(next); back != nil || err != nil {
		t.Fatalf("an older page replaced a newer one: %v", err)
	}
	for _, value := range [][]byte{nil, next} {
		chain.pages[pageKey(0)] = value
		if kind := chain.ask(chain.taken[3]); kind != errkind.Forgotten {
			t.Fatalf("%v", kind)
		}
	}
	chain.pages[pageKey(0)] = page[:len(page)-1]
	if kind := chain.ask(chain.taken[3]); kind != errkind.Internal {
		t.Fatalf("a torn page: %v", kind)
	}
	if kind := chain.ask(chain.taken[len(chain.taken)-1]); kind != errkind.None {
		t.Fatalf("the newest needs no page: %v", kind)
	}
}

// TestMemoryIsBoundedWhileNothingIsSealed has no page ever written.
func TestMemoryIsBoundedWhileNothingIsSealed(t *testing.T) {
	chain := newChain(t)
	for range recentMost/pageLength + 3 {
		chain.grow(pageLength)
	}
	kept, err := Travelling(chain.value)
	if err != nil || len(kept.Memory.Recent) > recentMost*(digestLength+1) {
		t.Fatalf("%d bytes, %v", len(kept.Memory.Recent), err)
	}
	if kind := chain.ask(chain.taken[0]); kind != errkind.Forgotten {
		t.Fatalf("%v", kind)
	}
	chain.seal()
	if kind := chain.ask(chain.taken[len(chain.taken)/2]); kind != errkind.None {
		t.Fatalf("%v", kind)
	}
}

// olderKept is Kept as an older build wrote it: the same name, other fields.
type olderKept struct {
	Serial   ids.Serial `avro:"Serial"`
	Document []byte     `avro:"Document"`
}

// SchemaName is that of Kept.
func (olderKept) SchemaName() string { return Kept{}.SchemaName() }

// TestValueOfAnotherFormIsRefused reads what an older build kept.
func TestValueOfAnotherFormIsRefused(t *testing.T) {
	old, err := transport.Pack(olderKept{Serial: 7, Document: []byte(good)})
	if err != nil {
		t.Fatal(err)
	}
	for _, value := range [][]byte{old, old[4:], []byte("odd")} {
		if _, err := ReadKept(value); err == nil {
			t.Fatal("it was read")
		}
		if _, err := (Change{Match: 7, Body: []byte(good)}).Step(value); errkind.KindOf(err) != errkind.Internal {
			t.Fatalf("%v", err)
		}
	}
}

// BenchmarkLookUp prints what one look at the memory costs, without the
// register's reads, and how many bytes of a write are the memory's.
func BenchmarkLookUp(b *testing.B) {
	for _, pages := range []int{0, 1, 10, pageCount} {
		chain := newChain(b)
		chain.grow(recentLeast)
		for range pages {
			chain.grow(pageLength)
			chain.seal()
		}
		chain.grow(2)
		kept, _ := Travelling(chain.value)
		for name, index := range map[string]int{"newest": len(chain.taken) - 1, "oldest": max(0, len(chain.taken)-pages*pageLength-recentLeast)} {
			b.Run(fmt.Sprintf("%dpages/%s", pages, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if kind := chain.ask(chain.taken[index]); kind != errkind.None {
						b.Fatal(kind)
					}
				}
				b.ReportMetric(float64(len(kept.Memory.Recent)+len(kept.Memory.Spans)), "memory-bytes/write")
			})
		}
	}
}

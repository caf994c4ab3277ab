package command

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
)

// trial is a house with all that was sent to it and what was told.
type trial struct {
	*house
	t      *rapid.T
	sent   []store.Change
	known  map[int]errkind.Kind
	winner map[ids.Serial]int
	newest ids.Serial
	told   map[errkind.Kind]int
	busy   map[ids.Address]bool
}

func newTrial(t *rapid.T, told map[errkind.Kind]int) *trial {
	made := &trial{
		house: newHouse(t), t: t, known: map[int]errkind.Kind{}, winner: map[ids.Serial]int{},
		told: told, busy: map[ids.Address]bool{},
	}
	made.sent = append(made.sent, made.plant()...)
	for index, change := range made.sent {
		made.known[index], made.winner[change.Match] = errkind.None, index
	}
	made.newest = made.sent[len(made.sent)-1].Serial()
	made.lose = func() bool { return rapid.IntRange(0, 15).Draw(t, "loss") == 0 }
	made.happen = func() {
		if len(made.busy) == 1 && rapid.IntRange(0, 9).Draw(t, "meanwhile") == 0 {
			made.act()
		}
	}
	return made
}

// act has one controller, which is not at work yet, sweep or get an order: a
// new one, a rival on any version, or a repeat of one that may be under way.
func (t *trial) act() {
	name := rapid.SampledFrom(names).Draw(t.t, "controller")
	if t.busy[name] {
		return
	}
	t.busy[name] = true
	defer delete(t.busy, name)
	index := len(t.sent)
	switch rapid.IntRange(0, 4).Draw(t.t, "act") {
	case 0:
		t.desks[name].Sweep(t.scope)
		return
	case 1:
		t.sent = append(t.sent, patchOn(t.newest, t.newest+3, fmt.Sprint(index)))
	case 2:
		rivalled := rapid.SampledFrom(t.sent).Draw(t.t, "rival").Match
		t.sent = append(t.sent, patchOn(rivalled, t.newest+5, fmt.Sprint(index)))
	case 3:
		index = rapid.IntRange(max(0, index-5), index-1).Draw(t.t, "repeat")
	default:
		index = rapid.IntRange(0, index-1).Draw(t.t, "repeat")
	}
	t.judge(index, t.order(name, t.sent[index]))
}

// judge holds an answer against all that was told before.
func (t *trial) judge(index int, kind errkind.Kind) {
	t.told[kind]++
	if kind == errkind.Unsettled {
		return
	}
	change := t.sent[index]
	if before, decided := t.known[index]; decided && before != kind {
		t.t.Fatalf("order %d on version %d: %v, and before %v", index, change.Match, kind, before)
	}
	t.known[index] = kind
	if kind != errkind.None {
		return
	}
	if other, taken := t.winner[change.Match]; taken && other != index {
		t.t.Fatalf("orders %d and %d were both acknowledged on version %d", other, index, change.Match)
	}
	t.winner[change.Match] = index
	t.newest = max(t.newest, change.Serial())
}

// TestRepeatsAtAnyController has three controllers take the spec over from each
// other, with messages and answers lost, and orders that arrive at one while
// another is at work on the same: what was acknowledged is never refused when it
// comes again, old or new, and no two are acknowledged on one version.
func TestRepeatsAtAnyController(t *testing.T) {
	told, dropped := map[errkind.Kind]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		trial := newTrial(t, told)
		for range 60 {
			trial.act()
		}
		if kept, _ := store.Travelling(trial.acceptor["a"].Slot(config.Key).Accepted.Value); kept.Memory.First > 0 {
			dropped++
		}
	})
	t.Logf("answers: %v; in %d cases changes had gone to pages", told, dropped)
	if dropped < 30 {
		t.Error("too few cases had pages")
	}
	for _, kind := range []errkind.Kind{errkind.None, errkind.StaleSpec, errkind.Unsettled} {
		if told[kind] < 100 {
			t.Errorf("only %d answers were %v", told[kind], kind)
		}
	}
	if told[errkind.Forgotten] > 0 {
		t.Errorf("%d orders were forgotten", told[errkind.Forgotten])
	}
}

// TestPagesAreSealedByWhoeverOwnsTheSpec has one owner write the pages, and the
// next one drop what they hold; an old repeat costs one more key to read.
func TestPagesAreSealedByWhoeverOwnsTheSpec(t *testing.T) {
	house := newHouse(t)
	taken := house.plant()
	newest := taken[len(taken)-1].Serial()
	if kind := house.order("a", patchOn(newest, newest+1, "x")); kind != errkind.None {
		t.Fatal(kind)
	}
	house.desks["b"].seal(house.scope)
	if pages := house.pages("c"); pages != 0 {
		t.Fatalf("%d pages were written by one who does not own the spec", pages)
	}
	house.desks["a"].seal(house.scope)
	size := len(house.acceptor["c"].Slot(config.Key).Accepted.Value)
	if pages := house.pages("c"); pages != 2 {
		t.Fatalf("%d pages", pages)
	}
	// The next owner seals the same again, and finds it done.
	if kind := house.order("b", patchOn(newest+1, newest+2, "y")); kind != errkind.None {
		t.Fatal(kind)
	}
	house.desks["b"].seal(house.scope)
	if kind := house.order("b", patchOn(newest+2, newest+3, "z")); kind != errkind.None {
		t.Fatal(kind)
	}
	after := len(house.acceptor["c"].Slot(config.Key).Accepted.Value)
	if after > size-2*256*8 {
		t.Fatalf("the spec's value takes %d bytes, and took %d before its pages were sealed", after, size)
	}
	for _, name := range names {
		for _, index := range []int{0, 3, 255, 256, 511, 512, 700, 800} {
			if kind := house.again(name, taken[index]); kind != errkind.None {
				t.Errorf("the repeat of %d at %s: %v", index, name, kind)
			}
			if kind := house.again(name, patchOn(taken[index].Match, newest+9, "rival")); kind != errkind.StaleSpec {
				t.Errorf("the rival of %d at %s: %v", index, name, kind)
			}
		}
	}
	house.messages = 0
	house.order("c", taken[800])
	recent := house.messages
	house.messages = 0
	house.order("c", taken[3])
	t.Logf("bytes of the value: %d, then %d; a look-up takes %d messages, an old one %d", size, after, recent, house.messages)
}

// TestNoOldAnswerWithoutAMajority has a page that can't be read.
func TestNoOldAnswerWithoutAMajority(t *testing.T) {
	house := newHouse(t)
	taken := house.plant()
	newest := taken[len(taken)-1].Serial()
	house.order("a", patchOn(newest, newest+1, "x"))
	house.desks["a"].Sweep(house.scope)
	house.order("a", patchOn(newest+1, newest+2, "y"))
	// The spec is confirmed with three messages; all after them are lost.
	left := 2 * len(names)
	house.lose = func() bool { left--; return left < 0 }
	if kind := house.order("a", taken[3]); kind != errkind.Unsettled {
		t.Fatalf("%v", kind)
	}
	house.lose = func() bool { return true }
	for _, change := range []store.Change{taken[3], taken[800], patchOn(3, newest+9, "rival")} {
		if kind := house.order("a", change); kind != errkind.Unsettled {
			t.Fatalf("%v", kind)
		}
	}
}

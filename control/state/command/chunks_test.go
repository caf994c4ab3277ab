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

// propertyRun is a house with all that was sent to it and what was told.
type propertyRun struct {
	*lossyCluster
	t            *rapid.T
	sent         []store.Change
	decided      map[int]errkind.Kind
	acknowledged map[ids.Serial]int
	latest       ids.Serial
	resultCounts map[errkind.Kind]int
	busy         map[ids.Address]bool
}

func newPropertyRun(t *rapid.T, told map[errkind.Kind]int) *propertyRun {
	made := &propertyRun{
		lossyCluster: newLossyCluster(t), t: t, decided: map[int]errkind.Kind{}, acknowledged: map[ids.Serial]int{},
		resultCounts: told, busy: map[ids.Address]bool{},
	}
	made.sent = append(made.sent, made.seedHistory()...)
	for index, change := range made.sent {
		made.decided[index], made.acknowledged[change.BaseVersion] = errkind.None, index
	}
	made.latest = made.sent[len(made.sent)-1].Version()
	made.dropMessage = func() bool { return rapid.IntRange(0, 15).Draw(t, "loss") == 0 }
	made.inTransit = func() {
		if len(made.busy) == 1 && rapid.IntRange(0, 9).Draw(t, "meanwhile") == 0 {
			made.step()
		}
	}
	return made
}

// step has one controller, which is not at work yet, sweep or get an order: a
// new one, a rival on any version, or a repeat of one that may be under way.
func (p *propertyRun) step() {
	name := rapid.SampledFrom(names).Draw(p.t, "controller")
	if p.busy[name] {
		return
	}
	p.busy[name] = true
	defer delete(p.busy, name)
	index := len(p.sent)
	switch rapid.IntRange(0, 4).Draw(p.t, "act") {
	case 0:
		p.dispatchers[name].Reconcile(p.ctx)
		return
	case 1:
		p.sent = append(p.sent, patchChange(p.latest, p.latest+3, fmt.Sprint(index)))
	case 2:
		rivalled := rapid.SampledFrom(p.sent).Draw(p.t, "rival").BaseVersion
		p.sent = append(p.sent, patchChange(rivalled, p.latest+5, fmt.Sprint(index)))
	case 3:
		index = rapid.IntRange(max(0, index-5), index-1).Draw(p.t, "repeat")
	default:
		index = rapid.IntRange(0, index-1).Draw(p.t, "repeat")
	}
	p.check(index, p.dispatchChange(name, p.sent[index]))
}

// check holds an answer against all that was told before.
func (p *propertyRun) check(index int, kind errkind.Kind) {
	p.resultCounts[kind]++
	if kind == errkind.NoQuorum {
		return
	}
	change := p.sent[index]
	if before, decided := p.decided[index]; decided && before != kind {
		p.t.Fatalf("order %d on version %d: %v, and before %v", index, change.BaseVersion, kind, before)
	}
	p.decided[index] = kind
	if kind != errkind.None {
		return
	}
	if other, taken := p.acknowledged[change.BaseVersion]; taken && other != index {
		p.t.Fatalf("orders %d and %d were both acknowledged on version %d", other, index, change.BaseVersion)
	}
	p.acknowledged[change.BaseVersion] = index
	p.latest = max(p.latest, change.Version())
}

// TestDispatch_repeatsAtAnyController has three controllers take the spec over from each
// other, with messages and answers lost, and orders that arrive at one while
// another is at work on the same: what was acknowledged is never refused when it
// comes again, old or new, and no two are acknowledged on one version.
func TestDispatch_repeatsAtAnyController(t *testing.T) {
	told, dropped := map[errkind.Kind]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		trial := newPropertyRun(t, told)
		for range 60 {
			trial.step()
		}
		if kept, _ := store.DecodeCompressed(trial.acceptors["a"].Slot(config.Key).Accepted.Value); kept.History.Offset > 0 {
			dropped++
		}
	})
	t.Logf("answers: %v; in %d cases changes had gone to pages", told, dropped)
	if dropped < 30 {
		t.Error("too few cases had pages")
	}
	for _, kind := range []errkind.Kind{errkind.None, errkind.VersionConflict, errkind.NoQuorum} {
		if told[kind] < 100 {
			t.Errorf("only %d answers were %v", told[kind], kind)
		}
	}
	if told[errkind.OutcomeExpired] > 0 {
		t.Errorf("%d orders were forgotten", told[errkind.OutcomeExpired])
	}
}

// TestReconcile_ownerSealsChunks has one owner write the pages, and the
// next one drop what they hold; an old repeat costs one more key to read.
func TestReconcile_ownerSealsChunks(t *testing.T) {
	house := newLossyCluster(t)
	taken := house.seedHistory()
	newest := taken[len(taken)-1].Version()
	if kind := house.dispatchChange("a", patchChange(newest, newest+1, "x")); kind != errkind.None {
		t.Fatal(kind)
	}
	house.dispatchers["b"].sealChunks(house.ctx)
	if pages := house.countChunks("c"); pages != 0 {
		t.Fatalf("%d pages were written by one who does not own the spec", pages)
	}
	house.dispatchers["a"].sealChunks(house.ctx)
	size := len(house.acceptors["c"].Slot(config.Key).Accepted.Value)
	if pages := house.countChunks("c"); pages != 2 {
		t.Fatalf("%d pages", pages)
	}
	// The next owner seals the same again, and finds it done.
	if kind := house.dispatchChange("b", patchChange(newest+1, newest+2, "y")); kind != errkind.None {
		t.Fatal(kind)
	}
	house.dispatchers["b"].sealChunks(house.ctx)
	if kind := house.dispatchChange("b", patchChange(newest+2, newest+3, "z")); kind != errkind.None {
		t.Fatal(kind)
	}
	after := len(house.acceptors["c"].Slot(config.Key).Accepted.Value)
	if after > size-2*256*8 {
		t.Fatalf("the spec's value takes %d bytes, and took %d before its pages were sealed", after, size)
	}
	for _, name := range names {
		for _, index := range []int{0, 3, 255, 256, 511, 512, 700, 800} {
			if kind := house.dispatchUntilDecided(name, taken[index]); kind != errkind.None {
				t.Errorf("the repeat of %d at %s: %v", index, name, kind)
			}
			if kind := house.dispatchUntilDecided(name, patchChange(taken[index].BaseVersion, newest+9, "rival")); kind != errkind.VersionConflict {
				t.Errorf("the rival of %d at %s: %v", index, name, kind)
			}
		}
	}
	house.messages = 0
	house.dispatchChange("c", taken[800])
	recent := house.messages
	house.messages = 0
	house.dispatchChange("c", taken[3])
	t.Logf("bytes of the value: %d, then %d; a look-up takes %d messages, an old one %d", size, after, recent, house.messages)
}

// TestDispatch_oldRepeatNeedsMajority has a page that can't be read.
func TestDispatch_oldRepeatNeedsMajority(t *testing.T) {
	house := newLossyCluster(t)
	taken := house.seedHistory()
	newest := taken[len(taken)-1].Version()
	house.dispatchChange("a", patchChange(newest, newest+1, "x"))
	house.dispatchers["a"].Reconcile(house.ctx)
	house.dispatchChange("a", patchChange(newest+1, newest+2, "y"))
	// The spec is confirmed with three messages; all after them are lost.
	left := 2 * len(names)
	house.dropMessage = func() bool { left--; return left < 0 }
	if kind := house.dispatchChange("a", taken[3]); kind != errkind.NoQuorum {
		t.Fatalf("%v", kind)
	}
	house.dropMessage = func() bool { return true }
	for _, change := range []store.Change{taken[3], taken[800], patchChange(3, newest+9, "rival")} {
		if kind := house.dispatchChange("a", change); kind != errkind.NoQuorum {
			t.Fatalf("%v", kind)
		}
	}
}

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

// propertyRun is a lossy cluster with all changes that were sent to it, and their
// results.
type propertyRun struct {
	*lossyCluster
	t    *rapid.T
	sent []store.Change
	// decidedKinds holds the known outcome of each sent change, by the index of the
	// change. acknowledged holds, by base version, the index of the change that was
	// acknowledged on it.
	decidedKinds map[int]errkind.Kind
	acknowledged map[ids.Version]int
	latest       ids.Version
	resultCounts map[errkind.Kind]int
	// busy holds the controllers whose step is in progress.
	busy map[ids.Address]bool
}

func newPropertyRun(t *rapid.T, resultCounts map[errkind.Kind]int) *propertyRun {
	p := &propertyRun{
		lossyCluster: newLossyCluster(t), t: t, decidedKinds: map[int]errkind.Kind{}, acknowledged: map[ids.Version]int{},
		resultCounts: resultCounts, busy: map[ids.Address]bool{},
	}
	p.sent = append(p.sent, p.seedHistory()...)
	for index, change := range p.sent {
		p.decidedKinds[index], p.acknowledged[change.BaseVersion] = errkind.None, index
	}
	p.latest = p.sent[len(p.sent)-1].Version()
	p.dropMessage = func() bool { return rapid.IntRange(0, 15).Draw(t, "loss") == 0 }
	p.inTransit = func() {
		if len(p.busy) == 1 && rapid.IntRange(0, 9).Draw(t, "meanwhile") == 0 {
			p.step()
		}
	}
	return p
}

// step has one idle controller reconcile or dispatch a change: a new change, a
// conflicting one on any base version, or a repeat of one that may be in flight.
func (p *propertyRun) step() {
	name := rapid.SampledFrom(controllerNames).Draw(p.t, "controller")
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
		base := rapid.SampledFrom(p.sent).Draw(p.t, "rival").BaseVersion
		p.sent = append(p.sent, patchChange(base, p.latest+5, fmt.Sprint(index)))
	case 3:
		index = rapid.IntRange(max(0, index-5), index-1).Draw(p.t, "repeat")
	default:
		index = rapid.IntRange(0, index-1).Draw(p.t, "repeat")
	}
	p.check(index, p.dispatchChange(name, p.sent[index]))
}

// check compares a result with all earlier results.
func (p *propertyRun) check(index int, kind errkind.Kind) {
	p.resultCounts[kind]++
	if kind == errkind.NoQuorum {
		return
	}
	change := p.sent[index]
	if before, decided := p.decidedKinds[index]; decided && before != kind {
		p.t.Fatalf("change %d on version %d: got %v, and %v earlier", index, change.BaseVersion, kind, before)
	}
	p.decidedKinds[index] = kind
	if kind != errkind.None {
		return
	}
	if other, found := p.acknowledged[change.BaseVersion]; found && other != index {
		p.t.Fatalf("changes %d and %d were both acknowledged on version %d", other, index, change.BaseVersion)
	}
	p.acknowledged[change.BaseVersion] = index
	p.latest = max(p.latest, change.Version())
}

// TestDispatch_repeatsAtAnyController guards against two faults: a change that was
// acknowledged is refused when it is repeated, and two changes are acknowledged on one
// base version. Three controllers take over the configuration from each other while
// requests and responses are lost, and while changes arrive at one controller during
// the execution of others at another.
func TestDispatch_repeatsAtAnyController(t *testing.T) {
	results, truncated := map[errkind.Kind]int{}, 0
	rapid.Check(t, func(t *rapid.T) {
		run := newPropertyRun(t, results)
		for range 60 {
			run.step()
		}
		if record, _ := store.DecodeCompressed(run.acceptors["a"].Slot(config.Key).Accepted.Value); record.History.Offset > 0 {
			truncated++
		}
	})
	t.Logf("results: %v; in %d runs the history was truncated to chunks", results, truncated)
	if truncated < 30 {
		t.Error("too few runs truncated the history")
	}
	for _, kind := range []errkind.Kind{errkind.None, errkind.VersionConflict, errkind.NoQuorum} {
		if results[kind] < 100 {
			t.Errorf("only %d results were %v", results[kind], kind)
		}
	}
	if results[errkind.OutcomeExpired] > 0 {
		t.Errorf("%d outcomes expired", results[errkind.OutcomeExpired])
	}
}

// TestReconcile_ownerSealsChunks has one owner write the chunks, and the next owner
// remove their entries from the record. Repeats and conflicting changes must still be
// recognized, although an old one requires reading one more key.
func TestReconcile_ownerSealsChunks(t *testing.T) {
	c := newLossyCluster(t)
	changes := c.seedHistory()
	newest := changes[len(changes)-1].Version()
	if kind := c.dispatchChange("a", patchChange(newest, newest+1, "x")); kind != errkind.None {
		t.Fatal(kind)
	}
	c.dispatchers["b"].sealChunks(c.ctx)
	if chunks := c.countChunks("c"); chunks != 0 {
		t.Fatalf("%d chunks were written by a controller that does not own the configuration", chunks)
	}
	c.dispatchers["a"].sealChunks(c.ctx)
	size := len(c.acceptors["c"].Slot(config.Key).Accepted.Value)
	if chunks := c.countChunks("c"); chunks != 2 {
		t.Fatalf("the owner wrote %d chunks, want 2", chunks)
	}
	// The next owner seals the same chunks again, and finds them already written.
	if kind := c.dispatchChange("b", patchChange(newest+1, newest+2, "y")); kind != errkind.None {
		t.Fatal(kind)
	}
	c.dispatchers["b"].sealChunks(c.ctx)
	if kind := c.dispatchChange("b", patchChange(newest+2, newest+3, "z")); kind != errkind.None {
		t.Fatal(kind)
	}
	after := len(c.acceptors["c"].Slot(config.Key).Accepted.Value)
	if after > size-2*256*8 {
		t.Fatalf("the record has %d bytes, and had %d before its chunks were sealed", after, size)
	}
	for _, name := range controllerNames {
		for _, index := range []int{0, 3, 255, 256, 511, 512, 700, 800} {
			if kind := c.dispatchUntilDecided(name, changes[index]); kind != errkind.None {
				t.Errorf("repeat of %d at %s: %v", index, name, kind)
			}
			if kind := c.dispatchUntilDecided(name, patchChange(changes[index].BaseVersion, newest+9, "rival")); kind != errkind.VersionConflict {
				t.Errorf("rival of %d at %s: %v", index, name, kind)
			}
		}
	}
	c.messages = 0
	c.dispatchChange("c", changes[800])
	recent := c.messages
	c.messages = 0
	c.dispatchChange("c", changes[3])
	t.Logf("record bytes: %d, then %d; messages of a recent repeat: %d, of an old one: %d", size, after, recent, c.messages)
}

// TestDispatch_oldRepeatNeedsMajority repeats changes while messages are lost. Without
// a majority for the configuration or for the chunk, the outcome must be unknown.
func TestDispatch_oldRepeatNeedsMajority(t *testing.T) {
	c := newLossyCluster(t)
	changes := c.seedHistory()
	newest := changes[len(changes)-1].Version()
	c.dispatchChange("a", patchChange(newest, newest+1, "x"))
	c.dispatchers["a"].Reconcile(c.ctx)
	c.dispatchChange("a", patchChange(newest+1, newest+2, "y"))
	// The three requests that confirm the configuration and their responses are
	// delivered; all later messages, which would read the chunk, are lost.
	left := 2 * len(controllerNames)
	c.dropMessage = func() bool { left--; return left < 0 }
	if kind := c.dispatchChange("a", changes[3]); kind != errkind.NoQuorum {
		t.Fatalf("repeat without the chunk: got %v, want NoQuorum", kind)
	}
	c.dropMessage = func() bool { return true }
	for _, change := range []store.Change{changes[3], changes[800], patchChange(3, newest+9, "rival")} {
		if kind := c.dispatchChange("a", change); kind != errkind.NoQuorum {
			t.Fatalf("%v", kind)
		}
	}
}

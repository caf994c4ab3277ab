package store

import (
	"encoding/json"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// failing is what tests, benchmarks and properties have in common.
type failing interface {
	Helper()
	Fatalf(format string, values ...any)
}

// chain is a spec that many changes were made to, with its pages as a register
// would hold them.
type chain struct {
	t     failing
	value []byte
	taken []Change
	pages map[string][]byte
	// sealed is how many changes the pages hold.
	sealed int64
}

func newChain(t failing) *chain {
	made := &chain{t: t, pages: map[string][]byte{}}
	made.take(Change{Whole: true, Body: []byte(good)})
	return made
}

func (c *chain) take(change Change) {
	c.t.Helper()
	next, err := change.After(c.sealed)(c.value)
	if err != nil || next == nil {
		c.t.Fatalf("change %d was not taken: %v", len(c.taken), err)
	}
	c.value, c.taken = next, append(c.taken, change)
}

func patchOn(match ids.Serial, serial ids.Serial, mark int) Change {
	body, _ := json.Marshal(map[string]any{"config_version": serial, "mark": mark})
	return Change{Match: match, Body: body}
}

// grow takes so many changes with uneven rises. All but the last two are put
// into the memory as a step does it, without reading the documents.
func (c *chain) grow(count int) {
	c.t.Helper()
	kept, err := Travelling(c.value)
	for range count - 2 {
		change := patchOn(kept.Serial, kept.Serial+1+ids.Serial(len(c.taken)%5), 0)
		kept.Serial = change.Serial()
		kept.Memory.add(kept.Serial-change.Match, change.digest())
		kept.Memory.drop(c.sealed)
		c.taken = append(c.taken, change)
	}
	if c.value, _ = transport.Pack(kept); err != nil {
		c.t.Fatalf("%v", err)
	}
	for range min(count, 2) {
		kept, _ = Travelling(c.value)
		c.take(patchOn(kept.Serial, kept.Serial+1+ids.Serial(len(c.taken)%5), 0))
	}
}

// seal writes the pages that are due.
func (c *chain) seal() {
	for {
		kept, _ := Travelling(c.value)
		page, due := kept.Memory.Due(c.sealed)
		if !due {
			return
		}
		next, err := page.Step(c.pages[page.Key()])
		if err != nil || next == nil {
			c.t.Fatalf("page %d: %v", page.Index, err)
		}
		c.pages[page.Key()], c.sealed = next, page.Sealed()
	}
}

// ask gives what becomes of an order that is sent now: None where it counts as
// taken before, and nothing may change.
func (c *chain) ask(change Change) errkind.Kind {
	next, err := change.After(c.sealed)(c.value)
	if beyond, found := err.(*Beyond); found {
		err = beyond.Judge(c.pages[beyond.Key()])
	}
	if next != nil {
		c.t.Fatalf("an order on version %d was taken anew", change.Match)
	}
	return errkind.KindOf(err)
}

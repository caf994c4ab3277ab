package simdisk

import (
	"bytes"
	"maps"
	"slices"
)

// content is a file's bytes: as a process sees them, as the last sync covered
// them, and the changes between the two.
type content struct {
	now    []byte
	synced []byte
	loose  []change
}

// change is a write at an offset, or a cut to a length.
type change struct {
	cut    bool
	offset int64
	bytes  []byte
}

func (c *content) do(done change) {
	c.now = done.in(c.now)
	c.loose = append(c.loose, done)
}

// in gives bytes with the change; what lies between is NUL.
func (c change) in(old []byte) []byte {
	if c.cut {
		return resize(old, c.offset)
	}
	if end := c.offset + int64(len(c.bytes)); end > int64(len(old)) {
		old = resize(old, end)
	}
	copy(old[c.offset:], c.bytes)
	return old
}

func resize(old []byte, length int64) []byte {
	if length <= int64(len(old)) {
		return old[:length]
	}
	return append(old, make([]byte, length-int64(len(old)))...)
}

// nameStep gives a name to a file, or takes it away where content is nil.
type nameStep struct {
	name    string
	content *content
}

func (n nameStep) in(names map[string]*content) {
	if n.content == nil {
		delete(names, n.name)
		return
	}
	names[n.name] = n.content
}

func (d *Disk) step(step nameStep) {
	step.in(d.names)
	d.loose = append(d.loose, step)
}

// LosePower ends the process and drops what no sync covered: at one loss in
// four all of it, else each change of a file's bytes, its length and each name
// that was made, renamed or removed by itself. A renamed file's old and new
// name count as two.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	all := d.options.Draw(4)
	for _, step := range d.loose {
		if !all && d.options.Draw(2) {
			step.in(d.lasting)
		}
	}
	d.loose = nil
	d.names = map[string]*content{}
	for _, name := range sorted(d.lasting) {
		found := d.lasting[name]
		for _, change := range found.loose {
			if !all {
				found.synced = d.outcome(change, found.synced)
			}
		}
		found.loose = nil
		found.now = bytes.Clone(found.synced)
		d.names[name] = found
	}
}

// outcome gives bytes with what is left of an unsynced change.
func (d *Disk) outcome(change change, old []byte) []byte {
	size := len(change.bytes)
	switch {
	case d.options.Draw(3):
		// Missing, but the file may have grown by then.
		if end := change.offset + int64(size); !change.cut && end > int64(len(old)) && d.options.Draw(2) {
			return resize(old, end)
		}
		return old
	case !change.cut && size > 0 && d.options.Draw(2):
		from, to := d.pick(size+1), d.pick(size+1)
		if from > to {
			from, to = to, from
		}
		if d.options.Draw(2) {
			from = 0
		}
		change.offset, change.bytes = change.offset+int64(from), change.bytes[from:to]
		return change.in(old)
	default:
		return change.in(old)
	}
}

func sorted(names map[string]*content) []string {
	return slices.Sorted(maps.Keys(names))
}

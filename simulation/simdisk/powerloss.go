package simdisk

import (
	"bytes"
	"maps"
	"slices"
)

// fileContent is a file's bytes: as a process sees them, as the last sync covered
// them, and the changes between the two.
type fileContent struct {
	current  []byte
	synced   []byte
	unsynced []change
}

// change is a write at an offset, or a cut to a length.
type change struct {
	truncate bool
	offset   int64
	bytes    []byte
}

func (f *fileContent) apply(done change) {
	f.current = done.applyTo(f.current)
	f.unsynced = append(f.unsynced, done)
}

// applyTo gives bytes with the change; what lies between is NUL.
func (c change) applyTo(old []byte) []byte {
	if c.truncate {
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

// nameChange gives a name to a file, or takes it away where content is nil.
type nameChange struct {
	name    string
	content *fileContent
}

func (n nameChange) applyTo(names map[string]*fileContent) {
	if n.content == nil {
		delete(names, n.name)
		return
	}
	names[n.name] = n.content
}

func (d *Disk) changeName(step nameChange) {
	step.applyTo(d.files)
	d.unsynced = append(d.unsynced, step)
}

// LosePower ends the process and drops what no sync covered: at one loss in
// four all of it, else each change of a file's bytes, its length and each name
// that was made, renamed or removed by itself. A renamed file's old and new
// name count as two.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	all := d.options.OneIn(4)
	for _, step := range d.unsynced {
		if !all && d.options.OneIn(2) {
			step.applyTo(d.durable)
		}
	}
	d.unsynced = nil
	d.files = map[string]*fileContent{}
	for _, name := range sortedNames(d.durable) {
		found := d.durable[name]
		for _, change := range found.unsynced {
			if !all {
				found.synced = d.afterPowerLoss(change, found.synced)
			}
		}
		found.unsynced = nil
		found.current = bytes.Clone(found.synced)
		d.files[name] = found
	}
}

// afterPowerLoss gives bytes with what is left of an unsynced change.
func (d *Disk) afterPowerLoss(change change, old []byte) []byte {
	size := len(change.bytes)
	switch {
	case d.options.OneIn(3):
		// Missing, but the file may have grown by then.
		if end := change.offset + int64(size); !change.truncate && end > int64(len(old)) && d.options.OneIn(2) {
			return resize(old, end)
		}
		return old
	case !change.truncate && size > 0 && d.options.OneIn(2):
		from, to := d.drawBelow(size+1), d.drawBelow(size+1)
		if from > to {
			from, to = to, from
		}
		if d.options.OneIn(2) {
			from = 0
		}
		change.offset, change.bytes = change.offset+int64(from), change.bytes[from:to]
		return change.applyTo(old)
	default:
		return change.applyTo(old)
	}
}

func sortedNames(names map[string]*fileContent) []string {
	return slices.Sorted(maps.Keys(names))
}

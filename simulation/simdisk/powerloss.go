package simdisk

import (
	"bytes"
	"maps"
	"slices"
)

// fileContent is what a file holds: as processes see it, as the last sync covered
// it, and the changes between the two.
type fileContent struct {
	current  []byte
	synced   []byte
	unsynced []change
}

// change is a write at an offset, or a cut to the length offset.
type change struct {
	truncate bool
	offset   int64
	bytes    []byte
}

func (f *fileContent) apply(made change) {
	f.current = made.applyTo(f.current)
	f.unsynced = append(f.unsynced, made)
}

// applyTo returns a body with the change; a gap is filled with zeros.
func (c change) applyTo(body []byte) []byte {
	if c.truncate {
		return resize(body, c.offset)
	}
	if end := c.offset + int64(len(c.bytes)); end > int64(len(body)) {
		body = resize(body, end)
	}
	copy(body[c.offset:], c.bytes)
	return body
}

func resize(body []byte, length int64) []byte {
	if length <= int64(len(body)) {
		return body[:length]
	}
	return append(body, make([]byte, length-int64(len(body)))...)
}

// nameChange gives a name to a file, or removes the name if content is nil.
type nameChange struct {
	name    string
	content *fileContent
}

func (n nameChange) applyTo(files map[string]*fileContent) {
	if n.content == nil {
		delete(files, n.name)
		return
	}
	files[n.name] = n.content
}

func (d *Disk) changeName(change nameChange) {
	change.applyTo(d.files)
	d.unsynced = append(d.unsynced, change)
}

// LosePower ends the process and loses what no sync covered: in one case of four
// all of it, else each write, truncation and change of a name on its own. The old
// and the new name of a renamed file are two changes.
func (d *Disk) LosePower() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	loseAll := d.options.OneIn(4)
	for _, change := range d.unsynced {
		if !loseAll && d.options.OneIn(2) {
			change.applyTo(d.durable)
		}
	}
	d.unsynced = nil
	d.files = map[string]*fileContent{}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		content := d.durable[name]
		for _, change := range content.unsynced {
			if !loseAll {
				content.synced = d.afterPowerLoss(change, content.synced)
			}
		}
		content.unsynced = nil
		content.current = bytes.Clone(content.synced)
		d.files[name] = content
	}
}

// afterPowerLoss returns a body with what is left of an unsynced change: nothing,
// the length alone, a part, or all.
func (d *Disk) afterPowerLoss(change change, body []byte) []byte {
	size := len(change.bytes)
	switch {
	case d.options.OneIn(3):
		if end := change.offset + int64(size); !change.truncate && end > int64(len(body)) && d.options.OneIn(2) {
			return resize(body, end)
		}
		return body
	case !change.truncate && size > 0 && d.options.OneIn(2):
		from, to := d.drawBelow(size+1), d.drawBelow(size+1)
		if from > to {
			from, to = to, from
		}
		if d.options.OneIn(2) {
			from = 0
		}
		change.offset, change.bytes = change.offset+int64(from), change.bytes[from:to]
		return change.applyTo(body)
	default:
		return change.applyTo(body)
	}
}

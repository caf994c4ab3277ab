package disk

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

func (content *content) do(done change) {
	content.now = done.in(content.now)
	content.loose = append(content.loose, done)
}

// in gives bytes with the change; what lies between is NUL.
func (change change) in(old []byte) []byte {
	if change.cut {
		return resize(old, change.offset)
	}
	if end := change.offset + int64(len(change.bytes)); end > int64(len(old)) {
		old = resize(old, end)
	}
	copy(old[change.offset:], change.bytes)
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

func (step nameStep) in(names map[string]*content) {
	if step.content == nil {
		delete(names, step.name)
		return
	}
	names[step.name] = step.content
}

func (disk *Disk) step(step nameStep) {
	step.in(disk.names)
	disk.loose = append(disk.loose, step)
}

// LosePower ends the process and drops what no sync covered: at one loss in
// four all of it, else each change of a file's bytes, its length and each name
// that was made, renamed or removed by itself. A renamed file's old and new
// name count as two.
func (disk *Disk) LosePower() {
	disk.lock.Lock()
	defer disk.lock.Unlock()
	disk.life++
	all := disk.options.Draw(4)
	for _, step := range disk.loose {
		if !all && disk.options.Draw(2) {
			step.in(disk.lasting)
		}
	}
	disk.loose = nil
	disk.names = map[string]*content{}
	for _, name := range sorted(disk.lasting) {
		found := disk.lasting[name]
		for _, change := range found.loose {
			if !all {
				found.synced = disk.outcome(change, found.synced)
			}
		}
		found.loose = nil
		found.now = bytes.Clone(found.synced)
		disk.names[name] = found
	}
}

// outcome gives bytes with what is left of an unsynced change.
func (disk *Disk) outcome(change change, old []byte) []byte {
	size := len(change.bytes)
	switch {
	case disk.options.Draw(3):
		// Missing, but the file may have grown by then.
		if end := change.offset + int64(size); !change.cut && end > int64(len(old)) && disk.options.Draw(2) {
			return resize(old, end)
		}
		return old
	case !change.cut && size > 0 && disk.options.Draw(2):
		from, to := disk.pick(size+1), disk.pick(size+1)
		if from > to {
			from, to = to, from
		}
		if disk.options.Draw(2) {
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

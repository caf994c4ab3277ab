// Package simdisk simulates the disk of a machine for journal.Disk: what no sync
// covered, bytes and names alike, is kept, lost or torn by itself when the
// power goes. It has no time and no chance of its own: both are its caller's.
package simdisk

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"sync"
	"syscall"

	"onyxwell/control/state/wal"
)

// Faults of a simulated disk.
var (
	// ErrDead is told to a process that was killed or lost its power.
	ErrDead = errors.New("disk: the process is dead")
	// ErrFull is told to a write that goes beyond Options.Limit.
	ErrFull = fmt.Errorf("disk: %w", syscall.ENOSPC)
	// ErrMissing is told to who names a file that is not there.
	ErrMissing = errors.New("disk: no such file")
)

// Acts that Options.Pause is told of.
const (
	ActRead   = "read"
	ActCreate = "create"
	ActAppend = "append"
	ActWrite  = "write"
	ActSync   = "sync"
	ActRename = "rename"
	ActRemove = "remove"
	ActFolder = "folder"
)

// Options are what a disk is made with.
type Options struct {
	// Draw is true once in so many; all chance comes from it. It is asked with
	// the disk locked.
	Draw func(odds int) bool
	// Pause is called, with the disk unlocked, before an act takes effect, with
	// the bytes that it moves. It may block as long as the disk takes. After an
	// error the act has not happened; a write or a sync may have, or in part.
	Pause func(act string, bytes int) error
	// Limit is how many bytes the disk holds; 0 is no limit.
	Limit int64
}

// Disk is the disk of one machine; it outlives the machine's processes.
type Disk struct {
	mu      sync.Mutex
	options Options
	life    int64
	// names are as a process sees them, lasting as the next start after a loss
	// of power would at least find them; loose are the steps between the two.
	names   map[string]*content
	lasting map[string]*content
	loose   []nameStep
	written int64
}

// New makes an empty disk.
func New(options Options) *Disk {
	if options.Draw == nil {
		options.Draw = func(int) bool { return false }
	}
	if options.Pause == nil {
		options.Pause = func(string, int) error { return nil }
	}
	return &Disk{options: options, names: map[string]*content{}, lasting: map[string]*content{}}
}

// Mount gives a process its view of the disk, which dies with the process: all
// its acts, and those of the files it opened, return ErrDead after a Kill,
// LosePower or Wipe, also those that were under way.
func (d *Disk) Mount() wal.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &mount{disk: d, life: d.life}
}

// Kill ends the process; all that it wrote stays, synced or not.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
}

// Wipe loses the disk: the next process finds an empty one.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.life++
	d.names, d.lasting, d.loose = map[string]*content{}, map[string]*content{}, nil
}

// Bytes gives the size of a file as a process sees it; 0 for a missing one.
func (d *Disk) Bytes(name string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if found := d.names[name]; found != nil {
		return int64(len(found.now))
	}
	return 0
}

// Written gives the bytes that all processes wrote so far.
func (d *Disk) Written() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

// Spoil flips a bit of a byte in the synced part of a file and tells where; -1
// if the file has no such part.
func (d *Disk) Spoil(name string) int64 { return d.SpoilWithin(name, math.MaxInt) }

// SpoilWithin is Spoil for the first bytes of a file.
func (d *Disk) SpoilWithin(name string, length int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.names[name]
	if found == nil {
		return -1
	}
	length = min(length, len(found.synced), len(found.now))
	if length <= 0 {
		return -1
	}
	at := d.pick(length)
	found.synced[at] ^= 0x10
	found.now[at] ^= 0x10
	return int64(at)
}

// act waits for the disk and locks it; the caller unlocks it where the act may
// take effect. Partly tells that it failed but may have taken effect.
func (d *Disk) act(life int64, act string, bytes int) (partly bool, err error) {
	err = d.options.Pause(act, bytes)
	d.mu.Lock()
	if d.life != life {
		d.mu.Unlock()
		return false, ErrDead
	}
	if err != nil && (act != ActWrite && act != ActSync || d.options.Draw(2)) {
		d.mu.Unlock()
		return false, fmt.Errorf("disk: %w", err)
	}
	return err != nil, err
}

// pick draws a number from 0 up to, not including, the bound.
func (d *Disk) pick(bound int) int {
	low, high := 0, bound
	for high-low > 1 {
		middle := low + (high-low)/2
		if d.options.Draw(2) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (d *Disk) used() int64 {
	used := int64(0)
	for _, found := range d.names {
		used += int64(len(found.now))
	}
	return used
}

// Put places a whole synced file, as a process of another build may have left it.
func (d *Disk) Put(name string, synced []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := &content{now: bytes.Clone(synced), synced: bytes.Clone(synced)}
	d.names[name], d.lasting[name] = file, file
}

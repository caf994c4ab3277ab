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
	// ErrProcessDead is told to a process that was killed or lost its power.
	ErrProcessDead = errors.New("disk: the process is dead")
	// ErrFull is told to a write that goes beyond Options.Limit.
	ErrFull = fmt.Errorf("disk: %w", syscall.ENOSPC)
	// ErrNotExist is told to who names a file that is not there.
	ErrNotExist = errors.New("disk: no such file")
)

// Acts that Options.Pause is told of.
const (
	OpRead       = "read"
	OpCreate     = "create"
	OpAppend     = "append"
	OpWrite      = "write"
	OpSync       = "sync"
	OpRename     = "rename"
	OpRemove     = "remove"
	OpSyncFolder = "folder"
)

// Options are what a disk is made with.
type Options struct {
	// OneIn is true once in so many; all chance comes from it. It is asked with
	// the disk locked.
	OneIn func(odds int) bool
	// Delay is called, with the disk unlocked, before an act takes effect, with
	// the bytes that it moves. It may block as long as the disk takes. After an
	// error the act has not happened; a write or a sync may have, or in part.
	Delay func(act string, bytes int) error
	// Capacity is how many bytes the disk holds; 0 is no limit.
	Capacity int64
}

// Disk is the disk of one machine; it outlives the machine's processes.
type Disk struct {
	mu         sync.Mutex
	options    Options
	generation int64
	// files are as a process sees them, lasting as the next start after a loss
	// of power would at least find them; loose are the steps between the two.
	files        map[string]*fileContent
	durable      map[string]*fileContent
	unsynced     []nameChange
	bytesWritten int64
}

// New makes an empty disk.
func New(options Options) *Disk {
	if options.OneIn == nil {
		options.OneIn = func(int) bool { return false }
	}
	if options.Delay == nil {
		options.Delay = func(string, int) error { return nil }
	}
	return &Disk{options: options, files: map[string]*fileContent{}, durable: map[string]*fileContent{}}
}

// Mount gives a process its view of the disk, which dies with the process: all
// its acts, and those of the files it opened, return ErrProcessDead after a Kill,
// LosePower or Wipe, also those that were under way.
func (d *Disk) Mount() wal.FS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &mount{disk: d, generation: d.generation}
}

// Kill ends the process; all that it wrote stays, synced or not.
func (d *Disk) Kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
}

// Wipe loses the disk: the next process finds an empty one.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.files, d.durable, d.unsynced = map[string]*fileContent{}, map[string]*fileContent{}, nil
}

// Size gives the size of a file as a process sees it; 0 for a missing one.
func (d *Disk) Size(name string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if found := d.files[name]; found != nil {
		return int64(len(found.current))
	}
	return 0
}

// BytesWritten gives the bytes that all processes wrote so far.
func (d *Disk) BytesWritten() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytesWritten
}

// FlipBit flips a bit of a byte in the synced part of a file and tells where; -1
// if the file has no such part.
func (d *Disk) FlipBit(name string) int64 { return d.FlipBitWithin(name, math.MaxInt) }

// FlipBitWithin is Spoil for the first bytes of a file.
func (d *Disk) FlipBitWithin(name string, length int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	found := d.files[name]
	if found == nil {
		return -1
	}
	length = min(length, len(found.synced), len(found.current))
	if length <= 0 {
		return -1
	}
	at := d.drawBelow(length)
	found.synced[at] ^= 0x10
	found.current[at] ^= 0x10
	return int64(at)
}

// begin waits for the disk and locks it; the caller unlocks it where the act may
// take effect. Partly tells that it failed but may have taken effect.
func (d *Disk) begin(life int64, act string, bytes int) (partly bool, err error) {
	err = d.options.Delay(act, bytes)
	d.mu.Lock()
	if d.generation != life {
		d.mu.Unlock()
		return false, ErrProcessDead
	}
	if err != nil && (act != OpWrite && act != OpSync || d.options.OneIn(2)) {
		d.mu.Unlock()
		return false, fmt.Errorf("disk: %w", err)
	}
	return err != nil, err
}

// drawBelow draws a number from 0 up to, not including, the bound.
func (d *Disk) drawBelow(bound int) int {
	low, high := 0, bound
	for high-low > 1 {
		middle := low + (high-low)/2
		if d.options.OneIn(2) {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

func (d *Disk) used() int64 {
	used := int64(0)
	for _, found := range d.files {
		used += int64(len(found.current))
	}
	return used
}

// PutSynced places a whole synced file, as a process of another build may have left it.
func (d *Disk) PutSynced(name string, synced []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	file := &fileContent{current: bytes.Clone(synced), synced: bytes.Clone(synced)}
	d.files[name], d.durable[name] = file, file
}

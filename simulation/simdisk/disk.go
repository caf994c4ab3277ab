// Package simdisk simulates the disk of a machine as a wal.FS. It keeps apart
// what processes wrote and what is durable: at a loss of power each write, length
// and name that no sync covered is kept, lost or torn on its own. The package has
// no clock and no randomness; both are the caller's.
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

// Errors of a simulated disk.
var (
	// ErrProcessDead is returned to a process that was killed or lost its power.
	ErrProcessDead = errors.New("disk: the process is dead")
	// ErrFull is returned for a write beyond Options.Capacity.
	ErrFull = fmt.Errorf("disk: %w", syscall.ENOSPC)
	// ErrNotExist is returned for a file that does not exist.
	ErrNotExist = errors.New("disk: no such file")
)

// Operations that Options.Delay is called for.
const (
	OpRead    = "read"
	OpCreate  = "create"
	OpAppend  = "append"
	OpWrite   = "write"
	OpSync    = "sync"
	OpRename  = "rename"
	OpRemove  = "remove"
	OpSyncDir = "folder"
)

// Options set the randomness, the latency and the size of a disk.
type Options struct {
	// OneIn draws true once in odds calls; all that is random comes from it. It is
	// called with the disk locked. Nil draws false.
	OneIn func(odds int) bool
	// Delay is called before each operation, with the number of bytes that it
	// moves and the disk unlocked, and may block as long as the disk takes. If it
	// returns an error the operation fails and has no effect, but that a write or a
	// sync may have taken effect, a write also in part. Nil delays nothing.
	Delay func(op string, bytes int) error
	// Capacity is how many bytes the disk holds; 0 is no limit.
	Capacity int64
}

// Disk is the disk of a machine; it outlives the machine's processes. It is safe
// for concurrent use.
type Disk struct {
	mu      sync.Mutex
	options Options
	// generation counts the deaths of processes; mounts of earlier ones are dead.
	generation int64
	// files are as processes see them, durable as they are found at least after a
	// loss of power; unsynced are the changes of names between the two.
	files        map[string]*fileContent
	durable      map[string]*fileContent
	unsynced     []nameChange
	bytesWritten int64
}

// New returns an empty disk.
func New(options Options) *Disk {
	if options.OneIn == nil {
		options.OneIn = func(int) bool { return false }
	}
	if options.Delay == nil {
		options.Delay = func(string, int) error { return nil }
	}
	return &Disk{options: options, files: map[string]*fileContent{}, durable: map[string]*fileContent{}}
}

// Mount returns the disk as a process sees it. The mount dies with the process:
// after Kill, LosePower or Wipe all of its operations and those of its files
// return ErrProcessDead, also those in flight.
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

// Wipe ends the process and empties the disk.
func (d *Disk) Wipe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	d.files, d.durable, d.unsynced = map[string]*fileContent{}, map[string]*fileContent{}, nil
}

// Size returns the size of a file as processes see it; 0 if it does not exist.
func (d *Disk) Size(name string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if content := d.files[name]; content != nil {
		return int64(len(content.current))
	}
	return 0
}

// BytesWritten returns how many bytes were written to the disk so far.
func (d *Disk) BytesWritten() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytesWritten
}

// FlipBit flips a bit of a random byte in the synced part of a file and returns
// its offset; -1 if there is no such part.
func (d *Disk) FlipBit(name string) int64 { return d.FlipBitWithin(name, math.MaxInt) }

// FlipBitWithin is FlipBit within the first bytes of a file.
func (d *Disk) FlipBitWithin(name string, length int) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	content := d.files[name]
	if content == nil {
		return -1
	}
	length = min(length, len(content.synced), len(content.current))
	if length <= 0 {
		return -1
	}
	offset := d.drawBelow(length)
	content.synced[offset] ^= 0x10
	content.current[offset] ^= 0x10
	return int64(offset)
}

// PutSynced puts a durable file on the disk, such as another build left.
func (d *Disk) PutSynced(name string, body []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	content := &fileContent{current: bytes.Clone(body), synced: bytes.Clone(body)}
	d.files[name], d.durable[name] = content, content
}

// begin waits for the disk, and locks it if the operation may take effect; the
// caller unlocks it then. That is so without an error, and if partial says that
// the operation fails but may have taken effect.
func (d *Disk) begin(generation int64, op string, bytes int) (partial bool, err error) {
	err = d.options.Delay(op, bytes)
	d.mu.Lock()
	if d.generation != generation {
		d.mu.Unlock()
		return false, ErrProcessDead
	}
	if err != nil && (op != OpWrite && op != OpSync || d.options.OneIn(2)) {
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
	for _, content := range d.files {
		used += int64(len(content.current))
	}
	return used
}

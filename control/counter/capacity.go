package counter

import "onyxwell/base/settings"

const (
	// logDivisor is the part of the disk, one in so many, that the log may take; while it
	// is compacted it is there twice, and a damaged one that was set aside a third time.
	logDivisor = 16
	// diskBytesPerRecord is what a record takes in a compacted log, with a margin for the
	// commits since the last compaction.
	diskBytesPerRecord = 24
	// memoryDivisor is the part of the memory that the state may take, recordBytes what
	// a record takes of it.
	memoryDivisor        = 8
	memoryBytesPerRecord = 112
	// In percent of the capacity: beyond the first the operator is warned, beyond the
	// second adds are refused. The rest is for what others accept meanwhile.
	warnPercent   = 75
	refusePercent = 90
)

// maxLogBytes is how long the log may become.
func maxLogBytes(node *settings.Settings) int64 { return node.Limits.DiskMB << 20 / logDivisor }

// Capacity returns how many records a controller can hold: IDs are remembered forever,
// so the disk and the memory bound them. Without a size of the disk, the memory does.
func Capacity(node *settings.Settings) int {
	capacity := node.Limits.MemoryMB << 20 / memoryDivisor / memoryBytesPerRecord
	if disk := maxLogBytes(node); disk > 0 {
		capacity = min(capacity, disk/diskBytesPerRecord)
	}
	return int(capacity)
}

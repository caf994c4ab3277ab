package counter

import "onyxwell/base/settings"

const (
	// logDivisor limits the log to 1/16 of the disk. A second copy exists during a
	// compaction, and a corrupt log that was quarantined can be a third.
	logDivisor = 16
	// diskBytesPerRecord is the size of a record in a compacted log, with a margin for the
	// commits since the last compaction.
	diskBytesPerRecord = 24
	// memoryDivisor limits the state to 1/8 of the memory, and memoryBytesPerRecord is the
	// size of a record in it.
	memoryDivisor        = 8
	memoryBytesPerRecord = 112
	// warnPercent and refusePercent are the percentages of the capacity at which a warning
	// is logged and at which adds with new IDs are refused. The rest is reserved for
	// records that other controllers still accept.
	warnPercent   = 75
	refusePercent = 90
)

// maxLogBytes returns the maximum length of the log, or 0 if the settings give no size of
// the disk.
func maxLogBytes(node *settings.Settings) int64 { return node.Limits.DiskMB << 20 / logDivisor }

// Capacity returns how many records a controller can hold. IDs are kept forever, so the
// size of the disk and that of the memory limit them, or the memory alone if the settings
// give no size of the disk.
func Capacity(node *settings.Settings) int {
	capacity := node.Limits.MemoryMB << 20 / memoryDivisor / memoryBytesPerRecord
	if disk := maxLogBytes(node); disk > 0 {
		capacity = min(capacity, disk/diskBytesPerRecord)
	}
	return int(capacity)
}

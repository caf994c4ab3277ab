package soak

import (
	"net/http"
	"sync"

	"onyxwell/base/clock"
)

// configChange is a change of the configuration that an operator sent.
type configChange struct {
	// id is named by the marker route of the version that the change makes.
	id string
	// action is why it was sent, for the event log.
	action      string
	method      string
	baseVersion int64
	version     int64
	body        []byte
	// valid says that the change may be acknowledged.
	valid  bool
	sentAt clock.Instant
	// status is that of the clear answer, which came at answeredAt; 0 is none.
	answeredAt clock.Instant
	status     int
}

func (c *configChange) acknowledged() bool { return c.status == http.StatusOK }

// configRead is a read of the configuration: between which instants it was in
// flight, the version it returned, and the id of the change that made it.
type configRead struct {
	start, end clock.Instant
	version    int64
	changeID   string
}

// configHistory records all changes and reads of the configuration. The zero
// value is ready; it is safe for concurrent use.
type configHistory struct {
	mu      sync.Mutex
	changes []*configChange
	reads   []configRead
	latest  int64
}

// recordSent records a change before it is sent.
func (c *configHistory) recordSent(change *configChange, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change.sentAt = now
	c.changes = append(c.changes, change)
}

// recordAnswer records the clear answer to a change; status 0 is none.
func (c *configHistory) recordAnswer(change *configChange, status int, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change.status, change.answeredAt = status, now
	if change.acknowledged() && change.valid {
		c.latest = max(c.latest, change.version)
	}
}

func (c *configHistory) recordRead(read configRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads = append(c.reads, read)
	c.latest = max(c.latest, read.version)
}

// latestVersion returns the highest version that was acknowledged or read.
func (c *configHistory) latestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// fillReport counts the changes by outcome, and the reads.
func (c *configHistory) fillReport(report *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range c.changes {
		switch {
		case change.acknowledged():
			report.Acknowledged++
			report.LongestAck = max(report.LongestAck, change.answeredAt.Since(change.sentAt))
		case change.status != 0:
			report.Rejected++
		default:
			report.Unknown++
		}
	}
	report.Reads = len(c.reads)
}

// findingFunc takes a finding, as recorder.addFinding does.
type findingFunc func(rule string, format string, args ...any)

// check adds a finding for whatever no sequential order of the changes and reads
// explains.
func (c *configHistory) check(add findingFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkChanges(add)
	c.checkReads(add)
}

// checkChanges finds acknowledged changes that are invalid, or that share their
// base or their version with another: compare-and-set lets one of them win.
func (c *configHistory) checkChanges(add findingFunc) {
	byBase, byVersion := map[int64]*configChange{}, map[int64]*configChange{}
	for _, change := range c.changes {
		if !change.acknowledged() {
			continue
		}
		if !change.valid {
			add("CONFIG", "invalid change %s to %d is acknowledged", change.id, change.version)
		}
		if other := byBase[change.baseVersion]; other != nil {
			add("CONFIG", "changes %s and %s, both on version %d, are both acknowledged", other.id, change.id, change.baseVersion)
		}
		if other := byVersion[change.version]; other != nil {
			add("CONFIG", "changes %s and %s, both to version %d, are both acknowledged", other.id, change.id, change.version)
		}
		byBase[change.baseVersion], byVersion[change.version] = change, change
	}
}

// checkReads finds versions that stand for two changes, versions made by an
// invalid change, and stale reads.
func (c *configHistory) checkReads(add findingFunc) {
	madeBy := map[int64]string{}
	valid := map[string]bool{initialID: true}
	for _, change := range c.changes {
		valid[change.id] = change.valid
		if change.acknowledged() {
			madeBy[change.version] = change.id
		}
	}
	for _, read := range c.reads {
		if id, ok := madeBy[read.version]; ok && id != read.changeID {
			add("CONFIG", "version %d is read as made by change %s, and was made by %s", read.version, read.changeID, id)
		}
		madeBy[read.version] = read.changeID
		if !valid[read.changeID] {
			add("CONFIG", "version %d of change %s is in force, which is invalid or unknown", read.version, read.changeID)
		}
		c.checkStale(read, add)
	}
}

// checkStale finds newer versions that were acknowledged or read before the read
// began.
func (c *configHistory) checkStale(read configRead, add findingFunc) {
	for _, change := range c.changes {
		if change.acknowledged() && change.answeredAt.Before(read.start) && change.version > read.version {
			add("STALE", "a read begun %v after the acknowledgement of version %d returns version %d", read.start.Since(change.answeredAt), change.version, read.version)
		}
	}
	for _, earlier := range c.reads {
		if earlier.end.Before(read.start) && earlier.version > read.version {
			add("STALE", "a read begun %v after another had returned version %d returns version %d", read.start.Since(earlier.end), earlier.version, read.version)
		}
	}
}

package soak

import (
	"net/http"
	"sync"

	"onyxwell/base/clock"
)

// configChange is an order on the configuration.
type configChange struct {
	id          string
	action      string
	method      string
	baseVersion int64
	version     int64
	body        []byte
	valid       bool
	sentAt      clock.Instant
	// answeredAt is when the clear answer came; status 0 is none.
	answeredAt clock.Instant
	status     int
}

func (c *configChange) acknowledged() bool { return c.status == http.StatusOK }

// configRead is what a read of the configuration told, and when.
type configRead struct {
	start, end clock.Instant
	version    int64
	changeID   string
}

// configHistory holds all orders and reads. The zero value is ready.
type configHistory struct {
	mu      sync.Mutex
	changes []*configChange
	reads   []configRead
	latest  int64
}

func (c *configHistory) recordSent(sent *configChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changes = append(c.changes, sent)
}

func (c *configHistory) recordAnswer(sent *configChange, status int, now clock.Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent.status, sent.answeredAt = status, now
	if status == http.StatusOK && sent.valid {
		c.latest = max(c.latest, sent.version)
	}
}

func (c *configHistory) recordRead(told configRead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads = append(c.reads, told)
	c.latest = max(c.latest, told.version)
}

// latestVersion is the newest version that anybody was told of.
func (c *configHistory) latestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latest
}

// counts are how many orders were acknowledged, refused, and left unclear, and
// the longest that an acknowledgement took.
func (c *configHistory) counts() (acknowledged int, refused int, open int, longest clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, sent := range c.changes {
		switch {
		case sent.acknowledged():
			acknowledged++
			longest = max(longest, sent.answeredAt.Since(sent.sentAt))
		case sent.status != 0:
			refused++
		default:
			open++
		}
	}
	return acknowledged, refused, open, longest
}

// check tells what no order of all acts explains.
func (c *configHistory) check(find func(promise string, format string, facts ...any)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkChanges(find)
	c.checkReads(find)
}

func (c *configHistory) checkChanges(find func(promise string, format string, facts ...any)) {
	bases, versions := map[int64]*configChange{}, map[int64]*configChange{}
	for _, sent := range c.changes {
		if !sent.acknowledged() {
			continue
		}
		if !sent.valid {
			find("CONFIG", "invalid change %s to %d is acknowledged", sent.id, sent.version)
		}
		if other := bases[sent.baseVersion]; other != nil {
			find("CONFIG", "changes %s and %s, both on version %d, are both acknowledged", other.id, sent.id, sent.baseVersion)
		}
		if other := versions[sent.version]; other != nil {
			find("CONFIG", "changes %s and %s, both to version %d, are both acknowledged", other.id, sent.id, sent.version)
		}
		bases[sent.baseVersion], versions[sent.version] = sent, sent
	}
}

func (c *configHistory) checkReads(find func(promise string, format string, facts ...any)) {
	made := map[int64]string{}
	valid := map[string]bool{"first": true}
	for _, sent := range c.changes {
		valid[sent.id] = sent.valid
		if sent.acknowledged() {
			made[sent.version] = sent.id
		}
	}
	for _, told := range c.reads {
		if id, known := made[told.version]; known && id != told.changeID {
			find("CONFIG", "version %d is told as that of change %s, and was made by %s", told.version, told.changeID, id)
		}
		made[told.version] = told.changeID
		if !valid[told.changeID] {
			find("CONFIG", "version %d of change %s is in force, which is invalid or unknown", told.version, told.changeID)
		}
		for _, sent := range c.changes {
			if sent.acknowledged() && sent.answeredAt.Before(told.start) && sent.version > told.version {
				find("STALE", "a read begun %v after the acknowledgement of version %d tells version %d", told.start.Since(sent.answeredAt), sent.version, told.version)
			}
		}
		for _, earlier := range c.reads {
			if earlier.end.Before(told.start) && earlier.version > told.version {
				find("STALE", "a read begun %v after another had told version %d tells version %d", told.start.Since(earlier.end), earlier.version, told.version)
			}
		}
	}
}

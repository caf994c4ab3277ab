package soak

import (
	"net/http"
	"sync"

	"onyxwell/base/clock"
)

// change is an order on the configuration.
type change struct {
	id      string
	note    string
	method  string
	base    int64
	version int64
	body    []byte
	valid   bool
	sent    clock.Instant
	// done is when the clear answer came; status 0 is none.
	done   clock.Instant
	status int
}

func (c *change) acknowledged() bool { return c.status == http.StatusOK }

// read is what a read of the configuration told, and when.
type read struct {
	begin, end clock.Instant
	version    int64
	id         string
}

// ledger holds all orders and reads. The zero value is ready.
type ledger struct {
	mu      sync.Mutex
	changes []*change
	reads   []read
	known   int64
}

func (l *ledger) asked(sent *change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, sent)
}

func (l *ledger) answered(sent *change, status int, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent.status, sent.done = status, now
	if status == http.StatusOK && sent.valid {
		l.known = max(l.known, sent.version)
	}
}

func (l *ledger) read(told read) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = append(l.reads, told)
	l.known = max(l.known, told.version)
}

// newest is the newest version that anybody was told of.
func (l *ledger) newest() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known
}

// counts are how many orders were acknowledged, refused, and left unclear, and
// the longest that an acknowledgement took.
func (l *ledger) counts() (acknowledged int, refused int, open int, longest clock.Span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, sent := range l.changes {
		switch {
		case sent.acknowledged():
			acknowledged++
			longest = max(longest, sent.done.Since(sent.sent))
		case sent.status != 0:
			refused++
		default:
			open++
		}
	}
	return acknowledged, refused, open, longest
}

// judge tells what no order of all acts explains.
func (l *ledger) judge(find func(promise string, format string, facts ...any)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judgeChanges(find)
	l.judgeReads(find)
}

func (l *ledger) judgeChanges(find func(promise string, format string, facts ...any)) {
	bases, versions := map[int64]*change{}, map[int64]*change{}
	for _, sent := range l.changes {
		if !sent.acknowledged() {
			continue
		}
		if !sent.valid {
			find("CONFIG", "invalid change %s to %d is acknowledged", sent.id, sent.version)
		}
		if other := bases[sent.base]; other != nil {
			find("CONFIG", "changes %s and %s, both on version %d, are both acknowledged", other.id, sent.id, sent.base)
		}
		if other := versions[sent.version]; other != nil {
			find("CONFIG", "changes %s and %s, both to version %d, are both acknowledged", other.id, sent.id, sent.version)
		}
		bases[sent.base], versions[sent.version] = sent, sent
	}
}

func (l *ledger) judgeReads(find func(promise string, format string, facts ...any)) {
	made := map[int64]string{}
	valid := map[string]bool{"first": true}
	for _, sent := range l.changes {
		valid[sent.id] = sent.valid
		if sent.acknowledged() {
			made[sent.version] = sent.id
		}
	}
	for _, told := range l.reads {
		if id, known := made[told.version]; known && id != told.id {
			find("CONFIG", "version %d is told as that of change %s, and was made by %s", told.version, told.id, id)
		}
		made[told.version] = told.id
		if !valid[told.id] {
			find("CONFIG", "version %d of change %s is in force, which is invalid or unknown", told.version, told.id)
		}
		for _, sent := range l.changes {
			if sent.acknowledged() && sent.done.Before(told.begin) && sent.version > told.version {
				find("STALE", "a read begun %v after the acknowledgement of version %d tells version %d", told.begin.Since(sent.done), sent.version, told.version)
			}
		}
		for _, earlier := range l.reads {
			if earlier.end.Before(told.begin) && earlier.version > told.version {
				find("STALE", "a read begun %v after another had told version %d tells version %d", told.begin.Since(earlier.end), earlier.version, told.version)
			}
		}
	}
}

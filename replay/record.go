// Package replay sends a recorded day of requests to the routers of a running
// system at the recorded pace, and sums up the responses by route. The format of
// a recorded day is described in docs/replay.md.
package replay

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// Record is one request of a recorded day: a line of JSON.
type Record struct {
	// AtMS is when it was sent, in milliseconds from the start of the day.
	AtMS    float64           `json:"at_ms"`
	Method  string            `json:"method"`
	Host    string            `json:"host"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	// Route is what its result is counted under; by default the host and the first
	// segment of the path.
	Route string `json:"route"`
}

// Offset returns when the request was sent, counted from the start of the day.
func (r Record) Offset() time.Duration { return time.Duration(r.AtMS * float64(time.Millisecond)) }

// routeName returns the route that the result is counted under.
func (r Record) routeName() string {
	if r.Route != "" {
		return r.Route
	}
	segment, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return r.Host + "/" + segment + "/"
}

// maxLineBytes is the length of the longest line that is read.
const maxLineBytes = 16 << 20

// Read reads a recorded day: a record on each line, blank lines aside, ordered by
// time. An error names the line of the first invalid record.
func Read(source io.Reader) ([]Record, error) {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	var records []Record
	number := 0
	for lines.Scan() {
		number++
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		record, err := parseRecord(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if len(records) > 0 && record.AtMS < records[len(records)-1].AtMS {
			return nil, fmt.Errorf("line %d: at_ms goes back", number)
		}
		records = append(records, record)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("line %d: %w", number+1, err)
	}
	return records, nil
}

func parseRecord(line string) (Record, error) {
	decoder := json.NewDecoder(strings.NewReader(line))
	decoder.DisallowUnknownFields()
	var record Record
	if err := decoder.Decode(&record); err != nil {
		return Record{}, err
	}
	if decoder.More() {
		return Record{}, errors.New("more than one record")
	}
	return record, record.validate()
}

func (r Record) validate() error {
	switch {
	case !(r.AtMS >= 0):
		return errors.New("at_ms is below 0")
	case r.Method == "":
		return errors.New("method is missing")
	case r.Host == "":
		return errors.New("host is missing")
	case !strings.HasPrefix(r.Path, "/"):
		return errors.New("path begins with no slash")
	}
	return nil
}

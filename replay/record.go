// Package replay plays a recorded day of requests against a running system and
// tells the outcomes by route.
package replay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"onyxwell/base/clock"
)

// Record is one request of a recorded day: a line of JSON.
type Record struct {
	// AtMS is when it was sent, counted from the day's begin.
	AtMS    float64           `json:"at_ms"`
	Method  string            `json:"method"`
	Host    string            `json:"host"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	// Route names the group that its outcome is counted under; by default the
	// host and the first part of the path.
	Route string `json:"route"`
}

// Offset is when the request was sent.
func (r Record) Offset() clock.Span { return clock.Span(r.AtMS * float64(clock.Millisecond)) }

// routeName names the route that the outcome is counted under.
func (r Record) routeName() string {
	if r.Route != "" {
		return r.Route
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	return r.Host + "/" + first + "/"
}

// maxLineBytes is the longest line of a record.
const maxLineBytes = 16 << 20

// Read reads a recorded day. The first broken record ends it, named by its
// line.
func Read(source io.Reader) ([]Record, error) {
	lines := bufio.NewScanner(source)
	lines.Buffer(make([]byte, 64<<10), maxLineBytes)
	var records []Record
	number := 0
	for lines.Scan() {
		number++
		text := strings.TrimSpace(lines.Text())
		if text == "" {
			continue
		}
		record, err := parseRecord(text)
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

func parseRecord(text string) (Record, error) {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	var record Record
	if err := decoder.Decode(&record); err != nil {
		return record, err
	}
	if decoder.More() {
		return record, fmt.Errorf("more than one record")
	}
	for _, rule := range recordRules {
		if !rule.holds(record) {
			return record, fmt.Errorf("%s", rule.text)
		}
	}
	return record, nil
}

var recordRules = []struct {
	holds func(Record) bool
	text  string
}{
	{func(record Record) bool { return record.AtMS >= 0 }, "at_ms is below 0"},
	{func(record Record) bool { return record.Method != "" }, "method is missing"},
	{func(record Record) bool { return record.Host != "" }, "host is missing"},
	{func(record Record) bool { return strings.HasPrefix(record.Path, "/") }, "path begins with no slash"},
}

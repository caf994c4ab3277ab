// Package excerpt shortens texts that callers wrote, for log lines, errors and whatever
// else outlives a request.
package excerpt

import (
	"strings"
	"unicode/utf8"
)

// mark ends a text that was cut.
const mark = "..."

// Of returns a copy of the first bytes of a text, at most limit of them, and "..." after
// them if the text is longer. It cuts between characters. The copy shares no memory with
// the text, which may be a part of a whole request.
func Of(text string, limit int) string {
	if len(text) <= limit {
		return strings.Clone(text)
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit] + mark
}

package balancer

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/control/config"
)

// maxPromptTokens bounds the token count that a request may state.
const maxPromptTokens = 1e9

// Request is what is known of a request when it is admitted.
type Request struct {
	Route *config.Route
	// PromptParts are the ids of the prompt's parts; the last is the request's own,
	// those before it are shared with other prompts.
	PromptParts []string
	// PartTokens counts the tokens of all parts, SharedTokens those of the shared.
	PartTokens   float64
	SharedTokens float64
	// BodyBytes is the length of the body.
	BodyBytes int
	// PromptTokens is the prompt's length as the request states it; 0 is unknown.
	PromptTokens float64
	ArrivedAt    clock.Instant
	Deadline     clock.Instant
}

// ParsePromptParts takes the parts of a prompt from a list of id:tokens, such as
// "5c1e07a2:800,e4402b7d:250". An unreadable count is 0.
func (r *Request) ParsePromptParts(text string) {
	if text == "" {
		return
	}
	ownTokens := 0.0
	for _, part := range strings.Split(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		ownTokens, _ = strconv.ParseFloat(count, 64)
		r.PromptParts = append(r.PromptParts, id)
		r.PartTokens += ownTokens
	}
	r.SharedTokens = r.PartTokens - ownTokens
}

// ParseTokenCount takes the prompt's length from "prompt,most", the tokens of the
// prompt and the most that may be generated. Text that is absent or malformed
// leaves the length unknown.
func (r *Request) ParseTokenCount(text string) {
	prompt, _, _ := strings.Cut(text, ",")
	if tokens, err := strconv.ParseFloat(strings.TrimSpace(prompt), 64); err == nil && tokens > 0 && tokens < maxPromptTokens {
		r.PromptTokens = tokens
	}
}

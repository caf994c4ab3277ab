package balancer

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// maxPromptTokens bounds the token count that a request may state.
const maxPromptTokens = 1e9

// Request is what is known of a request when it is admitted.
type Request struct {
	Route *config.Route
	// Tenant is who sends the request; nil is unknown.
	Tenant *config.Tenant
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
	// MaxTokens is the most that may be generated, as the request states it.
	MaxTokens float64
	// HasTokenCounts says that the request states both.
	HasTokenCounts bool
	ArrivedAt      clock.Instant
	Deadline       clock.Instant
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

// ParseTokenCount takes the prompt's length and the most that may be generated
// from "prompt,most". Text that is absent or malformed leaves them unknown.
func (r *Request) ParseTokenCount(text string) {
	promptText, maxText, _ := strings.Cut(text, ",")
	prompt, promptOK := parseTokens(promptText)
	if promptOK {
		r.PromptTokens = prompt
	}
	maxTokens, maxOK := parseTokens(maxText)
	if maxOK {
		r.MaxTokens = maxTokens
	}
	r.HasTokenCounts = promptOK && maxOK
}

func parseTokens(text string) (tokens float64, ok bool) {
	tokens, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(tokens >= 0 && tokens < maxPromptTokens) {
		return 0, false
	}
	return tokens, true
}

// Priority is the tenant's where it has one, else the route's.
func (r *Request) Priority() int {
	if r.Tenant != nil && r.Tenant.Priority != nil {
		return *r.Tenant.Priority
	}
	return r.Route.Priority
}

// AllowsRegion tells whether runners of a region may serve the request: the home
// regions of its route and those of its tenant both bind.
func (r *Request) AllowsRegion(region ids.Region) bool {
	return r.Route.AllowsRegion(region) && (r.Tenant == nil || r.Tenant.AllowsRegion(region))
}

// homeRegionsKey is the form in which demand and flows name the home regions that bind a
// request; empty where all regions may serve it.
func (r *Request) homeRegionsKey() string {
	homes := r.Route.HomeRegions
	if r.Tenant != nil && len(r.Tenant.HomeRegions) > 0 {
		homes = r.Tenant.HomeRegions
	}
	key := ""
	for _, region := range homes {
		if r.AllowsRegion(region) {
			key += string(region) + ","
		}
	}
	return key
}

// QuotaCost is what the request counts as towards its tenant's quota.
func (r *Request) QuotaCost() float64 {
	if !r.HasTokenCounts {
		return r.Tenant.Cost(-1)
	}
	return r.Tenant.Cost(r.PromptTokens + r.MaxTokens)
}

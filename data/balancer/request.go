package balancer

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// maxPromptTokens is the exclusive upper bound of the token counts that a request may
// state.
const maxPromptTokens = 1e9

// Request holds the properties of a client request that admission depends on.
type Request struct {
	Route *config.Route
	// Tenant is the tenant that sent the request, or nil if unknown.
	Tenant *config.Tenant
	// PromptParts holds the ids of the prompt's first maxPromptParts parts. The last part is specific to
	// the request; the parts before it are shared with other prompts.
	PromptParts []string
	// PartTokens is the number of tokens of all parts, SharedTokens that of the shared
	// parts.
	PartTokens   float64
	SharedTokens float64
	// BodyBytes is the length of the body in bytes.
	BodyBytes int
	// PromptTokens is the prompt's length in tokens as stated by the request, or 0 if
	// unknown.
	PromptTokens float64
	// MaxTokens is the maximum number of generated tokens as stated by the request.
	MaxTokens float64
	// HasTokenCounts reports whether the request states both PromptTokens and
	// MaxTokens.
	HasTokenCounts bool
	ArrivedAt      clock.Instant
	Deadline       clock.Instant
}

// maxPromptParts is how many parts of a prompt are kept; the tokens of all parts count.
const maxPromptParts = 1024

// ParsePromptParts sets the prompt parts and their token counts from a list of
// id:tokens pairs such as "5c1e07a2:800,e4402b7d:250". A malformed count is read as 0.
func (r *Request) ParsePromptParts(text string) {
	if text == "" {
		return
	}
	ownTokens := 0.0
	for part := range strings.SplitSeq(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(part), ":")
		ownTokens, _ = strconv.ParseFloat(count, 64)
		if len(r.PromptParts) < maxPromptParts {
			r.PromptParts = append(r.PromptParts, id)
		}
		r.PartTokens += ownTokens
	}
	r.SharedTokens = r.PartTokens - ownTokens
}

// ParseTokenCount sets PromptTokens and MaxTokens from text of the form "prompt,max".
// A count that is missing or malformed stays unknown.
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

// Priority returns the tenant's priority if it has one, else the route's.
func (r *Request) Priority() int {
	if r.Tenant != nil && r.Tenant.Priority != nil {
		return *r.Tenant.Priority
	}
	return r.Route.Priority
}

// AllowsRegion reports whether runners in a region may serve the request. Both the
// route and the tenant must allow the region.
func (r *Request) AllowsRegion(region ids.Region) bool {
	return r.Route.AllowsRegion(region) && (r.Tenant == nil || r.Tenant.AllowsRegion(region))
}

// homeRegionsKey encodes the request's home regions in the format of
// autoscaler.Demand and autoscaler.Flow: each region followed by a comma. It is empty
// if there are no home regions, or if the tenant's and the route's have none in common.
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

// QuotaCost returns the cost of the request to its tenant's quota.
func (r *Request) QuotaCost() float64 {
	if !r.HasTokenCounts {
		return r.Tenant.Cost(-1)
	}
	return r.Tenant.Cost(r.PromptTokens + r.MaxTokens)
}

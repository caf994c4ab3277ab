package quorum

import "onyxwell/base/clock"

// Status is the state of contact as the admin API shows it.
type Status struct {
	// Majority reports whether commands may be begun.
	Majority bool `json:"majority"`
	// AgeMS is how long ago a majority of the voters was known to hear this
	// controller, AllVotersAgeMS how long ago all of them were, in milliseconds;
	// -1 is never.
	AgeMS          int64 `json:"age_ms"`
	AllVotersAgeMS int64 `json:"whole_age_ms"`
}

// Status returns the state of contact; a nil Tracker never had any.
func (t *Tracker) Status(now clock.Instant) Status {
	status := Status{AgeMS: -1, AllVotersAgeMS: -1}
	if t == nil {
		return status
	}
	if age, ok := t.MajorityContactAge(now); ok {
		status.Majority, status.AgeMS = t.HasQuorum(now), age.Milliseconds()
	}
	if age, ok := t.AllVotersContactAge(now); ok {
		status.AllVotersAgeMS = age.Milliseconds()
	}
	return status
}

var transitionMessages = map[bool]string{true: "quorum contact regained", false: "quorum contact lost"}

// logTransition logs each change between contact and none once.
func (t *Tracker) logTransition(majority bool) {
	t.mu.Lock()
	changed := t.lost == majority
	t.lost = !majority
	t.mu.Unlock()
	if !changed {
		return
	}
	age, _ := t.MajorityContactAge(t.options.Clock.Now())
	t.options.Log.Warn().Str("part", "quorum").Bool("majority", majority).Int64("age_ms", age.Milliseconds()).
		Int64("all_voters_age_ms", t.Status(t.options.Clock.Now()).AllVotersAgeMS).Msg(transitionMessages[majority])
}

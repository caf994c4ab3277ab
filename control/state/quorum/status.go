package quorum

import "onyxwell/base/clock"

// Status is the state of contact as reported by the admin API.
type Status struct {
	// Majority reports whether commands may be started.
	Majority bool `json:"majority"`
	// AgeMS is the age in milliseconds of the contact with a majority of the voters;
	// AllVotersAgeMS is that of the contact with all of them. -1 means that there
	// was none.
	AgeMS          int64 `json:"age_ms"`
	AllVotersAgeMS int64 `json:"whole_age_ms"`
}

// Status returns the state of contact. A nil Tracker reports that there was none.
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

// logTransition logs when contact with a majority is lost or regained, once per
// change.
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

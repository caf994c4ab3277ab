package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// logTransition logs each change of state once.
func (t *Tracker) logTransition(ctx scope.Scope, had bool) {
	t.mu.Lock()
	turned := t.lost == had
	t.lost = !had
	t.mu.Unlock()
	if !turned {
		return
	}
	age, _ := t.MajorityAge(ctx.Now())
	ctx.Log.Warn().Str("part", "contact").Bool("majority", had).Int64("age_ms", age.Milliseconds()).
		Int64("whole_age_ms", t.Status(ctx.Now()).AllVotersAgeMS).Msg(transitionMessages[had])
}

var transitionMessages = map[bool]string{true: "a majority of the voters answers again", false: "no majority of the voters answers"}

// Status is what is shown of contact; an age of -1 is one that was never had.
type Status struct {
	Majority bool `json:"majority"`
	// AgeMS is how long ago a majority of the voters was known to hear this
	// controller, AllVotersAgeMS how long ago all of them were.
	AgeMS          int64 `json:"age_ms"`
	AllVotersAgeMS int64 `json:"whole_age_ms"`
}

// Status tells how old contact is; a missing contact was never had.
func (t *Tracker) Status(now clock.Instant) Status {
	told := Status{AgeMS: -1, AllVotersAgeMS: -1}
	if t == nil {
		return told
	}
	if age, known := t.MajorityAge(now); known {
		told.Majority, told.AgeMS = t.HasQuorum(now), age.Milliseconds()
	}
	if age, known := t.AllVotersAge(now); known {
		told.AllVotersAgeMS = age.Milliseconds()
	}
	return told
}

// AllVotersAge is how long ago all voters were last known to hear this controller,
// those that are learning too; false where they never were. Run keeps it up, so
// it outlives voters that answered and were replaced.
func (t *Tracker) AllVotersAge(now clock.Instant) (clock.Span, bool) {
	oldest := now
	seats := t.options.Voters().Members
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, seat := range seats {
		if seat.Address != t.options.Address {
			oldest = min(oldest, t.peers[seat.Address].lastContact)
		}
	}
	if len(seats) > 0 {
		t.allAnsweredAt = max(t.allAnsweredAt, oldest)
	}
	return now.Since(t.allAnsweredAt), t.allAnsweredAt > 0
}

package contact

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// note logs each change of state once.
func (contact *Contact) note(inner scope.Scope, had bool) {
	contact.lock.Lock()
	turned := contact.lost == had
	contact.lost = !had
	contact.lock.Unlock()
	if !turned {
		return
	}
	age, _ := contact.Age(inner.Now())
	inner.Log.Warn().Str("part", "contact").Bool("majority", had).Int64("age_ms", age.Milliseconds()).
		Int64("whole_age_ms", contact.Status(inner.Now()).WholeAgeMS).Msg(tidings[had])
}

var tidings = map[bool]string{true: "a majority of the voters answers again", false: "no majority of the voters answers"}

// Status is what is shown of contact; an age of -1 is one that was never had.
type Status struct {
	Majority bool `json:"majority"`
	// AgeMS is how long ago a majority of the voters was known to hear this
	// controller, WholeAgeMS how long ago all of them were.
	AgeMS      int64 `json:"age_ms"`
	WholeAgeMS int64 `json:"whole_age_ms"`
}

// Status tells how old contact is; a missing contact was never had.
func (contact *Contact) Status(now clock.Instant) Status {
	told := Status{AgeMS: -1, WholeAgeMS: -1}
	if contact == nil {
		return told
	}
	if age, known := contact.Age(now); known {
		told.Majority, told.AgeMS = contact.Fresh(now), age.Milliseconds()
	}
	if age, known := contact.WholeAge(now); known {
		told.WholeAgeMS = age.Milliseconds()
	}
	return told
}

// WholeAge is how long ago all voters were last known to hear this controller,
// those that are learning too; false where they never were. Run keeps it up, so
// it outlives voters that answered and were replaced.
func (contact *Contact) WholeAge(now clock.Instant) (clock.Span, bool) {
	oldest := now
	seats := contact.options.Voters().Seats
	contact.lock.Lock()
	defer contact.lock.Unlock()
	for _, seat := range seats {
		if seat.Address != contact.options.Address {
			oldest = min(oldest, contact.peers[seat.Address].asked)
		}
	}
	if len(seats) > 0 {
		contact.whole = max(contact.whole, oldest)
	}
	return now.Since(contact.whole), contact.whole > 0
}

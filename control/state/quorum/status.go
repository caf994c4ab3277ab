package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// note logs each change of state once.
func (c *Contact) note(ctx scope.Scope, had bool) {
	c.mu.Lock()
	turned := c.lost == had
	c.lost = !had
	c.mu.Unlock()
	if !turned {
		return
	}
	age, _ := c.Age(ctx.Now())
	ctx.Log.Warn().Str("part", "contact").Bool("majority", had).Int64("age_ms", age.Milliseconds()).
		Int64("whole_age_ms", c.Status(ctx.Now()).WholeAgeMS).Msg(tidings[had])
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
func (c *Contact) Status(now clock.Instant) Status {
	told := Status{AgeMS: -1, WholeAgeMS: -1}
	if c == nil {
		return told
	}
	if age, known := c.Age(now); known {
		told.Majority, told.AgeMS = c.Fresh(now), age.Milliseconds()
	}
	if age, known := c.WholeAge(now); known {
		told.WholeAgeMS = age.Milliseconds()
	}
	return told
}

// WholeAge is how long ago all voters were last known to hear this controller,
// those that are learning too; false where they never were. Run keeps it up, so
// it outlives voters that answered and were replaced.
func (c *Contact) WholeAge(now clock.Instant) (clock.Span, bool) {
	oldest := now
	seats := c.options.Voters().Members
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, seat := range seats {
		if seat.Address != c.options.Address {
			oldest = min(oldest, c.peers[seat.Address].asked)
		}
	}
	if len(seats) > 0 {
		c.whole = max(c.whole, oldest)
	}
	return now.Since(c.whole), c.whole > 0
}

package balancer

import "fmt"

// Exclusions counts the runners that a decision could not choose, by the cause.
type Exclusions struct {
	// Tried had the request already, Closed drain or are in an emptied zone, Away
	// stand outside the route's homes.
	Tried, Draining, OutsideHomes int
	// Unresponsive are doubted or do not answer, Full have all the connections that this
	// router may have there, Cold got what a cold one may get.
	Unresponsive, AtConnectionLimit, SlowStart int
}

// String tells the causes that left any out.
func (e Exclusions) String() string {
	text := ""
	for _, cause := range []struct {
		name  string
		count int
	}{{"tried", e.Tried}, {"closed", e.Draining}, {"away", e.OutsideHomes}, {"silent", e.Unresponsive}, {"full", e.AtConnectionLimit}, {"cold", e.SlowStart}} {
		if cause.count > 0 {
			text += fmt.Sprintf(" %s %d", cause.name, cause.count)
		}
	}
	if text == "" {
		return "none"
	}
	return text[1:]
}

// Exclusions tells which runners the last choice left out.
func (a *Admission) Exclusions() Exclusions { return a.exclusions }

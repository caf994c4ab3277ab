package balancer

import "fmt"

// LeftOut counts the runners that a decision could not choose, by the cause.
type LeftOut struct {
	// Tried had the request already, Closed drain or are in an emptied zone, Away
	// stand outside the route's homes.
	Tried, Closed, Away int
	// Silent are doubted or do not answer, Full have all the connections that this
	// router may have there, Cold got what a cold one may get.
	Silent, Full, Cold int
}

// String tells the causes that left any out.
func (l LeftOut) String() string {
	text := ""
	for _, cause := range []struct {
		name  string
		count int
	}{{"tried", l.Tried}, {"closed", l.Closed}, {"away", l.Away}, {"silent", l.Silent}, {"full", l.Full}, {"cold", l.Cold}} {
		if cause.count > 0 {
			text += fmt.Sprintf(" %s %d", cause.name, cause.count)
		}
	}
	if text == "" {
		return "none"
	}
	return text[1:]
}

// LeftOut tells which runners the last choice left out.
func (d *Decision) LeftOut() LeftOut { return d.left }

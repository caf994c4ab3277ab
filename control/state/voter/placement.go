package voter

import (
	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// TargetCount is how many voters bear the loss of so many machines at one time: one
// more than twice as many, and never fewer than three.
func TargetCount(settings *settings.Settings) int { return max(3, 2*settings.Tolerate.Machines+1) }

// RequiredCopies is how many disks must hold an order before it is answered: one more
// than may be lost at one time. Where fewer controllers than seeds are usual
// are named, there are no more than these.
func RequiredCopies(settings *settings.Settings) int {
	if seeds := len(settings.Seeds); seeds < 3 {
		return min(seeds, settings.Tolerate.Machines+1)
	}
	return settings.Tolerate.Machines + 1
}

// fitsPlacement tells whether a voter here beside the others leaves every zone and
// region with no more than its even share of the seats.
func (v *Voter) fitsPlacement(others []ids.Address) bool {
	self := v.options.Membership.Self()
	regions := map[ids.Region]bool{}
	for _, region := range v.options.Zones {
		regions[region] = true
	}
	inZone, inRegion := 1, 1
	for _, address := range others {
		member, known := v.options.Membership.Find(address)
		if known && member.Zone == self.Zone {
			inZone++
		}
		if known && member.Region == self.Region {
			inRegion++
		}
	}
	return inZone <= evenShare(v.options.TargetCount, len(v.options.Zones)) && inRegion <= evenShare(v.options.TargetCount, len(regions))
}

func evenShare(seats int, places int) int { return (seats + max(1, places) - 1) / max(1, places) }

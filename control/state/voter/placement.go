package voter

import (
	"onyxwell/base/ids"
	"onyxwell/base/settings"
)

// minVoters is the smallest number of voters that tolerates the loss of one.
const minVoters = 3

// TargetCount returns the number of voters that tolerates the simultaneous loss
// of as many machines as tolerate.machines in the settings: 2n+1, and at least
// three.
func TargetCount(node *settings.Settings) int { return max(minVoters, 2*node.Tolerate.Machines+1) }

// RequiredCopies returns the number of disks that must hold a command before it
// is acknowledged: one more than may be lost at the same time, but no more than
// there are seeds if the settings name fewer than three.
func RequiredCopies(node *settings.Settings) int {
	copies := node.Tolerate.Machines + 1
	if seeds := len(node.Seeds); seeds < minVoters {
		return min(seeds, copies)
	}
	return copies
}

// fitsPlacement reports whether this zone and region would have at most their
// even share of the voters if this controller voted beside the others.
func (v *Voter) fitsPlacement(others []ids.Address) bool {
	self := v.options.Membership.Self()
	regions := map[ids.Region]bool{}
	for _, region := range v.options.Zones {
		regions[region] = true
	}
	inZone, inRegion := 1, 1
	for _, address := range others {
		member, ok := v.options.Membership.Find(address)
		if ok && member.Zone == self.Zone {
			inZone++
		}
		if ok && member.Region == self.Region {
			inRegion++
		}
	}
	return inZone <= evenShare(v.options.TargetCount, len(v.options.Zones)) && inRegion <= evenShare(v.options.TargetCount, len(regions))
}

// evenShare returns the number of voters per place, rounded up. Zero places count
// as one.
func evenShare(voters int, places int) int {
	places = max(1, places)
	return (voters + places - 1) / places
}

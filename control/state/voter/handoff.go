package voter

import (
	"context"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/state/register"
)

const (
	// handOffDivisor limits a hand-off to 1/handOffDivisor of the time for the
	// graceful shutdown.
	handOffDivisor = 4
	// handOffAttemptsPerReplaceAfter is the number of hand-off attempts per
	// ReplaceAfter.
	handOffAttemptsPerReplaceAfter = 10
)

// HandOff waits until enough other disks hold what this one holds and a standby
// has replaced this voter, for at most a quarter of the time for the graceful
// shutdown. Without a standby, this voter keeps its place, since a controller
// that shuts down does not know whether it will be restarted.
func (v *Voter) HandOff(ctx context.Context) {
	ctx, cancel := v.clock.WithTimeout(ctx, settings.Seconds(v.settings.Bounds.GraceS)/handOffDivisor)
	defer cancel()
	repairer := &register.Repairer{Joiner: v.joiner, MinCopies: RequiredCopies(v.settings)}
	replicated := repairer.HandOff(ctx)
	for (!replicated || v.hasStandby()) && clock.Wait(ctx, v.clock, v.options.ReplaceAfter/handOffAttemptsPerReplaceAfter) {
		replicated = repairer.HandOff(ctx)
	}
	v.log.Info().Str("part", "voter").Bool("replicated", replicated).Bool("voting", v.Voting()).Msg("hand-over ended")
}

// hasStandby reports whether this disk still votes and some controller is alive
// that could replace it.
func (v *Voter) hasStandby() bool {
	if !v.Voting() {
		return false
	}
	voters := map[ids.Address]bool{}
	for _, voter := range v.Acceptor.Voters().Members {
		voters[voter.Address] = true
	}
	for _, member := range v.aliveControllers() {
		if !voters[member.Address] {
			return true
		}
	}
	return false
}

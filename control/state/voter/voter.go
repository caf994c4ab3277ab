package voter

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// Options configures a Voter.
type Options struct {
	// Clock, Log and Settings are those of the daemon; all three are required.
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
	// Address is the address of this controller.
	Address ids.Address
	// Disk holds the write-ahead log.
	Disk wal.FS
	// FirstStart means that the deployment starts for the first time. Its voters
	// are the Seeds then.
	FirstStart bool
	Seeds      []ids.Address
	Membership *membership.Table
	Transport  *transport.Client
	// Quorum tracks the responses of other voters. If it is nil, no voter is
	// considered silent.
	Quorum *quorum.Tracker
	// ReplaceAfter is how long a voter must have been removed from the membership
	// before it may be replaced.
	ReplaceAfter time.Duration
	// Timeout bounds one attempt to join and one survey.
	Timeout time.Duration
	// LeaseTTL is the duration for which a lease is granted.
	LeaseTTL time.Duration
	// TargetCount is the intended number of voters. They are spread over Zones,
	// which maps all zones to their regions.
	TargetCount int
	Zones       map[ids.Zone]ids.Region
	// Timing determines how soon a lost voter is replaced. Fields that are 0 are
	// derived from ReplaceAfter, or from Timeout if ReplaceAfter is 0.
	Timing Timing
}

// Voter is a controller's voter and its client for the other voters. It is safe
// for concurrent use once Attach has been called.
type Voter struct {
	Acceptor *register.Acceptor
	Lessor   *lease.Lessor

	options  Options
	clock    clock.Clock
	log      *log.Logger
	settings *settings.Settings
	wal      *wal.Log
	joiner   *register.Joiner
	repairer *register.Repairer
	liveness liveness

	mu sync.Mutex
	// redundancy is the result of the last survey, lastLogged the summary that
	// was logged last.
	redundancy register.Redundancy
	lastLogged string
	// unknownSince holds, for voters that the membership does not know, the time
	// at which isReplaceable first found that.
	unknownSince map[ids.Address]clock.Instant
	lastView     view
}

// Attach sets the proposer through which the Voter joins the voter set and
// repairs voters that lag. It must be called before Run and before any request is
// sent.
func (v *Voter) Attach(proposer *register.Proposer) {
	v.joiner = &register.Joiner{
		Clock:   v.clock,
		Address: v.options.Address, Acceptor: v.Acceptor, Proposer: proposer,
		Replicas: v, Peers: v.controllers, Replaceable: v.isReplaceable, Suspected: v.liveness.suspected,
		TargetVoters: v.options.TargetCount, PlacementAllowed: v.fitsPlacement, RequestTimeout: v.options.Timing.RequestTimeout,
	}
	v.repairer = &register.Repairer{Joiner: v.joiner}
}

// Voting reports whether this disk currently votes.
func (v *Voter) Voting() bool { return v.Acceptor.Voting() }

// Leave marks this voter as leaving, so that a standby may replace it.
func (v *Voter) Leave() { v.Acceptor.Leave() }

// Close closes the write-ahead log.
func (v *Voter) Close() { v.wal.Close() }

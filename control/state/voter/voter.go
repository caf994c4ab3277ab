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

// Options configure a Voter.
type Options struct {
	// Clock, Log and Settings are the machine's; all three are required.
	Clock    clock.Clock
	Log      *log.Logger
	Settings *settings.Settings
	// Address is this controller's own.
	Address ids.Address
	// Disk holds the write-ahead log.
	Disk wal.FS
	// FirstStart says that the deployment starts for the first time: the Seeds are
	// its voters then.
	FirstStart bool
	Seeds      []ids.Address
	Membership *membership.Table
	Transport  *transport.Client
	// Quorum is told of each response of a voter; it may be nil, and no voter is
	// taken for silent then.
	Quorum *quorum.Tracker
	// ReplaceAfter is how long the membership must have a voter removed before its
	// place may be taken.
	ReplaceAfter time.Duration
	// Timeout bounds one attempt to join, and one survey.
	Timeout time.Duration
	// LeaseTTL is how long a lease is granted for.
	LeaseTTL time.Duration
	// TargetCount is how many voters there should be; they are spread over Zones,
	// which are all zones with their regions.
	TargetCount int
	Zones       map[ids.Zone]ids.Region
	// Timing is how soon a lost voter is replaced; what is not set gets a part of
	// ReplaceAfter, or of Timeout where that is not set either.
	Timing Timing
}

// Voter is a controller's voter and its client of the other voters. It is safe
// for concurrent use once Attach was called.
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
	// redundancy is the result of the last survey, lastLogged that which was
	// logged last.
	redundancy register.Redundancy
	lastLogged string
	// unknownSince is since when voters that the membership does not know have been
	// asked for.
	unknownSince map[ids.Address]clock.Instant
	lastView     view
}

// Attach sets the proposer through which the Voter joins the voter set and
// repairs what lags. It must be called before Run and before any request is sent.
func (v *Voter) Attach(proposer *register.Proposer) {
	v.joiner = &register.Joiner{
		Clock:   v.clock,
		Address: v.options.Address, Acceptor: v.Acceptor, Proposer: proposer,
		Replicas: v, Peers: v.controllers, Replaceable: v.isReplaceable, Suspected: v.liveness.suspected,
		TargetVoters: v.options.TargetCount, PlacementAllowed: v.fitsPlacement, RequestTimeout: v.options.Timing.RequestTimeout,
	}
	v.repairer = &register.Repairer{Joiner: v.joiner}
}

// Voting reports whether this disk votes now.
func (v *Voter) Voting() bool { return v.Acceptor.Voting() }

// Leave says that this voter's place is free for a standby.
func (v *Voter) Leave() { v.Acceptor.Leave() }

// Close closes the write-ahead log.
func (v *Voter) Close() { v.wal.Close() }

// Package voter gives a controller its voter: it opens the journal, carries
// messages to the other voters, and gains a seat for a disk that is new.
package voter

import (
	"cmp"
	"errors"
	"sort"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// Options are what a seat is opened with.
type Options struct {
	Address    ids.Address
	Disk       wal.FS
	FirstStart bool
	Seeds      []ids.Address
	Membership *membership.Table
	Transport  *transport.Client
	// Quorum is told whenever a voter answers; it may be missing.
	Quorum *quorum.Tracker
	// ReplaceAfter is how long a voter must be gone before another takes its seat.
	ReplaceAfter clock.Span
	Timeout      clock.Span
	LeaseTTL     clock.Span
	// TargetCount is how many voters are wanted; Zones gives the zones there are, with
	// their regions, over which they are spread.
	TargetCount int
	Zones       map[ids.Zone]ids.Region
	Timing      Timing
}

// Voter is a controller's voter and the way to the others.
type Voter struct {
	Acceptor *register.Acceptor
	Lessor   *lease.Lessor
	options  Options
	wal      *wal.Log
	now      func() clock.Instant
	joiner   *register.Joiner
	survey   *register.Repairer

	mu         sync.Mutex
	redundancy register.Redundancy
	lastLogged string
	// unknownSince are voters that the table does not know, since when.
	unknownSince map[ids.Address]clock.Instant
	// missedSince says since when a voter has not answered the looks, watched since
	// when each has been one.
	missedSince map[ids.Address]clock.Instant
	voterSince  map[ids.Address]clock.Instant
	lastView    view
}

// LearnRequest carries slots to a voter whose copies are old.
type LearnRequest struct {
	Slots []register.Slot `avro:"Slots"`
}

// SchemaName names the stored and sent form; it must never change.
func (LearnRequest) SchemaName() string { return "LearnAsk_21" }

// LearnResponse answers it.
type LearnResponse struct {
	Applied bool `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (LearnResponse) SchemaName() string { return "LearnTold_21" }

// Open reads the journal. On the very first start the seeds are the voters; an
// empty disk later is a new one, whose votes of before are forgotten, and so is
// a damaged one. A disk that refuses is asked again until the scope ends.
func Open(top scope.Scope, options Options) (*Voter, error) {
	damaged := false
	options.Timing = options.Timing.withDefaults(cmp.Or(options.ReplaceAfter, options.Timeout))
	for {
		made := &Voter{options: options, now: top.Now, unknownSince: map[ids.Address]clock.Instant{}}
		opened, records, err := wal.Open(wal.Options{
			FS: options.Disk, Name: "registers", MaxBytes: walSizeLimit(top.Settings),
			Snapshot: func() [][]byte { return made.Acceptor.Snapshot() },
		})
		if errors.Is(err, wal.ErrUnsupportedVersion) {
			return nil, err
		}
		if err == nil {
			made.wal, damaged = opened, damaged || opened.Corruption != nil
			logDamage(top, opened.Corruption)
			if made.Acceptor, err = register.NewAcceptor(options.Address, records); err != nil {
				opened.Close()
				return nil, err
			}
			made.Acceptor.Attach(opened)
			made.Lessor = lease.NewLessor(top.Clock, options.LeaseTTL, func() (bool, int64) {
				return made.Voting(), made.Acceptor.Voters().Fingerprint()
			})
			if err = made.initialize(damaged); err == nil {
				return made, nil
			}
			opened.Close()
		}
		top.Log.Warn().Str("part", "seat").Err(err).Msg("the disk refuses the journal")
		if !top.Wait(options.Timing.SuspectAfter) {
			return nil, err
		}
	}
}

// walSizeLimit leaves room for the file that renews the journal, for a damaged one that
// was set aside, and for other files.
func walSizeLimit(settings *settings.Settings) int64 { return settings.Limits.DiskMB << 20 / 4 }

func logDamage(top scope.Scope, damage *wal.Corruption) {
	if damage != nil {
		top.Log.Warn().Str("part", "seat").Str("file", damage.File).Str("aside", damage.QuarantinedAs).
			Int64("offset", damage.Offset).Int64("bytes", damage.Bytes).Str("reason", damage.Reason).
			Msg("the journal is damaged; this disk starts blank")
	}
}

func (v *Voter) initialize(damaged bool) error {
	formed := v.Acceptor.Voters().Generation > 0
	if v.Acceptor.Identified() && (formed || !v.options.FirstStart) {
		return nil
	}
	if !v.options.FirstStart || damaged {
		return v.Acceptor.Identify(ids.Incarnation(random.Int64N(1<<62) + 1))
	}
	voters := register.VoterSet{Generation: 1}
	member := false
	for _, address := range v.options.Seeds {
		voters.Members = append(voters.Members, register.Member{Address: address})
		member = member || address == v.options.Address
	}
	sort.Slice(voters.Members, func(left, right int) bool { return voters.Members[left].Address < voters.Members[right].Address })
	if !member {
		return v.Acceptor.Identify(ids.Incarnation(random.Int64N(1<<62) + 1))
	}
	return v.Acceptor.Bootstrap(voters)
}

// Voting tells whether this disk votes now.
func (v *Voter) Voting() bool { return v.Acceptor.Voting() }

// Close ends the journal.
func (v *Voter) Close() { v.wal.Close() }

// RegisterHandlers adds the voter's messages to a table of calls.
func (v *Voter) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, "promise", func(_ scope.Scope, asked register.PrepareRequest) (register.PrepareResponse, error) {
		return v.Acceptor.Prepare(asked), nil
	})
	transport.Handle(calls, "accept", func(_ scope.Scope, asked register.AcceptRequest) (register.AcceptResponse, error) {
		return v.Acceptor.Accept(asked), nil
	})
	transport.Handle(calls, "confirm", func(_ scope.Scope, asked register.ConfirmRequest) (register.AcceptResponse, error) {
		return v.Acceptor.Confirm(asked), nil
	})
	transport.Handle(calls, "copy", func(_ scope.Scope, asked register.FetchRequest) (register.FetchResponse, error) {
		return v.Acceptor.Fetch(asked), nil
	})
	transport.Handle(calls, "held", func(_ scope.Scope, asked register.DigestRequest) (register.DigestResponse, error) {
		return v.handleHeld(asked), nil
	})
	transport.Handle(calls, "learn", func(_ scope.Scope, asked LearnRequest) (LearnResponse, error) {
		err := v.Acceptor.Learn(asked.Slots)
		return LearnResponse{Applied: err == nil}, err
	})
	transport.Handle(calls, "hold", func(_ scope.Scope, asked lease.Request) (lease.Response, error) {
		told := v.Lessor.Grant(asked)
		told.Generation = v.Acceptor.Voters().Generation
		return told, nil
	})
}

// RequestLease asks all voters for a duty and tells what they granted.
// The own voter is asked first: while it refuses, the others are left in peace.
func (v *Voter) RequestLease(ctx scope.Scope, asked lease.Request) lease.Outcome {
	voters := v.Acceptor.Voters()
	seats := voters.Members
	asked.VotersFingerprint = voters.Fingerprint()
	granted := 0
	if v.Lessor.Grant(asked).Granted {
		granted = 1
	} else if !asked.Renew && !asked.Release {
		return lease.NoneGranted
	}
	votes := make(chan bool, len(seats))
	for _, voter := range seats {
		go func() { votes <- v.requestLeaseFrom(ctx, voter.Address, asked) }()
	}
	for range seats {
		if 2*granted > len(seats) {
			return lease.MajorityGranted
		}
		select {
		case vote := <-votes:
			if vote {
				granted++
			}
		case <-ctx.Done():
			return lease.MinorityGranted
		}
	}
	if 2*granted > len(seats) {
		return lease.MajorityGranted
	}
	return lease.MinorityGranted
}

func (v *Voter) requestLeaseFrom(ctx scope.Scope, address ids.Address, asked lease.Request) bool {
	if address == v.options.Address {
		return false
	}
	message, release := ctx.WithoutCancel().WithTimeout(v.options.LeaseTTL / 3)
	defer release()
	begin := message.Now()
	told, err := transport.Send[lease.Response](message, v.options.Transport, address, "hold", asked)
	if err == nil {
		v.options.Quorum.RecordContact(address, begin)
	}
	if told.VotersMismatch {
		v.repairVoters(message, address, register.Fenced, told.Generation, err)
	}
	return err == nil && told.Granted
}

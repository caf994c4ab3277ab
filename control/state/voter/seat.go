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
	Address   ids.Address
	Disk      wal.FS
	First     bool
	Seeds     []ids.Address
	Table     *membership.Table
	Messenger *transport.Courier
	// Contact is told whenever a voter answers; it may be missing.
	Contact *quorum.Contact
	// Patience is how long a voter must be gone before another takes its seat.
	Patience clock.Span
	Limit    clock.Span
	HoldSpan clock.Span
	// Seats is how many voters are wanted; Zones gives the zones there are, with
	// their regions, over which they are spread.
	Seats int
	Zones map[ids.Zone]ids.Region
	Pace  Pace
}

// Seat is a controller's voter and the way to the others.
type Seat struct {
	Acceptor *register.Acceptor
	Granter  *lease.Granter
	options  Options
	opened   *wal.Log
	now      func() clock.Instant
	joiner   *register.Joiner
	survey   *register.Repairer

	mu         sync.Mutex
	redundancy register.Redundancy
	logged     string
	// unknown are voters that the table does not know, since when.
	unknown map[ids.Address]clock.Instant
	// missed says since when a voter has not answered the looks, watched since
	// when each has been one.
	missed  map[ids.Address]clock.Instant
	watched map[ids.Address]clock.Instant
	seen    sight
}

// LearnAsk carries slots to a voter whose copies are old.
type LearnAsk struct {
	Slots []register.Slot `avro:"Slots"`
}

// SchemaName names the stored and sent form; it must never change.
func (LearnAsk) SchemaName() string { return "LearnAsk_21" }

// LearnTold answers it.
type LearnTold struct {
	Taken bool `avro:"Taken"`
}

// SchemaName names the stored and sent form; it must never change.
func (LearnTold) SchemaName() string { return "LearnTold_21" }

// Open reads the journal. On the very first start the seeds are the voters; an
// empty disk later is a new one, whose votes of before are forgotten, and so is
// a damaged one. A disk that refuses is asked again until the scope ends.
func Open(top scope.Scope, options Options) (*Seat, error) {
	damaged := false
	options.Pace = options.Pace.or(cmp.Or(options.Patience, options.Limit))
	for {
		made := &Seat{options: options, now: top.Now, unknown: map[ids.Address]clock.Instant{}}
		opened, records, err := wal.Open(wal.Options{
			FS: options.Disk, Name: "registers", MaxBytes: limit(top.Boot),
			Snapshot: func() [][]byte { return made.Acceptor.Snapshot() },
		})
		if errors.Is(err, wal.ErrUnsupportedVersion) {
			return nil, err
		}
		if err == nil {
			made.opened, damaged = opened, damaged || opened.Corruption != nil
			warn(top, opened.Corruption)
			if made.Acceptor, err = register.NewAcceptor(options.Address, records); err != nil {
				opened.Close()
				return nil, err
			}
			made.Acceptor.Attach(opened)
			made.Granter = lease.NewGranter(top.Clock, options.HoldSpan, func() (bool, int64) {
				return made.Voting(), made.Acceptor.Voters().Fingerprint()
			})
			if err = made.begin(damaged); err == nil {
				return made, nil
			}
			opened.Close()
		}
		top.Log.Warn().Str("part", "seat").Err(err).Msg("the disk refuses the journal")
		if !top.Wait(options.Pace.Doubt) {
			return nil, err
		}
	}
}

// limit leaves room for the file that renews the journal, for a damaged one that
// was set aside, and for other files.
func limit(settings *settings.Boot) int64 { return settings.Limits.DiskMB << 20 / 4 }

func warn(top scope.Scope, damage *wal.Corruption) {
	if damage != nil {
		top.Log.Warn().Str("part", "seat").Str("file", damage.File).Str("aside", damage.QuarantinedAs).
			Int64("offset", damage.Offset).Int64("bytes", damage.Bytes).Str("reason", damage.Reason).
			Msg("the journal is damaged; this disk starts blank")
	}
}

func (s *Seat) begin(damaged bool) error {
	formed := s.Acceptor.Voters().Generation > 0
	if s.Acceptor.Identified() && (formed || !s.options.First) {
		return nil
	}
	if !s.options.First || damaged {
		return s.Acceptor.Identify(ids.Incarnation(random.Int63(1<<62) + 1))
	}
	voters := register.VoterSet{Generation: 1}
	member := false
	for _, address := range s.options.Seeds {
		voters.Members = append(voters.Members, register.Member{Address: address})
		member = member || address == s.options.Address
	}
	sort.Slice(voters.Members, func(left, right int) bool { return voters.Members[left].Address < voters.Members[right].Address })
	if !member {
		return s.Acceptor.Identify(ids.Incarnation(random.Int63(1<<62) + 1))
	}
	return s.Acceptor.Bootstrap(voters)
}

// Voting tells whether this disk votes now.
func (s *Seat) Voting() bool { return s.Acceptor.Voting() }

// Close ends the journal.
func (s *Seat) Close() { s.opened.Close() }

// Serve adds the voter's messages to a table of calls.
func (s *Seat) Serve(calls *httpcall.Table) {
	transport.Handle(calls, "promise", func(_ scope.Scope, asked register.PrepareRequest) (register.PrepareResponse, error) {
		return s.Acceptor.Prepare(asked), nil
	})
	transport.Handle(calls, "accept", func(_ scope.Scope, asked register.AcceptRequest) (register.AcceptResponse, error) {
		return s.Acceptor.Accept(asked), nil
	})
	transport.Handle(calls, "confirm", func(_ scope.Scope, asked register.ConfirmRequest) (register.AcceptResponse, error) {
		return s.Acceptor.Confirm(asked), nil
	})
	transport.Handle(calls, "copy", func(_ scope.Scope, asked register.FetchRequest) (register.FetchResponse, error) {
		return s.Acceptor.Fetch(asked), nil
	})
	transport.Handle(calls, "held", func(_ scope.Scope, asked register.DigestRequest) (register.DigestResponse, error) {
		return s.tellHeld(asked), nil
	})
	transport.Handle(calls, "learn", func(_ scope.Scope, asked LearnAsk) (LearnTold, error) {
		err := s.Acceptor.Learn(asked.Slots)
		return LearnTold{Taken: err == nil}, err
	})
	transport.Handle(calls, "hold", func(_ scope.Scope, asked lease.Ask) (lease.Told, error) {
		told := s.Granter.Grant(asked)
		told.Generation = s.Acceptor.Voters().Generation
		return told, nil
	})
}

// AskHold asks all voters for a duty and tells what they granted.
// The own voter is asked first: while it refuses, the others are left in peace.
func (s *Seat) AskHold(ctx scope.Scope, asked lease.Ask) lease.Grants {
	voters := s.Acceptor.Voters()
	seats := voters.Members
	asked.Voters = voters.Fingerprint()
	granted := 0
	if s.Granter.Grant(asked).Granted {
		granted = 1
	} else if !asked.Renew && !asked.Release {
		return lease.Nobody
	}
	votes := make(chan bool, len(seats))
	for _, voter := range seats {
		go func() { votes <- s.askOne(ctx, voter.Address, asked) }()
	}
	for range seats {
		if 2*granted > len(seats) {
			return lease.Majority
		}
		select {
		case vote := <-votes:
			if vote {
				granted++
			}
		case <-ctx.Done():
			return lease.Fewer
		}
	}
	if 2*granted > len(seats) {
		return lease.Majority
	}
	return lease.Fewer
}

func (s *Seat) askOne(ctx scope.Scope, address ids.Address, asked lease.Ask) bool {
	if address == s.options.Address {
		return false
	}
	message, release := ctx.Detached().WithLimit(s.options.HoldSpan / 3)
	defer release()
	begin := message.Now()
	told, err := transport.Send[lease.Told](message, s.options.Messenger, address, "hold", asked)
	if err == nil {
		s.options.Contact.Heard(address, begin)
	}
	if told.Misfenced {
		s.mend(message, address, register.Fenced, told.Generation, err)
	}
	return err == nil && told.Granted
}

package voter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
)

const (
	// logName is the file of the write-ahead log.
	logName = "registers"
	// logDivisor is the part of the disk, one in so many, that the log may take: the
	// rest is for the file that compacts it, one that was quarantined, and others.
	logDivisor = 4
)

// Open opens the write-ahead log and returns its Voter. A log that is blank (but
// for the first start of a seed) or corrupted gets a new incarnation, which does
// not vote until it has joined. Where the disk fails, Open tries again until ctx
// ends; it returns wal.ErrUnsupportedVersion, and errors of records that can't be
// read, at once.
func Open(ctx context.Context, options Options) (*Voter, error) {
	options.Timing = options.Timing.withDefaults(cmp.Or(options.ReplaceAfter, options.Timeout))
	corrupted := false
	for {
		v := &Voter{
			options: options, clock: options.Clock, log: options.Log, settings: options.Settings,
			unknownSince: map[ids.Address]clock.Instant{},
		}
		v.liveness.options, v.liveness.clock = &v.options, v.clock
		records, err := v.openLog()
		if errors.Is(err, wal.ErrUnsupportedVersion) {
			return nil, err
		}
		if err == nil {
			corrupted = corrupted || v.wal.Corruption != nil
			if err := v.restore(records); err != nil {
				v.Close()
				return nil, err
			}
			if err = v.initialize(corrupted); err == nil {
				return v, nil
			}
			v.Close()
		}
		v.log.Warn().Str("part", "voter").Err(err).Msg("write-ahead log failed to open")
		if !clock.Wait(ctx, options.Clock, options.Timing.SuspectAfter) {
			return nil, err
		}
	}
}

// openLog opens the log and returns its records.
func (v *Voter) openLog() ([][]byte, error) {
	opened, records, err := wal.Open(wal.Options{
		FS: v.options.Disk, Name: logName, MaxBytes: v.settings.Limits.DiskMB << 20 / logDivisor,
		Snapshot: func() [][]byte { return v.Acceptor.Snapshot() },
	})
	if err != nil {
		return nil, err
	}
	v.wal = opened
	if corruption := opened.Corruption; corruption != nil {
		v.log.Warn().Str("part", "voter").Str("file", corruption.File).Str("quarantined_as", corruption.QuarantinedAs).
			Int64("offset_bytes", corruption.Offset).Int64("size_bytes", corruption.Bytes).Str("reason", corruption.Reason).
			Msg("write-ahead log corrupted, starting blank")
	}
	return records, nil
}

// restore makes the acceptor of the records, and the lessor.
func (v *Voter) restore(records [][]byte) error {
	acceptor, err := register.NewAcceptor(v.options.Address, records)
	if err != nil {
		return fmt.Errorf("%s: %w", logName, err)
	}
	acceptor.Attach(v.wal)
	v.Acceptor = acceptor
	v.Lessor = lease.NewLessor(v.clock, v.options.LeaseTTL, func() (bool, int64) {
		return v.Voting(), v.Acceptor.Voters().Fingerprint()
	})
	return nil
}

// initialize gives a disk that has no identity one: that of a first voter to a
// seed's on the first start, a new incarnation to all others. corrupted says that
// the disk has forgotten votes since the process started.
func (v *Voter) initialize(corrupted bool) error {
	formed := v.Acceptor.Voters().Generation > 0
	if v.Acceptor.Identified() && (formed || !v.options.FirstStart) {
		return nil
	}
	if v.options.FirstStart && !corrupted && slices.Contains(v.options.Seeds, v.options.Address) {
		return v.Acceptor.Bootstrap(initialVoters(v.options.Seeds))
	}
	return v.Acceptor.Identify(ids.Incarnation(random.Int64N(1<<62) + 1))
}

// initialVoters returns the seeds as voters, in the same order on all of them.
func initialVoters(seeds []ids.Address) register.VoterSet {
	voters := register.VoterSet{Generation: 1}
	for _, address := range slices.Sorted(slices.Values(seeds)) {
		voters.Members = append(voters.Members, register.Member{Address: address})
	}
	return voters
}

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
	// logName is the file name of the write-ahead log.
	logName = "registers"
	// logDivisor limits the log to 1/logDivisor of the disk. The rest is for the
	// file that replaces it in a compaction, a quarantined one, and other files.
	logDivisor = 4
)

// Open opens the write-ahead log and returns its Voter. If the log is blank
// (except on the first start of a seed) or corrupted, the voter gets a new
// incarnation, which does not vote until it has joined. If the disk fails, Open
// retries until ctx ends. It returns wal.ErrUnsupportedVersion, and errors of
// records that cannot be decoded, immediately.
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

// restore creates the acceptor from the records, and the lessor.
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

// initialize gives a disk that has no identity one: that of an initial voter if
// it is a seed's on the first start, and a new incarnation otherwise. On the
// first start it replaces an identity as long as no voter set is known. corrupted
// means that the disk has lost votes since the process started.
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

// initialVoters returns the seeds as voters, in an order that is the same on all
// of them.
func initialVoters(seeds []ids.Address) register.VoterSet {
	voters := register.VoterSet{Generation: 1}
	for _, address := range slices.Sorted(slices.Values(seeds)) {
		voters.Members = append(voters.Members, register.Member{Address: address})
	}
	return voters
}

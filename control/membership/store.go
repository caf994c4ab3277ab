package membership

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// Store keeps the known members on disk, so that a daemon still knows them after
// all of them were down at once: the shares of common limits depend on how many
// routers there could be. Its methods are called by one goroutine at a time.
type Store struct {
	// Clock and Log are those of Run.
	Clock clock.Clock
	Log   *log.Logger
	Table *Table
	Disk  wal.FS
	// Name is that of the file.
	Name string
	// ZoneSizes returns the router counts of the other zones, which are stored
	// with the members; RestoreZoneSizes takes them back. Both may be nil.
	ZoneSizes        func() []ZoneSize
	RestoreZoneSizes func([]ZoneSize)
	// savedDigest and savedSizes are what the file holds.
	savedDigest Digest
	savedSizes  []ZoneSize
}

// ZoneSize is how many routers a zone is known to have had.
type ZoneSize struct {
	Zone    ids.Zone `avro:"Zone"`
	Routers int64    `avro:"Routers"`
}

// SchemaName names the stored and sent form; it must never change.
func (ZoneSize) SchemaName() string { return "Size_23" }

// storedMembers is the content of the file.
type storedMembers struct {
	Members   []Member   `avro:"Members"`
	ZoneSizes []ZoneSize `avro:"Sizes"`
}

// SchemaName names the stored and sent form; it must never change.
func (storedMembers) SchemaName() string { return "kept_23" }

// Load merges the stored members into the table. All of them count as removed
// in the oldest incarnation, until they are heard of. A file that can't be
// decoded counts as none; an error is one of reading the disk.
func (s *Store) Load() error {
	body, err := s.Disk.Read(s.Name)
	if err != nil || len(body) == 0 {
		return err
	}
	stored, err := transport.Unmarshal[storedMembers](body)
	if err != nil {
		// The members will be heard of again.
		return nil
	}
	for index := range stored.Members {
		member := &stored.Members[index]
		member.State, member.Incarnation, member.Ready = Removed, 0, false
	}
	s.Table.Merge(stored.Members)
	if s.RestoreZoneSizes != nil {
		s.RestoreZoneSizes(stored.ZoneSizes)
	}
	return nil
}

// Save writes the members and the sizes of zones if either changed since the last
// successful Save. Sizes are published after the members are known, so the members alone
// do not tell.
func (s *Store) Save() error {
	digest := s.Table.Digest()
	var sizes []ZoneSize
	if s.ZoneSizes != nil {
		sizes = s.ZoneSizes()
	}
	if digest == s.savedDigest && slices.Equal(sizes, s.savedSizes) {
		return nil
	}
	stored := storedMembers{Members: s.Table.Members(), ZoneSizes: sizes}
	body, err := transport.Marshal(stored)
	if err != nil {
		return err
	}
	if err := wal.ReplaceFile(s.Disk, s.Name, body); err != nil {
		return err
	}
	s.savedDigest, s.savedSizes = digest, sizes
	return nil
}

// Run saves once each interval until ctx ends.
func (s *Store) Run(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, s.Clock, interval) {
		if err := s.Save(); err != nil {
			s.Log.Warn().Str("part", "members").Err(err).Msg("saving members failed")
		}
	}
}

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

// Store persists the known members, so that a daemon still knows them after all of
// them were down at the same time: each router's share of a common limit depends on
// how many routers there could be. Store is not safe for concurrent use.
type Store struct {
	// Clock and Log are used only by Run.
	Clock clock.Clock
	Log   *log.Logger
	Table *Table
	Disk  wal.FS
	// Name is the name of the file on Disk.
	Name string
	// ZoneSizes returns the known router counts of zones, which are stored with the
	// members. RestoreZoneSizes receives them on Load. Both may be nil.
	ZoneSizes        func() []ZoneSize
	RestoreZoneSizes func([]ZoneSize)
	// savedDigest and savedSizes describe what the last successful Save wrote.
	savedDigest Digest
	savedSizes  []ZoneSize
}

// ZoneSize is the number of routers that a zone is known to have had.
type ZoneSize struct {
	Zone    ids.Zone `avro:"Zone"`
	Routers int64    `avro:"Routers"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (ZoneSize) SchemaName() string { return "Size_23" }

// storedMembers is the content of the file that Store writes.
type storedMembers struct {
	Members   []Member   `avro:"Members"`
	ZoneSizes []ZoneSize `avro:"Sizes"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (storedMembers) SchemaName() string { return "kept_23" }

// Load merges the stored members into the table, each as Removed with incarnation 0,
// so that any later report overrides them. A file that can't be decoded is treated as
// missing; Load returns an error only if reading the file fails.
func (s *Store) Load() error {
	body, err := s.Disk.Read(s.Name)
	if err != nil || len(body) == 0 {
		return err
	}
	stored, err := transport.Unmarshal[storedMembers](body)
	if err != nil {
		// Not fatal: the members become known again through probes and gossip.
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

// Save writes the members and the zone sizes if either changed since the last
// successful Save. Sizes are published after the members are known, so comparing the
// members alone would miss a changed size.
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

// Run calls Save once per interval until ctx ends, and logs its errors.
func (s *Store) Run(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, s.Clock, interval) {
		if err := s.Save(); err != nil {
			s.Log.Warn().Str("part", "members").Err(err).Msg("saving members failed")
		}
	}
}

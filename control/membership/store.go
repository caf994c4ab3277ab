package membership

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// Store writes the members that a daemon knows to its disk, so that it still
// knows them after everything was down at once: shares of common bounds depend
// on how many routers there could be.
type Store struct {
	Table *Table
	Disk  wal.FS
	Name  string
	// ZoneSizes gives what else is kept with the members: how many routers the other
	// zones had; Sized is told of them when they are read back.
	ZoneSizes        func() []ZoneSize
	RestoreZoneSizes func([]ZoneSize)
	savedDigest      Digest
}

// ZoneSize is how many routers a zone is known to have had.
type ZoneSize struct {
	Zone    ids.Zone `avro:"Zone"`
	Routers int64    `avro:"Routers"`
}

// SchemaName names the stored and sent form; it must never change.
func (ZoneSize) SchemaName() string { return "Size_23" }

type storedMembers struct {
	Members   []Member   `avro:"Members"`
	ZoneSizes []ZoneSize `avro:"Sizes"`
}

// SchemaName names the stored and sent form; it must never change.
func (storedMembers) SchemaName() string { return "kept_23" }

// Load takes what the disk holds. Nobody is known to be there until it is heard
// of, so all stand as removed, in the oldest of lives.
func (s *Store) Load() error {
	body, err := s.Disk.Read(s.Name)
	if err != nil || len(body) == 0 {
		return err
	}
	read, err := transport.Unmarshal[storedMembers](body)
	if err != nil {
		// A torn file is as good as none: the members will be heard of again.
		return nil
	}
	for index := range read.Members {
		read.Members[index].State, read.Members[index].Incarnation, read.Members[index].Ready = Removed, 0, false
	}
	s.Table.Merge(read.Members)
	if s.RestoreZoneSizes != nil {
		s.RestoreZoneSizes(read.ZoneSizes)
	}
	return nil
}

// Save writes the members if they changed since the last time.
func (s *Store) Save() error {
	sums := s.Table.Digest()
	if sums == s.savedDigest {
		return nil
	}
	whole := storedMembers{Members: s.Table.Members()}
	if s.ZoneSizes != nil {
		whole.ZoneSizes = s.ZoneSizes()
	}
	body, err := transport.Marshal(whole)
	if err != nil {
		return err
	}
	err = wal.ReplaceFile(s.Disk, s.Name, body)
	if err == nil {
		s.savedDigest = sums
	}
	return err
}

// Run saves now and then until the scope ends.
func (s *Store) Run(ctx scope.Scope, every clock.Span) {
	for ctx.Wait(every) {
		if err := s.Save(); err != nil {
			ctx.Log.Warn().Str("part", "members").Err(err).Msg("the members are not saved")
		}
	}
}

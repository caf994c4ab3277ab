package membership

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// Keeper writes the members that a daemon knows to its disk, so that it still
// knows them after everything was down at once: shares of common bounds depend
// on how many routers there could be.
type Keeper struct {
	Table *Table
	Disk  wal.FS
	Name  string
	// Sizes gives what else is kept with the members: how many routers the other
	// zones had; Sized is told of them when they are read back.
	Sizes func() []Size
	Sized func([]Size)
	told  Sums
}

// Size is how many routers a zone is known to have had.
type Size struct {
	Zone    ids.Zone `avro:"Zone"`
	Routers int64    `avro:"Routers"`
}

// SchemaName names the stored and sent form; it must never change.
func (Size) SchemaName() string { return "Size_23" }

type kept struct {
	Members []Member `avro:"Members"`
	Sizes   []Size   `avro:"Sizes"`
}

// SchemaName names the stored and sent form; it must never change.
func (kept) SchemaName() string { return "kept_23" }

// Load takes what the disk holds. Nobody is known to be there until it is heard
// of, so all stand as removed, in the oldest of lives.
func (k *Keeper) Load() error {
	body, err := k.Disk.Read(k.Name)
	if err != nil || len(body) == 0 {
		return err
	}
	read, err := transport.Unpack[kept](body)
	if err != nil {
		// A torn file is as good as none: the members will be heard of again.
		return nil
	}
	for index := range read.Members {
		read.Members[index].State, read.Members[index].Incarnation, read.Members[index].Ready = Removed, 0, false
	}
	k.Table.Merge(read.Members)
	if k.Sized != nil {
		k.Sized(read.Sizes)
	}
	return nil
}

// Save writes the members if they changed since the last time.
func (k *Keeper) Save() error {
	sums := k.Table.Sums()
	if sums == k.told {
		return nil
	}
	whole := kept{Members: k.Table.Members()}
	if k.Sizes != nil {
		whole.Sizes = k.Sizes()
	}
	body, err := transport.Pack(whole)
	if err != nil {
		return err
	}
	err = wal.ReplaceFile(k.Disk, k.Name, body)
	if err == nil {
		k.told = sums
	}
	return err
}

// Run saves now and then until the scope ends.
func (k *Keeper) Run(ctx scope.Scope, every clock.Span) {
	for ctx.Wait(every) {
		if err := k.Save(); err != nil {
			ctx.Log.Warn().Str("part", "members").Err(err).Msg("the members are not saved")
		}
	}
}

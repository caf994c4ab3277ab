package simulation

import (
	"math"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
	"onyxwell/simulation/simdisk"
)

// countBlank counts the votes of disks that don't vote.
func countBlank() plant {
	verdict := func(told *register.Verdict) {
		if *told == register.Fenced {
			*told = register.Granted
		}
	}
	accept := answers("/accept", func(_ *World, _ *Machine, _ *message, told *register.AcceptResponse) { verdict(&told.Verdict) })
	promise := answers("/promise", func(_ *World, _ *Machine, _ *message, told *register.PrepareResponse) { verdict(&told.Verdict) })
	return plant{Answer: func(world *World, target *Machine, sent *message, got answered) answered {
		return promise.Answer(world, target, sent, accept.Answer(world, target, sent, got))
	}}
}

// keepIdentity leaves a wiped disk its identity, so that it votes at once.
func keepIdentity() plant {
	var lock sync.Mutex
	known := map[*Machine]ids.Incarnation{}
	return plant{
		Wiped: func(machine *Machine) {
			for _, seat := range machine.world.voters().Members {
				if hostOf(seat.Address) == machine.ip {
					lock.Lock()
					known[machine] = seat.Incarnation
					lock.Unlock()
				}
			}
		},
		Begin: func(ctx scope.Scope, life *life) {
			lock.Lock()
			incarnation, wiped := known[life.machine]
			delete(known, life.machine)
			lock.Unlock()
			if wiped {
				rewrite(life, func(*register.Acceptor) (ids.Incarnation, []register.Slot) { return incarnation, nil })
			}
		},
	}
}

// rewrite has a disk hold something else than it does.
func rewrite(life *life, change func(was *register.Acceptor) (ids.Incarnation, []register.Slot)) {
	disk := life.machine.disk.Mount()
	opened, records, err := wal.Open(wal.Options{FS: disk, Name: "registers", Snapshot: func() [][]byte { return nil }})
	if err != nil {
		return
	}
	opened.Close()
	was, err := register.NewAcceptor("", records)
	if err != nil || (len(records) > 0 && !was.Identified()) {
		return
	}
	_ = disk.Remove("registers")
	made, _ := register.NewAcceptor("", nil)
	opened, _, err = wal.Open(wal.Options{FS: disk, Name: "registers", Snapshot: made.Snapshot})
	if err != nil {
		return
	}
	defer opened.Close()
	made.Attach(opened)
	incarnation, slots := change(was)
	_ = made.Identify(incarnation)
	_ = made.Learn(slots)
}

// forgetAtStart has a process not know what its disk had promised and accepted,
// but for the voters.
func forgetAtStart() plant {
	return plant{Begin: func(_ scope.Scope, life *life) {
		if life.number == 1 {
			return
		}
		rewrite(life, func(was *register.Acceptor) (ids.Incarnation, []register.Slot) {
			return was.Incarnation(), []register.Slot{was.Slot(register.VotersKey)}
		})
	}}
}

// learnLittle has a newcomer learn the voters and nothing else.
func learnLittle() plant {
	return answers("/held", func(_ *World, _ *Machine, _ *message, told *register.DigestResponse) {
		kept := told.Keys[:0]
		for _, held := range told.Keys {
			if held.Key == register.VotersKey {
				kept = append(kept, held)
			}
		}
		told.Keys = kept
	})
}

// fillNoSeat has voters refuse every change of the voters.
func fillNoSeat() plant {
	return messages("/accept", func(_ *World, sent *message) (answered, bool) {
		asked, _ := transport.Unmarshal[register.AcceptRequest](sent.body[markLength:])
		return say(register.AcceptResponse{Verdict: register.Superseded}), asked.Key == register.VotersKey
	})
}

// learnFromOne has all answers to a newcomer tell what one voter holds: the one
// that holds least.
func learnFromOne() plant {
	return answers("/held", func(world *World, _ *Machine, sent *message, told *register.DigestResponse) {
		if votes(world.named[sent.from]) {
			return
		}
		least := int64(math.MaxInt64)
		for _, seat := range world.voters().Members {
			one := world.hosts[hostOf(seat.Address)]
			if one.name == sent.from || !votes(one) {
				continue
			}
			var keys []register.KeyDigest
			sum := int64(0)
			for _, slot := range one.life.control.Slots() {
				sum += slot.Accepted.Sequence
				keys = append(keys, register.KeyDigest{Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence})
			}
			if sum < least {
				least, told.Unchanged, told.Keys = sum, false, keys
			}
		}
	})
}

func votes(machine *Machine) bool {
	return machine.life != nil && machine.life.control != nil && machine.life.control.IsVoter()
}

// noRepair has voters see no difference between what they hold.
func noRepair() plant {
	return answers("/held", func(world *World, _ *Machine, sent *message, told *register.DigestResponse) {
		if votes(world.named[sent.from]) {
			told.Unchanged, told.Keys = true, nil
		}
	})
}

type meddled struct {
	wal.FS
	noSync, noFolder bool
}

type unsynced struct{ wal.File }

func (unsynced) Sync() error { return nil }

func (m meddled) file(file wal.File, err error) (wal.File, error) {
	if err == nil && m.noSync {
		file = unsynced{file}
	}
	return file, err
}

func (m meddled) Create(name string) (wal.File, error) {
	return m.file(m.FS.Create(name))
}

func (m meddled) Append(name string, length int64) (wal.File, error) {
	return m.file(m.FS.Append(name, length))
}

func (m meddled) SyncDir() error {
	if m.noFolder {
		return nil
	}
	return m.FS.SyncDir()
}

// readTorn reads a damaged journal up to the damage, as if its tail were torn.
type readTorn struct{ wal.FS }

func (r readTorn) Read(name string) ([]byte, error) {
	content, err := r.FS.Read(name)
	if err != nil || name != "registers" {
		return content, err
	}
	trial := simdisk.New(simdisk.Options{}).Mount()
	file, _ := trial.Create(name)
	_, _ = file.Write(content)
	opened, _, err := wal.Open(wal.Options{FS: trial, Name: name, Snapshot: func() [][]byte { return nil }})
	if err != nil {
		return content, nil
	}
	opened.Close()
	if opened.Corruption != nil {
		return content[:opened.Corruption.Offset], nil
	}
	return content, nil
}

func damageIsTorn() plant {
	return plant{Disk: func(disk wal.FS) wal.FS { return readTorn{disk} }}
}

func noSync() plant {
	return plant{Disk: func(disk wal.FS) wal.FS { return meddled{FS: disk, noSync: true} }}
}

func noFolderSync() plant {
	return plant{Disk: func(disk wal.FS) wal.FS { return meddled{FS: disk, noFolder: true} }}
}

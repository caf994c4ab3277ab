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

// countBlankVotes counts the votes of disks that don't vote.
func countBlankVotes() bug {
	verdict := func(told *register.Verdict) {
		if *told == register.Fenced {
			*told = register.Granted
		}
	}
	accept := rewriteReplies("/accept", func(_ *Cluster, _ *Machine, _ *message, told *register.AcceptResponse) { verdict(&told.Verdict) })
	promise := rewriteReplies("/promise", func(_ *Cluster, _ *Machine, _ *message, told *register.PrepareResponse) { verdict(&told.Verdict) })
	return bug{InterceptReply: func(world *Cluster, target *Machine, sent *message, got reply) reply {
		return promise.InterceptReply(world, target, sent, accept.InterceptReply(world, target, sent, got))
	}}
}

// keepIdentity leaves a wiped disk its identity, so that it votes at once.
func keepIdentity() bug {
	var lock sync.Mutex
	known := map[*Machine]ids.Incarnation{}
	return bug{
		OnWipe: func(machine *Machine) {
			for _, seat := range machine.cluster.newestVoters().Members {
				if hostOf(seat.Address) == machine.ip {
					lock.Lock()
					known[machine] = seat.Incarnation
					lock.Unlock()
				}
			}
		},
		BeforeStart: func(ctx scope.Scope, life *process) {
			lock.Lock()
			incarnation, wiped := known[life.machine]
			delete(known, life.machine)
			lock.Unlock()
			if wiped {
				rewriteDisk(life, func(*register.Acceptor) (ids.Incarnation, []register.Slot) { return incarnation, nil })
			}
		},
	}
}

// rewriteDisk has a disk hold something else than it does.
func rewriteDisk(life *process, change func(was *register.Acceptor) (ids.Incarnation, []register.Slot)) {
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
func forgetAtStart() bug {
	return bug{BeforeStart: func(_ scope.Scope, life *process) {
		if life.number == 1 {
			return
		}
		rewriteDisk(life, func(was *register.Acceptor) (ids.Incarnation, []register.Slot) {
			return was.Incarnation(), []register.Slot{was.Slot(register.VotersKey)}
		})
	}}
}

// learnVotersOnly has a newcomer learn the voters and nothing else.
func learnVotersOnly() bug {
	return rewriteReplies("/held", func(_ *Cluster, _ *Machine, _ *message, told *register.DigestResponse) {
		kept := told.Keys[:0]
		for _, held := range told.Keys {
			if held.Key == register.VotersKey {
				kept = append(kept, held)
			}
		}
		told.Keys = kept
	})
}

// rejectVoterChanges has voters refuse every change of the voters.
func rejectVoterChanges() bug {
	return interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		asked, _ := transport.Unmarshal[register.AcceptRequest](sent.body[headerLength:])
		return okReply(register.AcceptResponse{Verdict: register.Superseded}), asked.Key == register.VotersKey
	})
}

// learnFromLeastComplete has all answers to a newcomer tell what one voter holds: the one
// that holds least.
func learnFromLeastComplete() bug {
	return rewriteReplies("/held", func(world *Cluster, _ *Machine, sent *message, told *register.DigestResponse) {
		if isVoter(world.machinesByName[sent.from]) {
			return
		}
		least := int64(math.MaxInt64)
		for _, seat := range world.newestVoters().Members {
			one := world.machinesByIP[hostOf(seat.Address)]
			if one.name == sent.from || !isVoter(one) {
				continue
			}
			var keys []register.KeyDigest
			sum := int64(0)
			for _, slot := range one.process.control.Slots() {
				sum += slot.Accepted.Sequence
				keys = append(keys, register.KeyDigest{Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence})
			}
			if sum < least {
				least, told.Unchanged, told.Keys = sum, false, keys
			}
		}
	})
}

func isVoter(machine *Machine) bool {
	return machine.process != nil && machine.process.control != nil && machine.process.control.IsVoter()
}

// noRepair has voters see no difference between what they hold.
func noRepair() bug {
	return rewriteReplies("/held", func(world *Cluster, _ *Machine, sent *message, told *register.DigestResponse) {
		if isVoter(world.machinesByName[sent.from]) {
			told.Unchanged, told.Keys = true, nil
		}
	})
}

type syncSkippingFS struct {
	wal.FS
	noSync, noFolder bool
}

type unsyncedFile struct{ wal.File }

func (unsyncedFile) Sync() error { return nil }

func (s syncSkippingFS) file(file wal.File, err error) (wal.File, error) {
	if err == nil && s.noSync {
		file = unsyncedFile{file}
	}
	return file, err
}

func (s syncSkippingFS) Create(name string) (wal.File, error) {
	return s.file(s.FS.Create(name))
}

func (s syncSkippingFS) Append(name string, length int64) (wal.File, error) {
	return s.file(s.FS.Append(name, length))
}

func (s syncSkippingFS) SyncDir() error {
	if s.noFolder {
		return nil
	}
	return s.FS.SyncDir()
}

// truncatingFS reads a damaged journal up to the damage, as if its tail were torn.
type truncatingFS struct{ wal.FS }

func (t truncatingFS) Read(name string) ([]byte, error) {
	content, err := t.FS.Read(name)
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

func treatDamageAsTorn() bug {
	return bug{WrapFS: func(disk wal.FS) wal.FS { return truncatingFS{disk} }}
}

func noSync() bug {
	return bug{WrapFS: func(disk wal.FS) wal.FS { return syncSkippingFS{FS: disk, noSync: true} }}
}

func noFolderSync() bug {
	return bug{WrapFS: func(disk wal.FS) wal.FS { return syncSkippingFS{FS: disk, noFolder: true} }}
}

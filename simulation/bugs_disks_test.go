package simulation

import (
	"math"
	"slices"
	"strings"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
	"onyxwell/simulation/simdisk"
)

// countBlankVotes counts the votes of disks that have no vote.
func countBlankVotes() bug {
	grantFenced := func(verdict *register.Verdict) {
		if *verdict == register.Fenced {
			*verdict = register.Granted
		}
	}
	accept := rewriteReplies("/accept", func(_ *Cluster, _ *Machine, _ *message, response *register.AcceptResponse) {
		grantFenced(&response.Verdict)
	})
	promise := rewriteReplies("/promise", func(_ *Cluster, _ *Machine, _ *message, response *register.PrepareResponse) {
		grantFenced(&response.Verdict)
	})
	return bug{InterceptReply: func(cluster *Cluster, target *Machine, sent *message, resp reply) reply {
		return promise.InterceptReply(cluster, target, sent, accept.InterceptReply(cluster, target, sent, resp))
	}}
}

// keepIdentity leaves a wiped disk its identity, so that it votes at once.
func keepIdentity() bug {
	var mu sync.Mutex
	lostIdentity := map[*Machine]ids.Incarnation{}
	return bug{
		OnWipe: func(machine *Machine) {
			for _, member := range machine.cluster.newestVoters().Members {
				if hostOf(member.Address) == machine.ip {
					mu.Lock()
					lostIdentity[machine] = member.Incarnation
					mu.Unlock()
				}
			}
		},
		BeforeStart: func(p *process) {
			mu.Lock()
			incarnation, wiped := lostIdentity[p.machine]
			delete(lostIdentity, p.machine)
			mu.Unlock()
			if wiped {
				rewriteDisk(p, func(*register.Acceptor) (ids.Incarnation, []register.Slot) { return incarnation, nil })
			}
		},
	}
}

// rewriteDisk replaces what a disk holds.
func rewriteDisk(p *process, change func(before *register.Acceptor) (ids.Incarnation, []register.Slot)) {
	disk := p.machine.disk.Mount()
	opened, records, err := wal.Open(wal.Options{FS: disk, Name: logFile, Snapshot: func() [][]byte { return nil }})
	if err != nil {
		return
	}
	opened.Close()
	before, err := register.NewAcceptor("", records)
	if err != nil || (len(records) > 0 && !before.Identified()) {
		return
	}
	_ = disk.Remove(logFile)
	after, _ := register.NewAcceptor("", nil)
	opened, _, err = wal.Open(wal.Options{FS: disk, Name: logFile, Snapshot: after.Snapshot})
	if err != nil {
		return
	}
	defer opened.Close()
	after.Attach(opened)
	incarnation, slots := change(before)
	_ = after.Identify(incarnation)
	_ = after.Learn(slots)
}

// forgetAtStart has a process start without what its disk had promised and
// accepted, but for the voter set.
func forgetAtStart() bug {
	return bug{BeforeStart: func(p *process) {
		if p.number == 1 {
			return
		}
		rewriteDisk(p, func(before *register.Acceptor) (ids.Incarnation, []register.Slot) {
			return before.Incarnation(), []register.Slot{before.Slot(register.VotersKey)}
		})
	}}
}

// learnVotersOnly has a new voter learn the voter set and nothing else.
func learnVotersOnly() bug {
	return rewriteReplies("/held", func(_ *Cluster, _ *Machine, _ *message, response *register.DigestResponse) {
		response.Keys = slices.DeleteFunc(response.Keys, func(digest register.KeyDigest) bool { return digest.Key != register.VotersKey })
	})
}

// rejectVoterChanges has acceptors reject every change of the voter set.
func rejectVoterChanges() bug {
	return interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		req, _ := transport.Unmarshal[register.AcceptRequest](sent.body[headerLength:])
		return okReply(register.AcceptResponse{Verdict: register.Superseded}), req.Key == register.VotersKey
	})
}

// learnFromLeastComplete has all digests that a new voter gets be those of one
// voter: the one that holds least.
func learnFromLeastComplete() bug {
	return rewriteReplies("/held", func(cluster *Cluster, _ *Machine, sent *message, response *register.DigestResponse) {
		if isVoter(cluster.machinesByName[sent.from]) {
			return
		}
		least := int64(math.MaxInt64)
		for _, member := range cluster.newestVoters().Members {
			machine := cluster.machinesByIP[hostOf(member.Address)]
			if machine.name == sent.from || !isVoter(machine) {
				continue
			}
			var keys []register.KeyDigest
			sum := int64(0)
			for _, slot := range machine.process.controller.Slots() {
				sum += slot.Accepted.Sequence
				keys = append(keys, register.KeyDigest{Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence})
			}
			if sum < least {
				least, response.Unchanged, response.Keys = sum, false, keys
			}
		}
	})
}

// isVoter reports whether a controller runs on the machine and votes.
func isVoter(machine *Machine) bool {
	return machine.process != nil && machine.process.controller != nil && machine.process.controller.IsVoter()
}

// noRepair has the digests of voters never differ, so that none is repaired.
func noRepair() bug {
	return rewriteReplies("/held", func(cluster *Cluster, _ *Machine, sent *message, response *register.DigestResponse) {
		if isVoter(cluster.machinesByName[sent.from]) {
			response.Unchanged, response.Keys = true, nil
		}
	})
}

// syncSkippingFS skips the syncs of files, or those of the folder.
type syncSkippingFS struct {
	wal.FS
	noSync, noFolder bool
	// onlyFile restricts noSync to one file; "" is all.
	onlyFile string
}

// unsyncedFile is a file whose syncs do nothing.
type unsyncedFile struct{ wal.File }

func (unsyncedFile) Sync() error { return nil }

func (s syncSkippingFS) file(name string, file wal.File, err error) (wal.File, error) {
	if err == nil && s.noSync && strings.HasPrefix(name, s.onlyFile) {
		file = unsyncedFile{file}
	}
	return file, err
}

func (s syncSkippingFS) Create(name string) (wal.File, error) {
	file, err := s.FS.Create(name)
	return s.file(name, file, err)
}

func (s syncSkippingFS) Append(name string, length int64) (wal.File, error) {
	file, err := s.FS.Append(name, length)
	return s.file(name, file, err)
}

func (s syncSkippingFS) SyncDir() error {
	if s.noFolder {
		return nil
	}
	return s.FS.SyncDir()
}

// truncatingFS reads a damaged log up to the damage, as if its tail were torn.
type truncatingFS struct{ wal.FS }

func (t truncatingFS) Read(name string) ([]byte, error) {
	content, err := t.FS.Read(name)
	if err != nil || name != logFile {
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

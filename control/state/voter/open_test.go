package voter

import (
	"errors"
	"runtime"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
	"onyxwell/simulation/simdisk"
)

// TestOpen_damagedWALGetsNewIncarnation corrupts a voter's log. The votes in it
// are lost, so the disk must not count as the one that cast them. On each start
// one disk operation fails, a later one each time.
func TestOpen_damagedWALGetsNewIncarnation(t *testing.T) {
	fake, operations, failing := clock.NewFake(), 0, 0
	disk := simdisk.New(simdisk.Options{Delay: func(string, int) error {
		if operations++; operations == failing {
			return errors.New("injected disk error")
		}
		return nil
	}})
	open := func(firstStart bool) *Voter {
		operations, failing = 0, failing+1
		ctx := scope.New(scope.Options{Clock: fake, Settings: &settings.Settings{}})
		opened := make(chan *Voter)
		go func() {
			v, err := Open(ctx, Options{Clock: fake, Log: ctx.Log, Settings: ctx.Settings, Address: "a", Disk: disk.Mount(), FirstStart: firstStart, Seeds: []ids.Address{"a"}, Timeout: time.Second})
			if err != nil {
				t.Error(err)
			}
			opened <- v
		}()
		for {
			select {
			case v := <-opened:
				return v
			default:
				fake.AdvanceToNext()
				runtime.Gosched()
			}
		}
	}
	v := open(true)
	if !v.Voting() || v.Acceptor.Incarnation() != 0 {
		t.Fatalf("a seed does not vote: %+v", v.Acceptor.Voters())
	}
	fence := register.FencingToken{Generation: 1, Fingerprint: v.Acceptor.Voters().Fingerprint()}
	if resp := v.Acceptor.Prepare(register.PrepareRequest{Fence: fence, Key: "k", Epoch: ids.Epoch{Number: 1, Owner: "a"}}); resp.Verdict != register.Granted {
		t.Fatalf("the prepare request was not granted: %+v", resp)
	}
	v.Close()
	if disk.FlipBit("registers") < 0 {
		t.Fatal("the log has no synced bytes to damage")
	}
	for _, firstStart := range []bool{true, false} {
		disk.Kill()
		v = open(firstStart)
		if v.Voting() || !v.Acceptor.Identified() || v.Acceptor.Incarnation() == 0 || len(v.Acceptor.Snapshot()) != 1 {
			t.Fatalf("after the corruption, first start %v: the disk votes, has no new incarnation or keeps records: %+v", firstStart, v.Acceptor.Fetch(register.FetchRequest{}))
		}
		v.Close()
	}
}

// TestOpen_retriesSoonAfterDiskErrors has all disk operations fail for a second.
// Open must succeed within SuspectAfter of that, however long the Timeout.
func TestOpen_retriesSoonAfterDiskErrors(t *testing.T) {
	fake := clock.NewFake()
	recovered := fake.Now().Add(time.Second)
	disk := simdisk.New(simdisk.Options{Delay: func(string, int) error {
		if fake.Now() < recovered {
			return errors.New("injected disk error")
		}
		return nil
	}})
	opened := make(chan error)
	go func() {
		ctx := scope.New(scope.Options{Clock: fake, Settings: &settings.Settings{}})
		v, err := Open(ctx, Options{Clock: fake, Log: ctx.Log, Settings: ctx.Settings, Address: "a", Disk: disk.Mount(), FirstStart: true, Seeds: []ids.Address{"a"}, Timeout: 10 * time.Second, Timing: testTiming})
		if err == nil {
			v.Close()
		}
		opened <- err
	}()
	for {
		select {
		case err := <-opened:
			if delay := fake.Now().Since(recovered); err != nil || delay < 0 || delay > testTiming.SuspectAfter {
				t.Fatalf("Open returned %v after the disk recovered, with error %v", delay, err)
			}
			return
		default:
			fake.AdvanceToNext()
			runtime.Gosched()
		}
	}
}

// TestOpen_undecodableRecordNamesFile opens a log with a record in a form that
// this build does not know: no voter is returned, and the error names the file,
// the record and the remedy.
func TestOpen_undecodableRecordNamesFile(t *testing.T) {
	disk := simdisk.New(simdisk.Options{})
	log, _, err := wal.Open(wal.Options{FS: disk.Mount(), Name: logName, Snapshot: func() [][]byte { return nil }})
	if err != nil {
		t.Fatal(err)
	}
	body, err := transport.Marshal(register.Slot{Key: "k"})
	if err == nil {
		err = log.Save(body)
	}
	if err != nil {
		t.Fatal(err)
	}
	log.Close()
	ctx := scope.New(scope.Options{Clock: clock.NewFake()})
	v, err := Open(ctx, Options{Clock: ctx.Clock, Log: ctx.Log, Settings: ctx.Settings, Address: "a", Disk: disk.Mount(), Timeout: time.Second})
	var recordErr *register.RecordError
	if v != nil || !errors.As(err, &recordErr) {
		t.Fatalf("Open returned %v and error %v, want no voter and a *register.RecordError", v, err)
	}
	for _, want := range []string{"registers: ", "stored record 1 of 1", "has form", "start the build that wrote the file"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not contain %q", err, want)
		}
	}
}

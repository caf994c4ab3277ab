package simulation

import (
	"time"

	"onyxwell/base/ids"
	"onyxwell/simulation/simdisk"
)

// Machine is a simulated machine. It outlives the processes that run on it, of
// which it has one at a time. Its fields change in events alone.
type Machine struct {
	cluster *Cluster
	name    string
	ip      string
	zone    ids.Zone
	region  ids.Region
	// isRouter says that it runs a router, not a controller.
	isRouter  bool
	disk      *simdisk.Disk
	diskFault diskFault
	// process is nil while none runs.
	process *process
	// frozen machines run nothing; what reaches them meanwhile is deferred.
	frozen   bool
	deferred []func()
	// A machine that is poweredOff may come back, one that was removed never does,
	// and one that is leaving starts no further process.
	poweredOff bool
	removed    bool
	leaving    bool
	// activeFaults is how many faults it is in that count as its loss;
	// lastFaultChange is when one last began or ended.
	activeFaults    int
	lastFaultChange time.Duration
	// diskLost says that it has lost its disk and had no time to catch up since in which
	// nothing was cut.
	diskLost bool
	// starts counts its processes.
	starts    int
	durable   durableState
	diskDraws int
}

// diskFault is what is wrong with a disk at present.
type diskFault struct {
	// stalled has every operation wait in waiting; a slowdown above 1 stretches
	// each by that factor.
	stalled       bool
	waiting       []func()
	slowdown      float64
	refusesWrites bool
	full          bool
}

// clear ends the faults; operations that wait still have to be let go on.
func (d *diskFault) clear() { d.stalled, d.slowdown, d.refusesWrites, d.full = false, 0, false, false }

// kill ends the process at once; all that it wrote stays on the disk.
func (m *Machine) kill() {
	if m.process == nil {
		return
	}
	m.recordDurableState()
	m.disk.Kill()
	close(m.process.dead)
	m.process.cancel()
	m.process = nil
	m.frozen = false
	m.resume()
}

// shutDown ends the process as SIGTERM does: it runs on until it has stopped.
func (m *Machine) shutDown() {
	if m.process != nil {
		m.process.stopping = true
		m.process.cancel()
	}
}

// losePower kills the process and loses what no sync covered.
func (m *Machine) losePower() {
	m.kill()
	m.disk.LosePower()
	m.poweredOff = true
}

// wipe loses the disk with all it holds.
func (m *Machine) wipe() {
	m.losePower()
	m.disk.Wipe()
	m.diskLost = true
	m.recordDiskLoss()
	if onWipe := m.cluster.options.bug.OnWipe; onWipe != nil {
		onWipe(m)
	}
}

// powerOn ends an outage and starts a process.
func (m *Machine) powerOn() {
	m.poweredOff = false
	m.start(false)
}

func (m *Machine) unfreeze() {
	if m.frozen {
		m.frozen = false
		m.resume()
	}
}

// resume runs what was deferred while the machine was frozen.
func (m *Machine) resume() {
	deferred := m.deferred
	m.deferred = nil
	for _, action := range deferred {
		action()
	}
	m.unstallDisk()
}

// unstallDisk lets the operations go on that wait for a stalled disk.
func (m *Machine) unstallDisk() {
	waiting := m.diskFault.waiting
	m.diskFault.waiting = nil
	for _, proceed := range waiting {
		proceed()
	}
}

// diskBytesPerSecond is the throughput of a disk.
const diskBytesPerSecond = 120 << 20

// diskDelay blocks a disk operation as long as the disk takes for it, or fails it.
func (m *Machine) diskDelay(op string, bytes int) error {
	process := m.process
	if process == nil || process.isDead() {
		return simdisk.ErrProcessDead
	}
	fault, cluster := &m.diskFault, m.cluster
	if fault.refusesWrites && op != simdisk.OpRead && op != simdisk.OpAppend {
		return errDiskRefused
	}
	if fault.full && op == simdisk.OpWrite {
		return simdisk.ErrFull
	}
	latency := time.Duration(bytes) * time.Second / diskBytesPerSecond
	if op == simdisk.OpSync || op == simdisk.OpSyncDir {
		latency += cluster.options.Site.SyncLatency
	}
	if fault.slowdown > 1 {
		latency = time.Duration(float64(latency) * fault.slowdown)
	}
	if latency == 0 && !fault.stalled {
		return nil
	}
	done := make(chan struct{})
	proceed := func() { close(done) }
	if fault.stalled {
		cluster.mu.Lock()
		fault.waiting = append(fault.waiting, func() { m.deliver(proceed) })
		cluster.mu.Unlock()
	} else {
		m.timer(latency, proceed)
	}
	select {
	case <-done:
		return nil
	case <-process.dead:
		return simdisk.ErrProcessDead
	}
}

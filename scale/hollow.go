package scale

import (
	"context"
	"fmt"
	"sync"
	"time"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
	"onyxwell/control/daemon"
	"onyxwell/control/discovery"
	"onyxwell/control/scaler"
	"onyxwell/control/spec"
	"onyxwell/control/spread"
	"onyxwell/deployment"
)

// hollow is a daemon with all of a router's control and none of its requests.
type hollow struct {
	common *daemon.Daemon
	lock   sync.Mutex
	seen   map[ids.Serial]time.Time
	listed []discovery.Runner
}

// hollows are all hollow daemons of a run, in this process.
type hollows struct {
	all []*hollow
	end context.CancelFunc
}

func startHollows(size Size, layout deployment.Layout, folder string) (*hollows, error) {
	running, end := context.WithCancel(context.Background())
	made := &hollows{end: end}
	for _, zone := range layout.AllZones() {
		for index := range size.Hollow {
			number := 1 + size.Routers + index
			settings, err := boot.Parse(layout.Settings(layout.Machine(zone, number), folder, true, layout.Seeds()))
			if err != nil {
				return made, err
			}
			subject := &hollow{seen: map[ids.Serial]time.Time{}}
			subject.common, err = daemon.New(scope.New(scope.Options{Boot: settings}), daemon.Options{Role: daemon.Carrier, Fresh: subject.hear})
			if err != nil {
				return made, err
			}
			subject.common.Part("report", subject.report)
			made.all = append(made.all, subject)
			go func() { _ = subject.common.Run(running) }()
			subject.common.Table.Announce(func(self *cohort.Member) { self.Ready = true })
		}
	}
	return made, nil
}

// hear notes when a configuration came into force here. Like a router, it reads
// the whole of it first.
func (hollow *hollow) hear(item spread.Item) {
	readers := map[string]func(spread.Item){
		spec.Key: func(item spread.Item) {
			if version, err := spec.Read(item.Body); err == nil {
				hollow.lock.Lock()
				hollow.seen[version.Serial] = time.Now()
				hollow.lock.Unlock()
			}
		},
		discovery.Key: func(item spread.Item) {
			if list, err := courier.Unpack[discovery.List](item.Body); err == nil {
				hollow.lock.Lock()
				hollow.listed = list.Runners
				hollow.lock.Unlock()
			}
		},
	}
	if read := readers[item.Key]; read != nil {
		read(item)
	}
}

func (hollow *hollow) at(serial ids.Serial) (time.Time, bool) {
	hollow.lock.Lock()
	defer hollow.lock.Unlock()
	when, found := hollow.seen[serial]
	return when, found
}

// reportSpan is a router's own.
const reportSpan = clock.Second / 2

// report sends up what a router would have seen: some requests at each runner of
// its region.
func (hollow *hollow) report(inner scope.Scope) error {
	for inner.Wait(reportSpan) {
		asked := scaler.ReportAsk{From: hollow.common.Address, Region: inner.Boot.Region}
		hollow.lock.Lock()
		for _, runner := range hollow.listed {
			if inner.Boot.Zones[runner.Zone] == inner.Boot.Region {
				asked.Samples = append(asked.Samples, scaler.Sample{
					Runner: runner.ID, Service: runner.Service, Arrived: 2, Finished: 2, Running: 1, SpentMS: 400, Units: 2000, Busy: 0.4, Memory: 0.4,
				})
			}
		}
		hollow.lock.Unlock()
		asked.Demands = []scaler.Demand{{Service: service, Arrived: float64(2 * len(asked.Samples))}}
		hollow.common.Report(inner, asked)
	}
	return nil
}

// counts are sums over all hollow daemons.
type counts struct{ Messages, BytesIn, BytesOut int64 }

func (hollows *hollows) counts() counts {
	var sum counts
	for _, subject := range hollows.all {
		traffic := &subject.common.Traffic
		sum.Messages += traffic.Messages.Load()
		sum.BytesIn += traffic.BytesIn.Load()
		sum.BytesOut += traffic.BytesOut.Load()
	}
	return sum
}

// members is how many members a hollow daemon knows at most.
func (hollows *hollows) members() int {
	most := 0
	for _, subject := range hollows.all {
		most = max(most, len(subject.common.Table.Members()))
	}
	return most
}

// reached tells how long after a moment a version was in force at each hollow
// daemon, and at how many it was not.
func (hollows *hollows) reached(serial ids.Serial, since time.Time) (spans []float64, missing int) {
	for _, subject := range hollows.all {
		if when, found := subject.at(serial); found {
			spans = append(spans, float64(when.Sub(since).Microseconds())/1000)
		} else {
			missing++
		}
	}
	return spans, missing
}

// ready tells whether every hollow daemon has a configuration and runners.
func (hollows *hollows) ready() error {
	for _, subject := range hollows.all {
		subject.lock.Lock()
		able := len(subject.seen) > 0 && len(subject.listed) > 0
		subject.lock.Unlock()
		if !able {
			return fmt.Errorf("%s has no configuration or no list of runners", subject.common.Address)
		}
	}
	return nil
}

package simulation

import (
	"testing"
	"time"
)

// TestCounters_serveBothSidesOfPartition is the incident of docs/incidents/apart.md:
// applications on both sides of a cut between regions add to counters, send adds again
// and read totals. All of their calls failed, at all controllers and from the first
// second on, since no program served them; at the end nobody could read a total. The
// first play had 4,742 calls and no success; a controller logs such calls as without a
// handler. Each side must go on, and after the cut all totals must be whole.
func TestCounters_serveBothSidesOfPartition(t *testing.T) {
	result := Run(t, Options{Site: Sites["six"], Seed: 33, Duration: 30 * time.Second, scenario: func(cluster *Cluster) {
		cluster.executeChange(cluster.changeCommand(0, 1, false))
		cluster.startApplications(len(cluster.options.Site.Locations))
		cluster.sleep(6 * time.Second)
		cluster.noteFaultBegin()
		heal := isolateRegion(cluster, cluster.machines[0])
		cluster.sleep(12 * time.Second)
		heal()
		cluster.noteFaultEnd()
	}})
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Log(result.Counts)
}

// TestCounters_disksLostWhileCut plays the seed that ended with a voter which could not
// join: its disk was lost while cuts that are no loss kept it from learning, and two more
// disks were lost meanwhile, three of five voters'. The trace showed that the injector
// counted the first as caught up; it must count a lost disk as lost until nothing is cut.
func TestCounters_disksLostWhileCut(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	result := Run(t, Options{Site: Sites["six"], Seed: 1049, Duration: time.Minute, Clients: 2, Applications: 6})
	for _, violation := range result.Violations {
		t.Error(violation)
	}
}

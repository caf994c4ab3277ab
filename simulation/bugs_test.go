package simulation

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"
)

var (
	plantedSeeds = flag.Int("planted.seeds", 0, "seeds to try for each planted bug; 0 takes those that CI does")
	plantedAll   = flag.Bool("planted.all", false, "play all seeds, also after the first that finds the bug")
)

// bugCase is a planted bug with the runs that find it.
type bugCase struct {
	name       string
	point      int
	newBug     func() bug
	site       string
	onlyFaults []string
	// seedCount seeds from firstSeed on are tried.
	firstSeed uint64
	seedCount int
	// seconds is Options.Duration.
	seconds int
	// clients defaults to 2, applications to none.
	clients      int
	applications int
	// scenario brings about what the faults do in few of many seeds.
	scenario func(cluster *Cluster)
}

// plantedBugs are what the simulation must find. Where few seeds are tried, most
// others find the bug too.
var plantedBugs = []bugCase{
	{name: "confirmation skipped", point: 1, newBug: skipConfirmation, onlyFaults: only("part"), seconds: 14, firstSeed: 3, seedCount: 8},
	{name: "GET answered from the own copy", point: 1, newBug: readLocalCopy, onlyFaults: only("cut"), seconds: 14, firstSeed: 3, seedCount: 6},
	{name: "412 without a majority", point: 1, newBug: rejectWithoutQuorum, onlyFaults: only("cut"), seconds: 14, seedCount: 6},
	{name: "grants to all", point: 1, newBug: grantToAll, onlyFaults: only("cut"), seconds: 14, firstSeed: 4, seedCount: 10},
	{name: "a holder's clock too slow", point: 1, newBug: slowHolderClock, onlyFaults: only("cut"), seconds: 14, firstSeed: 1, seedCount: 12},
	{name: "a read index without a majority", point: 1, newBug: answerOwnReadIndex, onlyFaults: only("routers", "cut", "region"), seconds: 30, firstSeed: 8, seedCount: 40},
	{name: "a router hears older news", point: 1, newBug: replayOldUpdates, onlyFaults: only("part"), seconds: 14, seedCount: 3},
	{name: "repeats forgotten", point: 2, newBug: forgetHistory, onlyFaults: only("kill", "part"), seconds: 14, firstSeed: 3, seedCount: 10},
	{name: "a rival taken for a repeat", point: 2, newBug: acceptRivalAsRepeat, onlyFaults: only("cut"), seconds: 14, seedCount: 3},
	{name: "no fence", point: 2, newBug: ignoreFencing, onlyFaults: only("part"), seconds: 14, firstSeed: 4, seedCount: 8},
	{name: "acknowledged before a majority", point: 2, newBug: countUnwrittenAccepts, onlyFaults: only("part"), seconds: 14, firstSeed: 1, seedCount: 10},
	{name: "promises not kept", point: 2, newBug: forgetPromises, onlyFaults: only("cut", "part"), clients: 4, seconds: 14, firstSeed: 4, seedCount: 20},
	{name: "a late order acted on", point: 2, newBug: replayZoneCommands, onlyFaults: only("cut"), clients: 4, seconds: 14, seedCount: 10},
	{name: "a copy counted as a vote", point: 2, newBug: countLearnsAsVotes, onlyFaults: only("part"), seconds: 14, firstSeed: 4, seedCount: 8},
	{name: "a blank disk's vote counted", point: 3, newBug: countBlankVotes, scenario: blankDiskBesideStaleReplica, seconds: 16, firstSeed: 1, seedCount: 6},
	{name: "a wiped disk votes at once", point: 3, newBug: keepIdentity, onlyFaults: only("wipe"), seconds: 14, seedCount: 3},
	{name: "nothing learnt", point: 3, newBug: learnVotersOnly, scenario: newVoterBesideStaleReplica, seconds: 14, seedCount: 3},
	{name: "learnt from one", point: 3, newBug: learnFromLeastComplete, scenario: newVoterBesideStaleReplica, seconds: 14, seedCount: 10},
	{name: "no seat filled again", point: 3, newBug: rejectVoterChanges, onlyFaults: only("wipe"), seconds: 14, seedCount: 3},
	{name: "no sync", point: 4, newBug: noSync, onlyFaults: only("outage", "power"), seconds: 14, seedCount: 3},
	{name: "no folder sync", point: 4, newBug: noFolderSync, onlyFaults: only("outage", "power"), seconds: 14, seedCount: 3},
	{name: "forgotten at start", point: 4, newBug: forgetAtStart, onlyFaults: only("kill"), seconds: 14, seedCount: 3},
	{name: "damage taken for a torn tail", point: 4, newBug: treatDamageAsTorn, onlyFaults: only("spoil"), clients: 3, seconds: 24, seedCount: 4},
	{name: "adds acknowledged before the sync", newBug: unsyncedCounters, onlyFaults: only("outage", "power"), applications: 3, seconds: 16, seedCount: 4},
	{name: "counted at each replica", newBug: countPerReplica, onlyFaults: only("cut"), applications: 3, seconds: 14, seedCount: 3},
	{name: "refused after a write", newBug: refuseAfterWrite, onlyFaults: only("cut"), applications: 3, seconds: 16, seedCount: 8},
	{name: "answers before it has caught up", newBug: answerWhileCatchingUp, onlyFaults: only("wipe"), applications: 3, seconds: 30, seedCount: 6},
	{name: "adds acknowledged without copies", newBug: ackWithoutCopies, onlyFaults: only("wipe"), applications: 3, seconds: 16, seedCount: 4},
	{name: "no records through third ones", newBug: dropRelayed, onlyFaults: only("wipe"), applications: 3, seconds: 30, seedCount: 4},
	{name: "no repair", point: 4, newBug: noRepair, onlyFaults: only("kill"), clients: 1, seconds: 16, firstSeed: 3, seedCount: 20},
}

func only(names ...string) []string { return names }

func (b bugCase) options(seed uint64) Options {
	options := Options{
		Site: Sites["three"], Seed: seed, Point: b.point, OnlyFaults: b.onlyFaults, Duration: time.Duration(b.seconds) * time.Second, Clients: 2, scenario: b.scenario,
	}
	if b.site != "" {
		options.Site = Sites[b.site]
	}
	options.Applications = b.applications
	if b.clients > 0 {
		options.Clients = b.clients
	}
	return options
}

// TestPlantedBugs_areFound checks that the simulation can fail: each bug is found
// within its seeds, and the same seeds find nothing without it.
func TestPlantedBugs_areFound(t *testing.T) {
	if runWithoutRaceDetector(t) {
		return
	}
	checkedClean := map[string]bool{}
	for _, test := range plantedBugs {
		t.Run(strings.ReplaceAll(test.name, " ", "-"), func(t *testing.T) {
			seeds, found := test.seedCount, 0
			if *plantedSeeds > 0 {
				seeds = *plantedSeeds
			}
			for seed := test.firstSeed; seed < test.firstSeed+uint64(seeds) && (found == 0 || *plantedAll); seed++ {
				options := test.options(seed)
				if name := fmt.Sprint(options); !checkedClean[name] {
					checkedClean[name] = true
					for _, violation := range Run(t, options).Violations {
						t.Errorf("without the bug, seed %d: %s", seed, violation)
					}
				}
				options.bug = test.newBug()
				if result := Run(t, options); len(result.Violations) > 0 {
					found++
					t.Logf("seed %d: %.200s", seed, result.Violations[0])
				}
			}
			t.Logf("found by %d of %d", found, seeds)
			if found == 0 {
				t.Errorf("not found in %d seeds from %d", seeds, test.firstSeed)
			}
		})
	}
}

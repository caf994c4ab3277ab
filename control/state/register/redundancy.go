package register

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"onyxwell/base/ids"
)

// Redundancy is how many further losses the control state tolerates, as one
// controller sees it.
type Redundancy struct {
	Voters int `json:"seats"`
	// CurrentVotes counts the voters that answered, with the disk that the voter
	// set names and under the newest set; Unreachable are those that did not
	// answer, Learners those that don't vote yet.
	CurrentVotes int           `json:"votes_that_count"`
	Learners     []ids.Address `json:"learning"`
	Unreachable  []ids.Address `json:"away"`
	// Keys lists for each key how many disks hold the newest proposal.
	Keys []KeyRedundancy `json:"keys"`
	// TolerableLosses is how many more voters may be lost with every acknowledged
	// update kept and the next one possible; below 0 none is possible now.
	TolerableLosses int `json:"bears_losses"`
	// Complete means that all voters answered and hold the newest of all keys.
	Complete bool `json:"whole"`
}

// KeyRedundancy is how many disks hold the newest proposal of a key, and which
// voters lag.
type KeyRedundancy struct {
	Key     string        `json:"key"`
	Copies  int           `json:"disks"`
	Lagging []ids.Address `json:"behind"`
}

// String is the redundancy in one line.
func (r Redundancy) String() string {
	var lagging []string
	for _, key := range r.Keys {
		if len(key.Lagging) > 0 {
			lagging = append(lagging, fmt.Sprintf("%s on %d", key.Key, key.Copies))
		}
	}
	return fmt.Sprintf("tolerates %d more losses: %d of %d voters current, learners %v, unreachable %v, lagging [%s]", r.TolerableLosses,
		r.CurrentVotes, r.Voters, r.Learners, r.Unreachable, strings.Join(lagging, ", "))
}

// Redundancy surveys the voters and repairs nothing; it is for a controller that
// is no voter itself.
func (j *Joiner) Redundancy(ctx context.Context) Redundancy {
	return (&Repairer{Joiner: j}).survey(ctx).redundancy()
}

// clusterView is the result of one survey: the digests of the voters that
// answered, and the newest of each key.
type clusterView struct {
	voters  VoterSet
	digests map[ids.Address]DigestResponse
	newest  map[string]KeyDigest
	keys    []string
}

// survey asks all voters for their digests. Those that don't answer, or with
// another disk than the voter set names, are left out.
func (r *Repairer) survey(ctx context.Context) clusterView {
	j := r.Joiner
	view := clusterView{voters: j.Acceptor.Voters(), digests: map[ids.Address]DigestResponse{}, newest: map[string]KeyDigest{}}
	view.add(j.Address, j.Acceptor.Digest())
	j.gatherDigests(ctx, view.voters, view.add)
	for key := range view.newest {
		view.keys = append(view.keys, key)
	}
	sort.Strings(view.keys)
	return view
}

func (c clusterView) add(address ids.Address, resp DigestResponse) {
	member, _ := c.voters.member(address)
	if !resp.Voting || resp.Incarnation != member.Incarnation {
		return
	}
	c.digests[address] = resp
	for _, digest := range resp.Keys {
		if newest, known := c.newest[digest.Key]; !known || digest.proposal().newerThan(newest.proposal()) {
			c.newest[digest.Key] = digest
		}
	}
}

// lagging returns the voters that hold an older proposal of the key than digest.
func (c clusterView) lagging(key string, digest KeyDigest) []Member {
	var lagging []Member
	for _, member := range c.voters.Members {
		if resp, answered := c.digests[member.Address]; answered && digest.proposal().newerThan(resp.key(key).proposal()) {
			lagging = append(lagging, member)
		}
	}
	return lagging
}

// copies counts the disks that hold the newest proposal of a key.
func (c clusterView) copies(key string) int {
	return len(c.digests) - len(c.lagging(key, c.newest[key]))
}

// rank is the position of a voter among those that answered.
func (c clusterView) rank(address ids.Address) int {
	rank := 0
	for _, member := range c.voters.Members {
		if member.Address == address {
			return rank
		}
		if _, answered := c.digests[member.Address]; answered {
			rank++
		}
	}
	return rank
}

func (c clusterView) redundancy() Redundancy {
	redundancy := Redundancy{Voters: len(c.voters.Members), Learners: []ids.Address{}, Unreachable: []ids.Address{}, Keys: []KeyRedundancy{}}
	for _, member := range c.voters.Members {
		resp, answered := c.digests[member.Address]
		switch {
		case member.Learner:
			redundancy.Learners = append(redundancy.Learners, member.Address)
		case !answered:
			redundancy.Unreachable = append(redundancy.Unreachable, member.Address)
		case resp.Fingerprint == c.voters.Fingerprint():
			redundancy.CurrentVotes++
		}
	}
	redundancy.TolerableLosses = redundancy.CurrentVotes - quorum(redundancy.Voters)
	redundancy.Complete = redundancy.Voters > 0 && redundancy.CurrentVotes == redundancy.Voters
	for _, key := range c.keys {
		keyRedundancy := KeyRedundancy{Key: key, Copies: c.copies(key), Lagging: []ids.Address{}}
		for _, member := range c.lagging(key, c.newest[key]) {
			keyRedundancy.Lagging = append(keyRedundancy.Lagging, member.Address)
		}
		// One copy must remain after as many losses.
		redundancy.TolerableLosses = min(redundancy.TolerableLosses, keyRedundancy.Copies-1)
		redundancy.Complete = redundancy.Complete && keyRedundancy.Copies == redundancy.Voters
		redundancy.Keys = append(redundancy.Keys, keyRedundancy)
	}
	return redundancy
}

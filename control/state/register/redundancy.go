package register

import (
	"context"
	"fmt"
	"sort"
	"strings"

	"onyxwell/base/ids"
)

// Redundancy describes how many further losses the control state tolerates, as
// seen by one controller.
type Redundancy struct {
	Voters int `json:"seats"`
	// CurrentVotes counts the voters that answered with the disk that the voter set
	// names and under the newest set known here. Unreachable are the voters that did
	// not answer, or answered without a vote or with another disk; Learners are the
	// members that don't vote yet.
	CurrentVotes int           `json:"votes_that_count"`
	Learners     []ids.Address `json:"learning"`
	Unreachable  []ids.Address `json:"away"`
	// Keys lists how many disks hold the newest proposal of each key.
	Keys []KeyRedundancy `json:"keys"`
	// TolerableLosses is the number of further voters that may be lost while every
	// acknowledged update is kept and further updates are possible. Below 0, no
	// update is possible now.
	TolerableLosses int `json:"bears_losses"`
	// Complete means that all voters answered and hold the newest proposal of every
	// key.
	Complete bool `json:"whole"`
}

// KeyRedundancy tells how many disks hold the newest proposal of a key, and which
// voters lag.
type KeyRedundancy struct {
	Key     string        `json:"key"`
	Copies  int           `json:"disks"`
	Lagging []ids.Address `json:"behind"`
}

// String formats the redundancy as one line of text.
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

// Redundancy surveys the voters without repairing anything. It is meant for a
// controller that is not a voter.
func (j *Joiner) Redundancy(ctx context.Context) Redundancy {
	return (&Repairer{Joiner: j}).survey(ctx).redundancy()
}

// clusterView is the result of one survey: the digests of the voters that
// answered, and the newest digest of each key.
type clusterView struct {
	voters  VoterSet
	digests map[ids.Address]DigestResponse
	newest  map[string]KeyDigest
	keys    []string
}

// survey requests the digests of all voters. Voters that don't answer, or that
// answer with a disk other than the one that the voter set names, are left out.
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

// lagging returns the voters whose proposal of the key is older than the digest's.
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

// rank returns the position of a voter in the voter set, counting only those that
// answered.
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
		// At least one copy must remain after that many losses.
		redundancy.TolerableLosses = min(redundancy.TolerableLosses, keyRedundancy.Copies-1)
		redundancy.Complete = redundancy.Complete && keyRedundancy.Copies == redundancy.Voters
		redundancy.Keys = append(redundancy.Keys, keyRedundancy)
	}
	return redundancy
}

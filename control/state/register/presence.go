package register

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
)

// presence is what one voter tells about a key.
type presence int

const (
	// presenceUnknown means that the voter did not answer, or does not vote under the
	// voter set that was asked.
	presenceUnknown presence = iota
	// present means that the voter's disk holds a proposal of the key.
	present
	// absent means that the voter's disk holds none.
	absent
)

// HasValue reports whether a key may have a value. It returns false only once a quorum
// of the voters holds no proposal of the key: then no update of it was acknowledged
// before the call. Unlike Read it does not acquire the key, and so leaves no trace of it
// on a disk or in memory: keys that callers make up cost nothing that lasts. The error
// is of kind NoQuorum.
func (p *Proposer) HasValue(ctx context.Context, key string) (bool, error) {
	ctx, cancel := p.options.Clock.WithTimeout(ctx, p.options.MessageTimeout)
	defer cancel()
	voters := p.options.Voters()
	type answer struct {
		address  ids.Address
		presence presence
	}
	answers := make(chan answer, len(voters.Members))
	for _, member := range voters.Members {
		p.options.Spawn(func() {
			answers <- answer{address: member.Address, presence: p.fetchPresence(ctx, voters, member, key)}
		})
	}
	lacking := map[ids.Address]bool{}
	for range voters.Members {
		select {
		case received := <-answers:
			if received.presence == present {
				return true, nil
			}
			lacking[received.address] = received.presence == absent
		case <-ctx.Done():
			return false, errkind.Errorf(errkind.NoQuorum, "no quorum of the voters answered in time")
		}
		if hasQuorum(voters.Members, lacking, 0) {
			return false, nil
		}
	}
	return false, errkind.Errorf(errkind.NoQuorum, "no quorum of the voters told whether the key has a value")
}

// fetchPresence asks one voter for a key. An answer counts under the same conditions as
// a vote: from the disk that the voter set names, which votes, under the same set.
func (p *Proposer) fetchPresence(ctx context.Context, voters VoterSet, member Member, key string) presence {
	resp, err := p.options.Client.Fetch(ctx, member.Address, FetchRequest{Key: key})
	if err != nil || !resp.Voting || resp.Incarnation != member.Incarnation || resp.Fingerprint != voters.Fingerprint() {
		return presenceUnknown
	}
	for _, slot := range resp.Slots {
		if slot.Key == key && slot.Accepted.Sequence > 0 {
			return present
		}
	}
	return absent
}

package command

import (
	"errors"
	"fmt"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// anyDisk takes every record.
type anyDisk struct{}

func (anyDisk) Save([]byte) error { return nil }

// house is three voters with a desk each, and a line between them that loses
// messages and answers as it is told.
type house struct {
	t        failing
	scope    scope.Scope
	voters   register.VoterSet
	acceptor map[ids.Address]*register.Acceptor
	desks    map[ids.Address]*Desk
	lose     func() bool
	// happen may do something else while a message is on its way.
	happen   func()
	messages int
}

type failing interface {
	Fatalf(format string, values ...any)
}

var errLost = errors.New("the message was lost")

func carry[Told any](house *house, address ids.Address, act func(*register.Acceptor) Told) (Told, error) {
	var nothing Told
	house.messages++
	house.happen()
	if house.lose() {
		return nothing, errLost
	}
	told := act(house.acceptor[address])
	if house.lose() {
		return nothing, errLost
	}
	return told, nil
}

func (h *house) Promise(_ scope.Scope, address ids.Address, asked register.PrepareRequest) (register.PrepareResponse, error) {
	return carry(h, address, func(voter *register.Acceptor) register.PrepareResponse { return voter.Prepare(asked) })
}

func (h *house) Accept(_ scope.Scope, address ids.Address, asked register.AcceptRequest) (register.AcceptResponse, error) {
	return carry(h, address, func(voter *register.Acceptor) register.AcceptResponse { return voter.Accept(asked) })
}

func (h *house) Confirm(_ scope.Scope, address ids.Address, asked register.ConfirmRequest) (register.AcceptResponse, error) {
	return carry(h, address, func(voter *register.Acceptor) register.AcceptResponse { return voter.Confirm(asked) })
}

var names = []ids.Address{"a", "b", "c"}

func newHouse(t failing) *house {
	made := &house{
		t: t, scope: scope.New(scope.Options{Clock: clock.NewFake()}), lose: func() bool { return false }, happen: func() {},
		acceptor: map[ids.Address]*register.Acceptor{}, desks: map[ids.Address]*Desk{},
	}
	made.voters = register.VoterSet{Generation: 1}
	for _, name := range names {
		made.voters.Members = append(made.voters.Members, register.Member{Address: name})
	}
	for _, name := range names {
		voter, err := register.NewAcceptor(name, nil)
		if err != nil {
			t.Fatalf("%v", err)
		}
		voter.Attach(anyDisk{})
		if err := voter.Bootstrap(made.voters); err != nil {
			t.Fatalf("%v", err)
		}
		made.acceptor[name] = voter
		keeper := register.NewProposer(register.ProposerOptions{
			Address: name, Client: made, Voters: voter.Voters, MessageTimeout: clock.Second,
			HighestEpoch: func(key string) int64 { return voter.Slot(key).Promised.Number },
			Spawn:        func(send func()) { send() },
		})
		table := membership.NewTable(made.scope.Clock, membership.Member{Address: name})
		for _, other := range names {
			if other != name {
				// Owners are never asked: whoever gets an order takes the key over.
				table.Merge([]membership.Member{{Address: other, State: membership.Removed, Incarnation: 1}})
			}
		}
		made.desks[name] = New(Options{
			// The registers' messages get lost; contact is always had.
			Contact: quorum.New(quorum.Options{Address: name, Voters: voter.Voters, MaxAge: clock.Second, Heartbeat: func(scope.Scope, ids.Address) (quorum.HeartbeatResponse, error) {
				return quorum.HeartbeatResponse{Incarnation: 1}, nil
			}}),

			Address: name, Keeper: keeper, Acceptor: voter, Table: table, News: gossip.NewNews(nil),
			Pass: 4, Limit: clock.Second, Pause: func() clock.Span { return 0 },
		})
	}
	return made
}

// first is the configuration that all changes here build on.
const first = `{"config_version":1,"routes":[],"services":[{"name":"s"}]}`

func patchOn(match ids.Serial, serial ids.Serial, mark string) store.Change {
	return store.Change{Match: match, Body: fmt.Appendf(nil, `{"config_version":%d,"changes":{"mark":%q}}`, serial, mark)}
}

// grown is a spec after many changes, none of them sealed.
var grown = sync.OnceValue(func() (made struct {
	value []byte
	taken []store.Change
}) {
	made.taken = []store.Change{{Whole: true, Body: []byte(first)}}
	for serial := range ids.Serial(800) {
		made.taken = append(made.taken, patchOn(serial+1, serial+2, ""))
	}
	for _, change := range made.taken {
		made.value, _ = change.Step(made.value)
	}
	return made
})

// plant gives the voters the grown spec, as one that a majority holds.
func (h *house) plant() []store.Change {
	for _, seat := range h.voters.Members {
		h.acceptor[seat.Address].Accept(register.AcceptRequest{
			Fence: h.voters.FencingToken(seat), Key: config.Key,
			Proposal: register.Proposal{Epoch: ids.Epoch{Number: 1, Owner: "a"}, Sequence: 1, Value: grown().value},
		})
	}
	return grown().taken
}

func (h *house) order(name ids.Address, change store.Change) errkind.Kind {
	_, err := h.desks[name].Do(h.scope, Order{Key: config.Key, Verb: VerbChange, Change: change})
	return errkind.KindOf(err)
}

// again sends an order again while there is no clear answer: one who was the
// owner of a key finds out at its first confirmation that it isn't any more.
func (h *house) again(name ids.Address, change store.Change) errkind.Kind {
	kind := errkind.Unsettled
	for try := 0; try < 3 && kind == errkind.Unsettled; try++ {
		kind = h.order(name, change)
	}
	return kind
}

// pages counts the pages that a voter holds.
func (h *house) pages(name ids.Address) int {
	count := 0
	for _, slot := range h.acceptor[name].Fetch(register.FetchRequest{}).Slots {
		if strings.HasPrefix(slot.Key, store.PagePrefix) && len(slot.Accepted.Value) > 0 {
			count++
		}
	}
	return count
}

package simulation

import (
	"fmt"
	"net/http"
	"sync"

	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/state/lease"
	"onyxwell/control/state/readindex"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// headerLength is how many bytes of the deployment's mark go ahead of a message.
const headerLength = 4

// rewriteRequest changes a message on its way.
func rewriteRequest[Asked any](sent *message, change func(*Asked)) {
	asked, err := transport.Unmarshal[Asked](sent.body[headerLength:])
	if err != nil {
		panic(err)
	}
	change(&asked)
	body, _ := transport.Marshal(asked)
	sent.body = append(sent.body[:headerLength:headerLength], body...)
}

// rewriteReply changes an answer on its way back.
func rewriteReply[Told any](got reply, change func(*Told)) reply {
	told, err := transport.Unmarshal[Told](got.body)
	if got.status != http.StatusOK || err != nil {
		return got
	}
	change(&told)
	got.body, _ = transport.Marshal(told)
	return got
}

func okReply[Told any](told Told) reply {
	body, _ := transport.Marshal(told)
	return reply{status: http.StatusOK, header: http.Header{}, body: body}
}

// rewriteReplies changes the answers to one kind of message.
func rewriteReplies[Told any](path string, change func(world *Cluster, target *Machine, sent *message, told *Told)) bug {
	return bug{InterceptReply: func(world *Cluster, target *Machine, sent *message, got reply) reply {
		if sent.path != path {
			return got
		}
		return rewriteReply(got, func(told *Told) { change(world, target, sent, told) })
	}}
}

// interceptRequests changes one kind of message, or answers it.
func interceptRequests(path string, meddle func(world *Cluster, sent *message) (reply, bool)) bug {
	return bug{InterceptRequest: func(world *Cluster, sent *message) (reply, bool) {
		if sent.path != path {
			return reply{}, false
		}
		return meddle(world, sent)
	}}
}

func grantSuperseded(_ *Cluster, _ *Machine, _ *message, told *register.AcceptResponse) {
	if told.Verdict == register.Superseded {
		told.Verdict = register.Granted
	}
}

func ownRecord(target *Machine) store.Record {
	if target.process == nil || target.process.control == nil {
		return store.Record{}
	}
	for _, slot := range target.process.control.Slots() {
		if slot.Key == config.Key {
			kept, _ := store.Decode(slot.Accepted.Value)
			return kept
		}
	}
	return store.Record{}
}

func skipConfirmation() bug {
	return interceptRequests("/confirm", func(*Cluster, *message) (reply, bool) {
		return okReply(register.AcceptResponse{Verdict: register.Granted}), true
	})
}

func readLocalCopy() bug {
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, got reply) reply {
		if kept := ownRecord(target); sent.path == "/settings" && sent.request.Method == http.MethodGet && kept.Version > 0 {
			return reply{status: http.StatusOK, header: http.Header{}, body: kept.Document}
		}
		return got
	}}
}

func rejectWithoutQuorum() bug {
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, got reply) reply {
		match := sent.request.Header.Get("If-Match")
		if sent.path == "/settings" && match != "" && got.status >= 500 && fmt.Sprint(ownRecord(target).Version) != match {
			return reply{status: http.StatusPreconditionFailed, header: http.Header{}}
		}
		return got
	}}
}

func grantToAll() bug {
	return rewriteReplies("/hold", func(_ *Cluster, _ *Machine, _ *message, told *lease.Response) { told.Granted = true })
}

// slowHolderClock has a machine's clock run at a quarter of its pace.
func slowHolderClock() bug {
	return bug{ClockRate: func(machine *Machine) float64 {
		if machine.name == "m0" {
			return 0.25
		}
		return 1
	}}
}

// answerOwnReadIndex answers a starting router without asking the voters.
func answerOwnReadIndex() bug {
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, got reply) reply {
		if sent.path != "/"+readindex.MessageName {
			return got
		}
		return okReply(readindex.Response{Serial: ownRecord(target).Version})
	}}
}

// replayOldUpdates has a router be told the first of each key again, now and then, as
// if news could overtake each other.
func replayOldUpdates() bug {
	var lock sync.Mutex
	first, heard := map[string]gossip.Item{}, 0
	return bug{InterceptUpdate: func(item gossip.Item) gossip.Item {
		lock.Lock()
		defer lock.Unlock()
		if _, known := first[item.Key]; !known {
			first[item.Key] = item
		}
		if heard++; heard%5 == 0 {
			return first[item.Key]
		}
		return item
	}}
}

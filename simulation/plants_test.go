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

// markLength is how many bytes of the deployment's mark go ahead of a message.
const markLength = 4

// reread changes a message on its way.
func reread[Asked any](sent *message, change func(*Asked)) {
	asked, err := transport.Unmarshal[Asked](sent.body[markLength:])
	if err != nil {
		panic(err)
	}
	change(&asked)
	body, _ := transport.Marshal(asked)
	sent.body = append(sent.body[:markLength:markLength], body...)
}

// retell changes an answer on its way back.
func retell[Told any](got answered, change func(*Told)) answered {
	told, err := transport.Unmarshal[Told](got.body)
	if got.status != http.StatusOK || err != nil {
		return got
	}
	change(&told)
	got.body, _ = transport.Marshal(told)
	return got
}

func say[Told any](told Told) answered {
	body, _ := transport.Marshal(told)
	return answered{status: http.StatusOK, header: http.Header{}, body: body}
}

// answers changes the answers to one kind of message.
func answers[Told any](path string, change func(world *World, target *Machine, sent *message, told *Told)) plant {
	return plant{Answer: func(world *World, target *Machine, sent *message, got answered) answered {
		if sent.path != path {
			return got
		}
		return retell(got, func(told *Told) { change(world, target, sent, told) })
	}}
}

// messages changes one kind of message, or answers it.
func messages(path string, meddle func(world *World, sent *message) (answered, bool)) plant {
	return plant{Message: func(world *World, sent *message) (answered, bool) {
		if sent.path != path {
			return answered{}, false
		}
		return meddle(world, sent)
	}}
}

func grantOutbid(_ *World, _ *Machine, _ *message, told *register.AcceptResponse) {
	if told.Verdict == register.Superseded {
		told.Verdict = register.Granted
	}
}

func own(target *Machine) store.Record {
	if target.life == nil || target.life.control == nil {
		return store.Record{}
	}
	for _, slot := range target.life.control.Slots() {
		if slot.Key == config.Key {
			kept, _ := store.Decode(slot.Accepted.Value)
			return kept
		}
	}
	return store.Record{}
}

func skipConfirmation() plant {
	return messages("/confirm", func(*World, *message) (answered, bool) {
		return say(register.AcceptResponse{Verdict: register.Granted}), true
	})
}

func readOwnCopy() plant {
	return plant{Answer: func(_ *World, target *Machine, sent *message, got answered) answered {
		if kept := own(target); sent.path == "/settings" && sent.request.Method == http.MethodGet && kept.Version > 0 {
			return answered{status: http.StatusOK, header: http.Header{}, body: kept.Document}
		}
		return got
	}}
}

func refuseAlone() plant {
	return plant{Answer: func(_ *World, target *Machine, sent *message, got answered) answered {
		match := sent.request.Header.Get("If-Match")
		if sent.path == "/settings" && match != "" && got.status >= 500 && fmt.Sprint(own(target).Version) != match {
			return answered{status: http.StatusPreconditionFailed, header: http.Header{}}
		}
		return got
	}}
}

func grantToAll() plant {
	return answers("/hold", func(_ *World, _ *Machine, _ *message, told *lease.Response) { told.Granted = true })
}

// slowHolder has a machine's clock run at a quarter of its pace.
func slowHolder() plant {
	return plant{Pace: func(machine *Machine) float64 {
		if machine.name == "m0" {
			return 0.25
		}
		return 1
	}}
}

// tellOwnIndex answers a starting router without asking the voters.
func tellOwnIndex() plant {
	return plant{Answer: func(_ *World, target *Machine, sent *message, got answered) answered {
		if sent.path != "/"+readindex.MessageName {
			return got
		}
		return say(readindex.Response{Serial: own(target).Version})
	}}
}

// hearOlder has a router be told the first of each key again, now and then, as
// if news could overtake each other.
func hearOlder() plant {
	var lock sync.Mutex
	first, heard := map[string]gossip.Item{}, 0
	return plant{Heard: func(item gossip.Item) gossip.Item {
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

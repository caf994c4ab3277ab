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

// headerLength is how many bytes of the deployment's mark precede a message.
const headerLength = 4

// rewriteRequest changes a request on its way.
func rewriteRequest[Request any](sent *message, change func(*Request)) {
	req, err := transport.Unmarshal[Request](sent.body[headerLength:])
	if err != nil {
		panic(err)
	}
	change(&req)
	body, _ := transport.Marshal(req)
	sent.body = append(sent.body[:headerLength:headerLength], body...)
}

// rewriteReply changes a successful reply on its way back.
func rewriteReply[Response any](resp reply, change func(*Response)) reply {
	response, err := transport.Unmarshal[Response](resp.body)
	if resp.status != http.StatusOK || err != nil {
		return resp
	}
	change(&response)
	resp.body, _ = transport.Marshal(response)
	return resp
}

// okReply is a successful reply with a message.
func okReply[Response any](response Response) reply {
	body, _ := transport.Marshal(response)
	return reply{status: http.StatusOK, header: http.Header{}, body: body}
}

// rewriteReplies changes the replies to one kind of message.
func rewriteReplies[Response any](path string, change func(cluster *Cluster, target *Machine, sent *message, response *Response)) bug {
	return bug{InterceptReply: func(cluster *Cluster, target *Machine, sent *message, resp reply) reply {
		if sent.path != path {
			return resp
		}
		return rewriteReply(resp, func(response *Response) { change(cluster, target, sent, response) })
	}}
}

// interceptRequests changes the requests of one kind, or answers them.
func interceptRequests(path string, intercept func(cluster *Cluster, sent *message) (reply, bool)) bug {
	return bug{InterceptRequest: func(cluster *Cluster, sent *message) (reply, bool) {
		if sent.path != path {
			return reply{}, false
		}
		return intercept(cluster, sent)
	}}
}

func grantSuperseded(_ *Cluster, _ *Machine, _ *message, response *register.AcceptResponse) {
	if response.Verdict == register.Superseded {
		response.Verdict = register.Granted
	}
}

// ownRecord returns the configuration record on a controller's own disk.
func ownRecord(target *Machine) store.Record {
	if target.process == nil || target.process.controller == nil {
		return store.Record{}
	}
	for _, slot := range target.process.controller.Slots() {
		if slot.Key == config.Key {
			record, _ := store.Decode(slot.Accepted.Value)
			return record
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
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, resp reply) reply {
		if record := ownRecord(target); sent.path == "/settings" && sent.request.Method == http.MethodGet && record.Version > 0 {
			return reply{status: http.StatusOK, header: http.Header{}, body: record.Document}
		}
		return resp
	}}
}

func rejectWithoutQuorum() bug {
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, resp reply) reply {
		match := sent.request.Header.Get("If-Match")
		if sent.path == "/settings" && match != "" && resp.status >= 500 && fmt.Sprint(ownRecord(target).Version) != match {
			return reply{status: http.StatusPreconditionFailed, header: http.Header{}}
		}
		return resp
	}}
}

func grantToAll() bug {
	return rewriteReplies("/hold", func(_ *Cluster, _ *Machine, _ *message, response *lease.Response) { response.Granted = true })
}

// slowHolderClock has a machine's clock advance at a quarter of the right rate.
func slowHolderClock() bug {
	return bug{ClockRate: func(machine *Machine) float64 {
		if machine.name == "m0" {
			return 0.25
		}
		return 1
	}}
}

// answerOwnReadIndex tells a starting router the controller's own version, without
// asking the voters.
func answerOwnReadIndex() bug {
	return bug{InterceptReply: func(_ *Cluster, target *Machine, sent *message, resp reply) reply {
		if sent.path != "/"+readindex.ReadIndexMessage {
			return resp
		}
		return okReply(readindex.Response{Version: ownRecord(target).Version})
	}}
}

// replayOldUpdates has a router apply the first item of each key again, now and
// then, as if updates could overtake each other.
func replayOldUpdates() bug {
	var mu sync.Mutex
	first, count := map[string]gossip.Item{}, 0
	return bug{InterceptUpdate: func(item gossip.Item) gossip.Item {
		mu.Lock()
		defer mu.Unlock()
		if _, known := first[item.Key]; !known {
			first[item.Key] = item
		}
		if count++; count%5 == 0 {
			return first[item.Key]
		}
		return item
	}}
}

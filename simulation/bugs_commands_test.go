package simulation

import (
	"context"
	"net/http"
	"time"

	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
	"onyxwell/control/state/voter"
	"onyxwell/control/transport"
)

// forgetHistory has the configuration remember no command that it accepted.
func forgetHistory() bug {
	return interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		rewriteRequest(sent, func(req *register.AcceptRequest) {
			if req.Key == config.Key {
				record, _ := store.DecodeCompressed(req.Proposal.Value)
				record.History = store.History{BaseVersion: record.Version}
				req.Proposal.Value, _ = transport.Marshal(record)
			}
		})
		return reply{}, false
	})
}

// acceptRivalAsRepeat acknowledges a change that lost against another.
func acceptRivalAsRepeat() bug {
	return bug{InterceptReply: func(_ *Cluster, _ *Machine, sent *message, resp reply) reply {
		if sent.path == "/settings" && resp.status == http.StatusPreconditionFailed {
			resp.status = http.StatusOK
		}
		return resp
	}}
}

// ignoreFencing has owners take a rejection by a higher epoch for an acceptance.
func ignoreFencing() bug { return rewriteReplies("/accept", grantSuperseded) }

// countUnwrittenAccepts has owners count accepts that were never sent.
func countUnwrittenAccepts() bug {
	return interceptRequests("/accept", func(cluster *Cluster, sent *message) (reply, bool) {
		return okReply(register.AcceptResponse{Verdict: register.Granted}), cluster.drawOneIn("unwritten "+sent.from+string(sent.to), 2)
	})
}

// forgetPromises has acceptors answer a prepare without recording the promise.
func forgetPromises() bug {
	return interceptRequests("/promise", func(cluster *Cluster, sent *message) (reply, bool) {
		rewriteRequest(sent, func(req *register.PrepareRequest) { req.Epoch.Number = 0 })
		return reply{}, false
	}).and(rewriteReplies("/promise", func(_ *Cluster, _ *Machine, _ *message, response *register.PrepareResponse) {
		if response.Verdict == register.Superseded {
			response.Verdict = register.Granted
		}
	}))
}

// and plants both bugs.
func (b bug) and(right bug) bug {
	if b.InterceptRequest == nil {
		b.InterceptRequest = right.InterceptRequest
	}
	if b.InterceptReply == nil {
		b.InterceptReply = right.InterceptReply
	}
	return b
}

// replayZoneCommands delivers commands on zones again long after, with a later
// deadline and without the zone version by which a repeat is recognized.
func replayZoneCommands() bug {
	return interceptRequests("/order", func(cluster *Cluster, sent *message) (reply, bool) {
		late := &message{from: sent.from, to: sent.to, path: sent.path, request: sent.request.Clone(context.Background()), response: make(chan reply, 1)}
		late.body = append(late.body, sent.body...)
		rewriteRequest(late, func(req *command.Command) {
			req.Deadline.End += int64(20 * time.Second)
			req.ZoneVersion = 0
			if _, zone := evacuation.ZoneFromKey(req.Key); zone && req.Verb != command.VerbRead {
				cluster.after(5*time.Second, func() { cluster.deliverRequest(late) })
			}
		})
		return reply{}, false
	})
}

// countLearnsAsVotes has owners send what is to be accepted as values to learn, and
// count those that were learnt as votes.
func countLearnsAsVotes() bug {
	const copied = "Copied"
	planted := interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		req, _ := transport.Unmarshal[register.AcceptRequest](sent.body[headerLength:])
		body, _ := transport.Marshal(voter.LearnRequest{Slots: []register.Slot{{Key: req.Key, Accepted: req.Proposal}}})
		sent.body = append(sent.body[:headerLength:headerLength], body...)
		sent.request = sent.request.Clone(sent.request.Context())
		sent.request.URL.Path, sent.path = "/learn", copied
		return reply{}, false
	})
	planted.InterceptReply = func(_ *Cluster, _ *Machine, sent *message, resp reply) reply {
		if sent.path != copied || resp.status != http.StatusOK {
			return resp
		}
		return okReply(register.AcceptResponse{Verdict: register.Granted})
	}
	return planted
}

package simulation

import (
	"context"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/state/command"
	"onyxwell/control/state/register"
	"onyxwell/control/state/voter"
	"onyxwell/control/transport"
)

func forgetHistory() bug {
	return interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		rewriteRequest(sent, func(asked *register.AcceptRequest) {
			if asked.Key == config.Key {
				kept, _ := store.DecodeCompressed(asked.Proposal.Value)
				kept.History = store.History{BaseVersion: kept.Version}
				asked.Proposal.Value, _ = transport.Marshal(kept)
			}
		})
		return reply{}, false
	})
}

func acceptRivalAsRepeat() bug {
	return bug{InterceptReply: func(_ *Cluster, _ *Machine, sent *message, got reply) reply {
		if sent.path == "/settings" && got.status == http.StatusPreconditionFailed {
			got.status = http.StatusOK
		}
		return got
	}}
}

func ignoreFencing() bug { return rewriteReplies("/accept", grantSuperseded) }

func countUnwrittenAccepts() bug {
	return interceptRequests("/accept", func(world *Cluster, sent *message) (reply, bool) {
		return okReply(register.AcceptResponse{Verdict: register.Granted}), world.drawOneIn("unwritten "+sent.from+string(sent.to), 2)
	})
}

// forgetPromises has voters tell what they hold without keeping the promise.
func forgetPromises() bug {
	return interceptRequests("/promise", func(world *Cluster, sent *message) (reply, bool) {
		rewriteRequest(sent, func(asked *register.PrepareRequest) { asked.Epoch.Number = 0 })
		return reply{}, false
	}).and(rewriteReplies("/promise", func(_ *Cluster, _ *Machine, _ *message, told *register.PrepareResponse) {
		if told.Verdict == register.Superseded {
			told.Verdict = register.Granted
		}
	}))
}

// and has both meddle.
func (b bug) and(right bug) bug {
	if b.InterceptRequest == nil {
		b.InterceptRequest = right.InterceptRequest
	}
	if b.InterceptReply == nil {
		b.InterceptReply = right.InterceptReply
	}
	return b
}

// replayZoneCommands delivers orders on zones again long after, with a later end and without
// the serial, by which one that acted is known again.
func replayZoneCommands() bug {
	return interceptRequests("/order", func(world *Cluster, sent *message) (reply, bool) {
		late := &message{from: sent.from, to: sent.to, path: sent.path, request: sent.request.Clone(context.Background()), response: make(chan reply, 1)}
		late.body = append(late.body, sent.body...)
		rewriteRequest(late, func(asked *command.Command) {
			asked.Deadline.End += int64(20 * clock.Second)
			asked.ZoneVersion = 0
			if _, zone := evacuation.ZoneFromKey(asked.Key); zone && asked.Verb != command.VerbRead {
				world.after(5*clock.Second, func() { world.deliverRequest(late) })
			}
		})
		return reply{}, false
	})
}

// countLearnsAsVotes has owners send copies in the place of what is to be voted on, and
// count them.
func countLearnsAsVotes() bug {
	const copied = "Copied"
	made := interceptRequests("/accept", func(_ *Cluster, sent *message) (reply, bool) {
		asked, _ := transport.Unmarshal[register.AcceptRequest](sent.body[headerLength:])
		body, _ := transport.Marshal(voter.LearnRequest{Slots: []register.Slot{{Key: asked.Key, Accepted: asked.Proposal}}})
		sent.body = append(sent.body[:headerLength:headerLength], body...)
		sent.request = sent.request.Clone(sent.request.Context())
		sent.request.URL.Path, sent.path = "/learn", copied
		return reply{}, false
	})
	made.InterceptReply = func(_ *Cluster, _ *Machine, sent *message, got reply) reply {
		if sent.path != copied || got.status != http.StatusOK {
			return got
		}
		return okReply(register.AcceptResponse{Verdict: register.Granted})
	}
	return made
}

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

func forgetRepeats() plant {
	return messages("/accept", func(_ *World, sent *message) (answered, bool) {
		reread(sent, func(asked *register.AcceptRequest) {
			if asked.Key == config.Key {
				kept, _ := store.DecodeCompressed(asked.Proposal.Value)
				kept.History = store.History{BaseVersion: kept.Version}
				asked.Proposal.Value, _ = transport.Marshal(kept)
			}
		})
		return answered{}, false
	})
}

func takeRivalForRepeat() plant {
	return plant{Answer: func(_ *World, _ *Machine, sent *message, got answered) answered {
		if sent.path == "/settings" && got.status == http.StatusPreconditionFailed {
			got.status = http.StatusOK
		}
		return got
	}}
}

func noFence() plant { return answers("/accept", grantOutbid) }

func countUnwritten() plant {
	return messages("/accept", func(world *World, sent *message) (answered, bool) {
		return say(register.AcceptResponse{Verdict: register.Granted}), world.once("unwritten "+sent.from+string(sent.to), 2)
	})
}

// emptyPromise has voters tell what they hold without keeping the promise.
func emptyPromise() plant {
	return messages("/promise", func(world *World, sent *message) (answered, bool) {
		reread(sent, func(asked *register.PrepareRequest) { asked.Epoch.Number = 0 })
		return answered{}, false
	}).and(answers("/promise", func(_ *World, _ *Machine, _ *message, told *register.PrepareResponse) {
		if told.Verdict == register.Superseded {
			told.Verdict = register.Granted
		}
	}))
}

// and has both meddle.
func (p plant) and(right plant) plant {
	if p.Message == nil {
		p.Message = right.Message
	}
	if p.Answer == nil {
		p.Answer = right.Answer
	}
	return p
}

// ghost delivers orders on zones again long after, with a later end and without
// the serial, by which one that acted is known again.
func ghost() plant {
	return messages("/order", func(world *World, sent *message) (answered, bool) {
		late := &message{from: sent.from, to: sent.to, path: sent.path, request: sent.request.Clone(context.Background()), answer: make(chan answered, 1)}
		late.body = append(late.body, sent.body...)
		reread(late, func(asked *command.Command) {
			asked.Deadline.End += int64(20 * clock.Second)
			asked.ZoneVersion = 0
			if _, zone := evacuation.ZoneFromKey(asked.Key); zone && asked.Verb != command.VerbRead {
				world.after(5*clock.Second, func() { world.arrive(late) })
			}
		})
		return answered{}, false
	})
}

// countCopies has owners send copies in the place of what is to be voted on, and
// count them.
func countCopies() plant {
	const copied = "Copied"
	made := messages("/accept", func(_ *World, sent *message) (answered, bool) {
		asked, _ := transport.Unmarshal[register.AcceptRequest](sent.body[markLength:])
		body, _ := transport.Marshal(voter.LearnRequest{Slots: []register.Slot{{Key: asked.Key, Accepted: asked.Proposal}}})
		sent.body = append(sent.body[:markLength:markLength], body...)
		sent.request = sent.request.Clone(sent.request.Context())
		sent.request.URL.Path, sent.path = "/learn", copied
		return answered{}, false
	})
	made.Answer = func(_ *World, _ *Machine, sent *message, got answered) answered {
		if sent.path != copied || got.status != http.StatusOK {
			return got
		}
		return say(register.AcceptResponse{Verdict: register.Granted})
	}
	return made
}

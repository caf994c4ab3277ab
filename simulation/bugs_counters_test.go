package simulation

import (
	"net/http"
	"slices"
	"strings"

	"onyxwell/control/counter"
	"onyxwell/control/state/wal"
)

// countersFile is the file of a controller's counters.
const countersFile = "counters"

// unsyncedCounters has controllers acknowledge adds before they are synced.
func unsyncedCounters() bug {
	return bug{WrapFS: func(disk wal.FS) wal.FS { return syncSkippingFS{FS: disk, noSync: true, onlyFile: countersFile} }}
}

// countPerReplica has an ID count once at each controller that accepts it.
func countPerReplica() bug {
	return interceptRequests("/counter-exchange", func(_ *Cluster, sent *message) (reply, bool) {
		rewriteRequest(sent, func(req *counter.ExchangeRequest) {
			for _, batch := range req.Batches {
				for index := range batch.Keys {
					batch.Keys[index] ^= byte(batch.Origin >> (8 * (index % 8)))
				}
			}
		})
		return reply{}, false
	})
}

// refuseAfterWrite has controllers promise that nothing was done where an add may count.
func refuseAfterWrite() bug {
	return bug{InterceptReply: func(cluster *Cluster, target *Machine, sent *message, resp reply) reply {
		isAdd := strings.HasPrefix(sent.path, "/tallies/") && sent.request.Method == http.MethodPost
		if isAdd && resp.status == http.StatusOK && cluster.drawOneIn("refused "+target.name, 10) {
			resp.status = http.StatusServiceUnavailable
		}
		return resp
	}}
}

// answerWhileCatchingUp has a controller that has not caught up read all as empty.
func answerWhileCatchingUp() bug {
	return bug{InterceptReply: func(_ *Cluster, _ *Machine, sent *message, resp reply) reply {
		isRead := strings.HasPrefix(sent.path, "/tallies/") && sent.request.Method == http.MethodGet
		if isRead && resp.status == http.StatusServiceUnavailable {
			return reply{status: http.StatusOK, header: http.Header{}, body: []byte(`{"total":0}`)}
		}
		return resp
	}}
}

// ackWithoutCopies has controllers believe that every other holds what they send.
func ackWithoutCopies() bug {
	return interceptRequests("/counter-exchange", func(_ *Cluster, sent *message) (reply, bool) {
		var resp counter.ExchangeResponse
		rewriteRequest(sent, func(req *counter.ExchangeRequest) {
			if len(req.Batches) > 0 {
				resp.Vector = req.Vector
			}
		})
		return okReply(resp), len(resp.Vector) > 0
	})
}

// dropRelayed has controllers send records of their own alone, so that none travel
// through a third one.
func dropRelayed() bug {
	return interceptRequests("/counter-exchange", func(_ *Cluster, sent *message) (reply, bool) {
		if sent.sender.controller == nil {
			return reply{}, false
		}
		own := sent.sender.controller.Counters().Origin
		rewriteRequest(sent, func(req *counter.ExchangeRequest) {
			req.Batches = slices.DeleteFunc(req.Batches, func(batch counter.Batch) bool { return batch.Origin != own })
		})
		return reply{}, false
	})
}

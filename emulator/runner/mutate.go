package runner

import (
	"fmt"
	"strings"

	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

// mutators change an answer in the manner of one trouble; false says that the
// trouble doesn't fit this answer.
var mutators = map[string]func(told *response, link *serverConn, asked inboundRequest) bool{
	// These two are made before: the status tells of them.
	OwnFailure:   func(told *response, _ *serverConn, _ inboundRequest) bool { return told.status == 500 },
	FalseRefusal: func(told *response, _ *serverConn, _ inboundRequest) bool { return told.status > 400 && told.hasSeal() },
	Refusal: func(told *response, _ *serverConn, _ inboundRequest) bool {
		return told.status > 400 && !told.hasSeal()
	},

	NoSeal: func(told *response, _ *serverConn, _ inboundRequest) bool {
		return told.removeHeader(upstream.SealHeader)
	},
	OtherAttempt: func(told *response, link *serverConn, asked inboundRequest) bool {
		return told.removeHeader(upstream.AttemptIDHeader) && told.addHeader(upstream.AttemptIDHeader, link.runner.swapForeign(asked.attemptID))
	},
	Encoded: func(told *response, _ *serverConn, asked inboundRequest) bool {
		if told.status != 200 {
			return false
		}
		told.body, told.stream = []string{"\x1f\x8b encoded bytes of " + asked.attemptID}, false
		return told.addHeader("Content-Encoding", "gzip")
	},
	Garbage: func(told *response, _ *serverConn, asked inboundRequest) bool {
		told.raw = []string{
			"\x00\x01\x02\x03", "SSH-2.0-OpenSSH_9.6\r\n", "HTTP/1.1 \r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "ok\n",
			"HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id " + asked.attemptID + "\r\n\r\n",
		}[asked.faults.IntN(6)]
		return told.endAt(-1, closeNormally)
	},
	Interim: func(told *response, _ *serverConn, asked inboundRequest) bool {
		for range 1 + asked.faults.IntN(3) {
			status := []int{100, 102, 103, 199}[asked.faults.IntN(4)]
			told.prefix += fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n\r\n", status, upstream.AttemptIDHeader, asked.attemptID)
		}
		return true
	},
	ShortLength: func(told *response, _ *serverConn, asked inboundRequest) bool {
		if told.stream || told.status != 200 || told.size() < 2 {
			return false
		}
		told.chunked, told.lengthSet, told.declaredLength = false, true, 1+asked.faults.IntN(told.size()-1)
		told.framedLength = told.declaredLength
		return true
	},
	LongLength: func(told *response, _ *serverConn, asked inboundRequest) bool {
		told.chunked, told.lengthSet, told.framedLength = false, true, 0
		told.declaredLength = told.size() + 1 + asked.faults.IntN(100)
		return told.endAt(-1, closeNormally)
	},
	TwoLengths: func(told *response, _ *serverConn, asked inboundRequest) bool {
		told.chunked = false
		return told.addHeader("Content-Length", fmt.Sprint(told.size()+1+asked.faults.IntN(100)))
	},
	LengthAndChunks: func(told *response, _ *serverConn, asked inboundRequest) bool {
		told.chunked = true
		return told.addHeader("Content-Length", fmt.Sprint(asked.faults.IntN(100)))
	},
	NoLength: func(told *response, _ *serverConn, _ inboundRequest) bool { return told.unframe() },
	NoLengthCut: func(told *response, _ *serverConn, asked inboundRequest) bool {
		return told.size() > 1 && told.unframe() && told.endAt(len(told.head())+asked.faults.IntN(told.size()), closeNormally)
	},
	CutChunk:  badChunk(func(size int, by int) string { return fmt.Sprintf("%x", max(0, size-1-by)) }, "zz"),
	LongChunk: badChunk(func(size int, by int) string { return fmt.Sprintf("%x", size+1+by) }, ""),

	ExtraAnswer: func(told *response, link *serverConn, asked inboundRequest) bool {
		return told.appendBytes(foreignResponse(link, asked))
	},
	ExtraSame: func(told *response, _ *serverConn, _ inboundRequest) bool { return told.appendBytes(told.text()) },
	ExtraLate: func(told *response, link *serverConn, asked inboundRequest) bool {
		told.lateBytes = []byte(foreignResponse(link, asked))
		return true
	},
	ExtraLateSame: func(told *response, _ *serverConn, _ inboundRequest) bool {
		told.lateBytes = []byte(told.text())
		return true
	},
	ExtraIdle: func(told *response, link *serverConn, asked inboundRequest) bool {
		told.idleBytes = []byte(foreignResponse(link, asked))
		return true
	},
	BytesBetween: func(told *response, _ *serverConn, asked inboundRequest) bool {
		return told.appendBytes([]string{"\r\n", "\x00", "loose bytes\r\n", "HTTP/1.1 ", "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}[asked.faults.IntN(6)])
	},
	HalfClose: func(told *response, _ *serverConn, _ inboundRequest) bool {
		return told.endAt(-1, func(link *serverConn) {
			_ = link.tcp.CloseWrite()
			link.discardInput(link.runner.settings.MaxSilence)
		})
	},
	IdleClose:        func(told *response, _ *serverConn, _ inboundRequest) bool { return told.endAt(-1, closeNormally) },
	ConnectionCloses: func(told *response, _ *serverConn, _ inboundRequest) bool { told.closeAfter = true; return true },
	Dribble:          func(told *response, _ *serverConn, _ inboundRequest) bool { told.dribble = true; return true },
	Takeover: func(told *response, _ *serverConn, asked inboundRequest) bool {
		service, reset := asked.faults.IntN(2), asked.faults.IntN(2) == 0
		return told.endAt(-1, func(link *serverConn) {
			services := link.runner.settings.Services
			link.runner.TakeOver(services[service%len(services)], reset)
		})
	},

	ResetHead:       cutHead((*serverConn).reset),
	CloseHead:       cutHead(closeNormally),
	SilenceHead:     cutHead(staySilent),
	ResetBody:       cutBody((*serverConn).reset),
	CloseBody:       cutBody(closeNormally),
	SilenceBody:     cutBody(staySilent),
	ResetUnanswered: func(told *response, _ *serverConn, _ inboundRequest) bool { return told.endAt(0, (*serverConn).reset) },
}

// applyFaults makes the answer what the attempt's troubles make of it.
func (r *response) applyFaults(link *serverConn, asked inboundRequest) {
	for _, trouble := range Faults {
		if !asked.faults.faults[trouble.Name] || mutators[trouble.Name] == nil || r.raw != "" {
			continue
		}
		if mutators[trouble.Name](r, link, asked) {
			r.faults = append(r.faults, trouble.Name)
		}
	}
	if r.chunked || r.unframed || r.raw != "" {
		r.framedLength = 0
	}
}

func closeNormally(*serverConn) {}

func staySilent(link *serverConn) { link.discardInput(link.runner.settings.MaxSilence) }

func (r *response) hasSeal() bool {
	for _, pair := range r.headers {
		if pair[0] == upstream.SealHeader {
			return true
		}
	}
	return false
}

func (r *response) removeHeader(name string) bool {
	for index, pair := range r.headers {
		if pair[0] == name {
			r.headers = append(r.headers[:index:index], r.headers[index+1:]...)
			return true
		}
	}
	return false
}

// unframe leaves a run's body without length and chunks.
func (r *response) unframe() bool {
	if !r.hasSeal() {
		return false
	}
	r.chunked, r.unframed = false, true
	for r.removeHeader("Content-Length") {
	}
	return true
}

func (r *response) addHeader(name string, value string) bool {
	r.headers = append(r.headers, [2]string{name, value})
	return true
}

// endAt has something happen at a byte of the answer; the first that is set stays.
func (r *response) endAt(cut int, end func(link *serverConn)) bool {
	if r.onEnd != nil {
		return false
	}
	r.cutAt, r.onEnd = cut, end
	return true
}

// appendBytes has bytes come right behind a whole answer.
func (r *response) appendBytes(text string) bool {
	// By a length or chunk that is too long, or none, they'd be part of the body.
	if r.unframed || r.corruptChunk != nil || (r.lengthSet && r.framedLength == 0) {
		return false
	}
	r.suffix += text
	return true
}

func cutHead(end func(link *serverConn)) func(*response, *serverConn, inboundRequest) bool {
	return func(told *response, _ *serverConn, asked inboundRequest) bool {
		return told.endAt(asked.faults.IntN(len(told.head())), end)
	}
}

func cutBody(end func(link *serverConn)) func(*response, *serverConn, inboundRequest) bool {
	return func(told *response, _ *serverConn, asked inboundRequest) bool {
		size := len(strings.Join(told.segments(), ""))
		return size > 0 && told.endAt(len(told.head())+asked.faults.IntN(size), end)
	}
}

// badChunk gives the middle chunk a wrong size, or now and then one that is none.
func badChunk(size func(size int, by int) string, other string) func(*response, *serverConn, inboundRequest) bool {
	return func(told *response, _ *serverConn, asked inboundRequest) bool {
		if len(told.body) == 0 || told.unframed {
			return false
		}
		by, none := asked.faults.IntN(20), other != "" && asked.faults.IntN(3) == 0
		told.chunked, told.lengthSet, told.framedLength = true, false, 0
		told.corruptChunk = func(chunk string) string {
			_, rest, _ := strings.Cut(chunk, "\r\n")
			wrong := size(len(rest)-2, by)
			if none {
				wrong = other
			}
			return wrong + "\r\n" + rest
		}
		return told.endAt(-1, closeNormally)
	}
}

// foreignResponse is an answer to an earlier attempt, of any shape.
func foreignResponse(link *serverConn, asked inboundRequest) string {
	attempt := link.runner.swapForeign(asked.attemptID)
	source := piece.Source{Attempt: attempt, Service: link.runner.Incarnation().Service, Seal: "extra." + fmt.Sprint(asked.faults.IntN(1000))}
	extra := &response{status: 200, cutAt: -1, chunked: asked.faults.IntN(2) == 0, body: []string{source.Body()}}
	extra.addHeader(upstream.AttemptIDHeader, attempt)
	kinds := []func(){
		func() { extra.addHeader(upstream.SealHeader, source.Seal) },
		func() {
			extra.addHeader(upstream.SealHeader, source.Seal)
			extra.addHeader("Content-Type", "text/event-stream")
			extra.body = []string{source.Event(1), source.Event(2)}
		},
		func() {
			extra.status, extra.body, extra.chunked = 503, nil, false
			extra.addHeader("Onyxwell-Not-Run", "1")
		},
		func() {
			extra.status, extra.body, extra.chunked = 204, nil, false
			extra.addHeader(upstream.SealHeader, source.Seal)
		},
		func() { extra.status = 500 },
	}
	kinds[asked.faults.IntN(len(kinds))]()
	return extra.text()
}

package runner

import (
	"fmt"
	"strings"

	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

// shapers change an answer in the manner of one trouble; false says that the
// trouble doesn't fit this answer.
var shapers = map[string]func(told *answer, link *link, asked asking) bool{
	// These two are made before: the status tells of them.
	OwnFailure:   func(told *answer, _ *link, _ asking) bool { return told.status == 500 },
	FalseRefusal: func(told *answer, _ *link, _ asking) bool { return told.status > 400 && told.sealed() },
	Refusal:      func(told *answer, _ *link, _ asking) bool { return told.status > 400 && !told.sealed() },

	NoSeal: func(told *answer, _ *link, _ asking) bool { return told.drop(upstream.SealHeader) },
	OtherAttempt: func(told *answer, link *link, asked asking) bool {
		return told.drop(upstream.AttemptIDHeader) && told.add(upstream.AttemptIDHeader, link.runner.swapForeign(asked.attempt))
	},
	Encoded: func(told *answer, _ *link, asked asking) bool {
		if told.status != 200 {
			return false
		}
		told.body, told.stream = []string{"\x1f\x8b encoded bytes of " + asked.attempt}, false
		return told.add("Content-Encoding", "gzip")
	},
	Garbage: func(told *answer, _ *link, asked asking) bool {
		told.raw = []string{
			"\x00\x01\x02\x03", "SSH-2.0-OpenSSH_9.6\r\n", "HTTP/1.1 \r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "ok\n",
			"HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id " + asked.attempt + "\r\n\r\n",
		}[asked.drawn.IntN(6)]
		return told.ends(-1, nothing)
	},
	Interim: func(told *answer, _ *link, asked asking) bool {
		for range 1 + asked.drawn.IntN(3) {
			status := []int{100, 102, 103, 199}[asked.drawn.IntN(4)]
			told.before += fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n\r\n", status, upstream.AttemptIDHeader, asked.attempt)
		}
		return true
	},
	ShortLength: func(told *answer, _ *link, asked asking) bool {
		if told.stream || told.status != 200 || told.size() < 2 {
			return false
		}
		told.chunked, told.told, told.length = false, true, 1+asked.drawn.IntN(told.size()-1)
		told.framed = told.length
		return true
	},
	LongLength: func(told *answer, _ *link, asked asking) bool {
		told.chunked, told.told, told.framed = false, true, 0
		told.length = told.size() + 1 + asked.drawn.IntN(100)
		return told.ends(-1, nothing)
	},
	TwoLengths: func(told *answer, _ *link, asked asking) bool {
		told.chunked = false
		return told.add("Content-Length", fmt.Sprint(told.size()+1+asked.drawn.IntN(100)))
	},
	LengthAndChunks: func(told *answer, _ *link, asked asking) bool {
		told.chunked = true
		return told.add("Content-Length", fmt.Sprint(asked.drawn.IntN(100)))
	},
	NoLength: func(told *answer, _ *link, _ asking) bool { return told.unframe() },
	NoLengthCut: func(told *answer, _ *link, asked asking) bool {
		return told.size() > 1 && told.unframe() && told.ends(len(told.head())+asked.drawn.IntN(told.size()), nothing)
	},
	CutChunk:  bent(func(size int, by int) string { return fmt.Sprintf("%x", max(0, size-1-by)) }, "zz"),
	LongChunk: bent(func(size int, by int) string { return fmt.Sprintf("%x", size+1+by) }, ""),

	ExtraAnswer: func(told *answer, link *link, asked asking) bool { return told.follow(foreign(link, asked)) },
	ExtraSame:   func(told *answer, _ *link, _ asking) bool { return told.follow(told.text()) },
	ExtraLate: func(told *answer, link *link, asked asking) bool {
		told.late = []byte(foreign(link, asked))
		return true
	},
	ExtraLateSame: func(told *answer, _ *link, _ asking) bool {
		told.late = []byte(told.text())
		return true
	},
	ExtraIdle: func(told *answer, link *link, asked asking) bool {
		told.idle = []byte(foreign(link, asked))
		return true
	},
	BytesBetween: func(told *answer, _ *link, asked asking) bool {
		return told.follow([]string{"\r\n", "\x00", "loose bytes\r\n", "HTTP/1.1 ", "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}[asked.drawn.IntN(6)])
	},
	HalfClose: func(told *answer, _ *link, _ asking) bool {
		return told.ends(-1, func(link *link) {
			_ = link.conn.CloseWrite()
			link.drain(link.runner.settings.Silent)
		})
	},
	IdleClose:        func(told *answer, _ *link, _ asking) bool { return told.ends(-1, nothing) },
	ConnectionCloses: func(told *answer, _ *link, _ asking) bool { told.closing = true; return true },
	Dribble:          func(told *answer, _ *link, _ asking) bool { told.dribble = true; return true },
	Takeover: func(told *answer, _ *link, asked asking) bool {
		service, reset := asked.drawn.IntN(2), asked.drawn.IntN(2) == 0
		return told.ends(-1, func(link *link) {
			services := link.runner.settings.Services
			link.runner.Become(services[service%len(services)], reset)
		})
	},

	ResetHead:       cutHead((*link).reset),
	CloseHead:       cutHead(nothing),
	SilenceHead:     cutHead(silence),
	ResetBody:       cutBody((*link).reset),
	CloseBody:       cutBody(nothing),
	SilenceBody:     cutBody(silence),
	ResetUnanswered: func(told *answer, _ *link, _ asking) bool { return told.ends(0, (*link).reset) },
}

// shape makes the answer what the attempt's troubles make of it.
func (a *answer) shape(link *link, asked asking) {
	for _, trouble := range Troubles {
		if !asked.drawn.met[trouble.Name] || shapers[trouble.Name] == nil || a.raw != "" {
			continue
		}
		if shapers[trouble.Name](a, link, asked) {
			a.met = append(a.met, trouble.Name)
		}
	}
	if a.chunked || a.unframed || a.raw != "" {
		a.framed = 0
	}
}

func nothing(*link) {}

func silence(link *link) { link.drain(link.runner.settings.Silent) }

func (a *answer) sealed() bool {
	for _, pair := range a.heads {
		if pair[0] == upstream.SealHeader {
			return true
		}
	}
	return false
}

func (a *answer) drop(name string) bool {
	for index, pair := range a.heads {
		if pair[0] == name {
			a.heads = append(a.heads[:index:index], a.heads[index+1:]...)
			return true
		}
	}
	return false
}

// unframe leaves a run's body without length and chunks.
func (a *answer) unframe() bool {
	if !a.sealed() {
		return false
	}
	a.chunked, a.unframed = false, true
	for a.drop("Content-Length") {
	}
	return true
}

func (a *answer) add(name string, value string) bool {
	a.heads = append(a.heads, [2]string{name, value})
	return true
}

// ends has something happen at a byte of the answer; the first that is set stays.
func (a *answer) ends(cut int, end func(link *link)) bool {
	if a.end != nil {
		return false
	}
	a.cut, a.end = cut, end
	return true
}

// follow has bytes come right behind a whole answer.
func (a *answer) follow(text string) bool {
	// By a length or chunk that is too long, or none, they'd be part of the body.
	if a.unframed || a.bend != nil || (a.told && a.framed == 0) {
		return false
	}
	a.after += text
	return true
}

func cutHead(end func(link *link)) func(*answer, *link, asking) bool {
	return func(told *answer, _ *link, asked asking) bool {
		return told.ends(asked.drawn.IntN(len(told.head())), end)
	}
}

func cutBody(end func(link *link)) func(*answer, *link, asking) bool {
	return func(told *answer, _ *link, asked asking) bool {
		size := len(strings.Join(told.parts(), ""))
		return size > 0 && told.ends(len(told.head())+asked.drawn.IntN(size), end)
	}
}

// bent gives the middle chunk a wrong size, or now and then one that is none.
func bent(size func(size int, by int) string, other string) func(*answer, *link, asking) bool {
	return func(told *answer, _ *link, asked asking) bool {
		if len(told.body) == 0 || told.unframed {
			return false
		}
		by, none := asked.drawn.IntN(20), other != "" && asked.drawn.IntN(3) == 0
		told.chunked, told.told, told.framed = true, false, 0
		told.bend = func(chunk string) string {
			_, rest, _ := strings.Cut(chunk, "\r\n")
			wrong := size(len(rest)-2, by)
			if none {
				wrong = other
			}
			return wrong + "\r\n" + rest
		}
		return told.ends(-1, nothing)
	}
}

// foreign is an answer to an earlier attempt, of any shape.
func foreign(link *link, asked asking) string {
	attempt := link.runner.swapForeign(asked.attempt)
	source := piece.Source{Attempt: attempt, Service: link.runner.Life().Service, Seal: "extra." + fmt.Sprint(asked.drawn.IntN(1000))}
	extra := &answer{status: 200, cut: -1, chunked: asked.drawn.IntN(2) == 0, body: []string{source.Plain()}}
	extra.add(upstream.AttemptIDHeader, attempt)
	kinds := []func(){
		func() { extra.add(upstream.SealHeader, source.Seal) },
		func() {
			extra.add(upstream.SealHeader, source.Seal)
			extra.add("Content-Type", "text/event-stream")
			extra.body = []string{source.Event(1), source.Event(2)}
		},
		func() {
			extra.status, extra.body, extra.chunked = 503, nil, false
			extra.add("Onyxwell-Not-Run", "1")
		},
		func() {
			extra.status, extra.body, extra.chunked = 204, nil, false
			extra.add(upstream.SealHeader, source.Seal)
		},
		func() { extra.status = 500 },
	}
	kinds[asked.drawn.IntN(len(kinds))]()
	return extra.text()
}

package runner

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"strings"

	"onyxwell/emulator/piece"
)

// Fault is a way in which a runner misbehaves.
type Fault struct {
	// Name is what command lines and reports call the fault.
	Name string
	// Description is shown with the list of faults.
	Description string
	// defaultRate is the rate in AllFaults.
	defaultRate float64
	// inject changes the response, and reports whether the fault fits it. It is nil
	// for faults that are injected before there is a response to a request.
	inject func(i *injection) bool
}

// The names of the faults. They are part of the command line, and of what a seed
// stands for.
const (
	ExtraAnswer      = "extra-answer"
	ExtraSame        = "extra-same"
	ExtraLate        = "extra-late"
	ExtraLateSame    = "extra-late-same"
	ExtraIdle        = "extra-idle"
	BytesBetween     = "bytes-between"
	Interim          = "interim"
	EarlyAnswer      = "early-answer"
	ShortLength      = "short-length"
	LongLength       = "long-length"
	TwoLengths       = "two-lengths"
	LengthAndChunks  = "length-and-chunks"
	NoLength         = "no-length"
	NoLengthCut      = "no-length-cut"
	CutChunk         = "cut-chunk"
	LongChunk        = "long-chunk"
	HalfClose        = "half-close"
	ResetHead        = "reset-head"
	ResetBody        = "reset-body"
	CloseHead        = "close-head"
	CloseBody        = "close-body"
	SilenceHead      = "silence-head"
	SilenceBody      = "silence-body"
	ResetUnread      = "reset-unread"
	ResetUnanswered  = "reset-unanswered"
	IdleClose        = "idle-close"
	Takeover         = "takeover"
	LyingHealth      = "lying-health"
	NoSeal           = "no-seal"
	OtherAttempt     = "other-attempt"
	Encoded          = "encoded"
	Garbage          = "garbage"
	FalseRefusal     = "false-refusal"
	OwnFailure       = "own-failure"
	Refusal          = "refusal"
	Dribble          = "dribble"
	ConnectionCloses = "connection-close"
)

// Faults are all faults. Their order is that in which they are drawn, injected and
// shown; a change of it changes what a seed stands for.
var Faults = []Fault{
	{NoSeal, "a success without a seal", 0.01, omitSeal},
	{OtherAttempt, "the response is marked as another attempt's", 0.01, echoOtherAttempt},
	{Encoded, "a success whose body has a Content-Encoding", 0.01, encodeBody},
	{Garbage, "bytes that are no response in place of the response", 0.01, sendGarbage},
	{FalseRefusal, "429, 503 or 408 after a run, without the header that says it didn't run", 0.01, isFalseRejection},
	{OwnFailure, "a 500 of the runner's own, after a run", 0.02, isOwnFailure},
	{Refusal, "the request is rejected with 503, 429 or 421, and doesn't run", 0.05, isRejection},
	{ShortLength, "a length shorter than the body; its rest follows as unsolicited bytes", 0.01, declareShortLength},
	{LongLength, "a length longer than the body, then a close", 0.01, declareLongLength},
	{TwoLengths, "two different lengths in one head", 0.01, declareTwoLengths},
	{LengthAndChunks, "a length and chunks in one head", 0.01, declareLengthAndChunks},
	{NoLength, "a complete body with neither length nor chunks, ended by a clean close, as runners may", 0.01, omitLength},
	{NoLengthCut, "a body with neither length nor chunks, reset before its end", 0.01, omitLengthAndCut},
	{CutChunk, "a chunk that is shorter than the bytes that follow, or whose size is no number", 0.01, declareShortChunk},
	{LongChunk, "a chunk that is said to be longer than its bytes", 0.01, declareLongChunk},
	{ExtraAnswer, "a complete response to another attempt right after a response", 0.02, appendForeignResponse},
	{ExtraSame, "the same response, with the same attempt id, right after a response", 0.02, repeatResponse},
	{ExtraLate, "a response to an earlier attempt where the next response should come", 0.02, leaveForeignResponse},
	{ExtraLateSame, "the last response of the connection again where the next response should come", 0.02, leaveResponse},
	{ExtraIdle, "a response to another attempt while the connection is idle", 0.02, sendForeignResponseWhileIdle},
	{BytesBetween, "bytes that are no response after a complete response", 0.02, appendGarbage},
	{Interim, "one to three 1xx responses before the response", 0.05, sendInterimResponses},
	{EarlyAnswer, "the response before the request's body was read", 0.03, nil},
	{HalfClose, "after the response the runner closes its side and goes on reading", 0.01, halfClose},
	{ResetHead, "a reset at any byte of the head", 0.01, cutHead((*serverConn).reset)},
	{ResetBody, "a reset at any byte of the body or of an event", 0.02, cutBody((*serverConn).reset)},
	{CloseHead, "a close at any byte of the head", 0.01, cutHead(closeConn)},
	{CloseBody, "a close at any byte of the body or of an event; a reset where nothing else marks its end", 0.02, cutBody(closeConn)},
	{SilenceHead, "silence from any byte of the head on", 0.002, cutHead((*serverConn).discardInput)},
	{SilenceBody, "silence from any byte of the body or of an event on", 0.002, cutBody((*serverConn).discardInput)},
	{ResetUnread, "a reset at any byte of the request, which doesn't run", 0.01, nil},
	{ResetUnanswered, "the request runs and the connection is reset before the first byte of the response", 0.01, resetUnanswered},
	{IdleClose, "the connection is closed right after a response, without notice", 0.03, closeAfterResponse},
	{Takeover, "a new incarnation begins at the address, half the time of another service", 0.002, takeOver},
	{LyingHealth, "a false response to a health check: the opposite, another server, or a warm-up", 0.05, nil},
	{Dribble, "the response comes in many small writes", 0.02, dribble},
	{ConnectionCloses, "Connection: close in a good response", 0.02, announceClose},
}

// FaultRates are the probabilities, from 0 to 1, with which each fault is injected
// into an attempt, by name.
type FaultRates map[string]float64

// AllFaults returns the default rates of all faults.
func AllFaults() FaultRates {
	rates := FaultRates{}
	for _, fault := range Faults {
		rates[fault.Name] = fault.defaultRate
	}
	return rates
}

// Set sets a rate that is given as NAME=RATE.
func (f FaultRates) Set(text string) error {
	name, rateText, ok := strings.Cut(text, "=")
	rate, err := strconv.ParseFloat(rateText, 64)
	if !ok || err != nil {
		return fmt.Errorf("trouble %q: name=rate is wanted, as in %s=0.1", text, ExtraLate)
	}
	f[name] = rate
	return FaultRates{name: rate}.Check()
}

// Check returns an error that names all unknown faults and all rates out of
// bounds, in one line.
func (f FaultRates) Check() error {
	known := map[string]bool{}
	for _, fault := range Faults {
		known[fault.Name] = true
	}
	var problems []string
	for name, rate := range f {
		if !known[name] {
			problems = append(problems, fmt.Sprintf("there is no trouble %q", name))
		} else if !(rate >= 0 && rate <= 1) {
			problems = append(problems, fmt.Sprintf("trouble %s: the rate %g is not from 0 to 1", name, rate))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	sort.Strings(problems)
	return errors.New(strings.Join(problems, ", "))
}

// String returns the rates above 0 as NAME=RATE, in the order of Faults.
func (f FaultRates) String() string {
	var rates []string
	for _, fault := range Faults {
		if f[fault.Name] > 0 {
			rates = append(rates, fmt.Sprintf("%s=%g", fault.Name, f[fault.Name]))
		}
	}
	return strings.Join(rates, " ")
}

// faultDraw is what was drawn for an attempt at a runner: its faults, and the
// random numbers that shape them.
type faultDraw struct {
	*rand.Rand
	faults map[string]bool
}

// draw draws the faults of an attempt. The same seed, runner and attempt give the
// same draw.
func (f FaultRates) draw(seed uint64, runner string, attempt string) *faultDraw {
	draw := &faultDraw{Rand: rand.New(rand.NewPCG(seed, piece.Hash(runner, attempt))), faults: map[string]bool{}}
	for _, fault := range Faults {
		if draw.Float64() < f[fault.Name] {
			draw.faults[fault.Name] = true
		}
	}
	return draw
}

// has reports whether a fault was drawn.
func (f *faultDraw) has(name string) bool { return f.faults[name] }

// names returns the drawn faults in the order of Faults.
func (f *faultDraw) names() []string {
	var names []string
	for _, fault := range Faults {
		if f.has(fault.Name) {
			names = append(names, fault.Name)
		}
	}
	return names
}
